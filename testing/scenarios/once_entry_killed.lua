-- An entry instance dies after it has sent a seat hold to an executor and before
-- the answer is back. The organiser sees a broken connection and sends the hold
-- again, with the same key, through another instance. The hold has run or is
-- running; nobody may run it again and nobody may say that it was not run.

start { instances = 2, executors = 2 }
publish_sample()
for id in pairs(domains.a.executors) do
    control(id, { run_ms = 1500 })
end

local key = new_key()
local body = { seat = "mark-killed" }
local first = request_later("a-1", { key = key, body = body })
await_run("mark-killed")
kill("a-1")
expect_equal(0, await(first).status, "the organiser's connection breaks")

local again = request("a-2", { key = key, body = body })
expect_equal("unknown", check_truth(again, "mark-killed"), "the second try is told that the hold may have run")

-- Another hold is not held up by it.
local other = request("a-2", { key = new_key(), body = { seat = "mark-other" } })
expect_equal("done", check_truth(other, "mark-other"), "another hold goes through")
expect_equal(1, #executor_runs("mark-killed"), "the first hold ran once")
