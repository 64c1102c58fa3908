-- Two at once: the log goes down, and then the instance that decides and serves a
-- seat hold is killed. The rest of the domain keeps the gang whole and tells the
-- organiser nothing false; when the log is back, all goes on.

start { instances = 2, workers = 2, executors = 2 }
publish_sample()
submit("a-1", { tag = "map-1", members = 2, run_ms = 15000 })
eventually("both members run", function() return running_members("map-1") == 2 end)
local active = await_active("a")
local other = other_than(active)
for id in pairs(domains.a.executors) do
    control(id, { run_ms = 1500 })
end
local key = new_key()
local hold = request_later(active, { key = key, body = { seat = "mark-two" } })
await_run("mark-two")
log_outage("hang")
kill(active)
expect_equal(0, await(hold).status, "the organiser's connection breaks")
local again = request(other, { key = key, deadline_ms = 2000, body = { seat = "mark-two" } })
expect(outcome_of(again) ~= "not_run", "nobody says that the hold was not run")
expect(#executor_runs("mark-two") == 1, "the hold ran once")
log_back()
eventually("the key is known to be claimed", function()
    return check_truth(request(other, { key = key, body = { seat = "mark-two" } }), "mark-two") == "unknown"
end)
await_job(other, "map-1", "done", 90)
check_gang("map-1", 2)
expect_equal(1, #executor_runs("mark-two"), "the hold ran once")
