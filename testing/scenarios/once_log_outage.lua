-- The platform's log is down. A seat hold with a key cannot be claimed, so it is
-- refused with when to come back; one with a ticket goes on, since only the
-- process that minted the ticket may run it. Free seats can be looked up.

start { instances = 2, executors = 2 }
publish_sample()
local ticket = new_ticket("a-1")
local doomed = new_ticket("a-2")

log_outage("refuse")
eventually("a-1 has noticed the outage", function()
    return request("a-1", { key = new_key(), body = { seat = "mark-probe" } }).status == 503
end)
local refused = request("a-1", { key = new_key(), body = { seat = "mark-key" } })
expect_equal(503, refused.status, "a hold with a key is refused")
expect_retry_after(refused)
expect_equal(0, #executor_runs("mark-key"), "and did not run")

local held = request("a-1", { ticket = ticket, body = { seat = "mark-ticket" } })
expect_equal("done", check_truth(held, "mark-ticket"), "a hold with a ticket goes through")
local again = request("a-2", { ticket = ticket, body = { seat = "mark-ticket" } })
expect_equal("done", check_truth(again, "mark-ticket"), "another instance asks the owner of the ticket")
expect_equal(1, #executor_runs("mark-ticket"), "and the hold ran once")

local seats = request("a-2", { operation = "free-seats", body = { seat = "mark-seats" } })
expect_equal("done", outcome_of(seats), "free seats can be looked up")

-- The owner of a ticket dies. Nobody else can tell whether it was used.
kill("a-2")
local orphan = request("a-1", { ticket = doomed, body = { seat = "mark-doomed" } })
expect_equal("unknown", outcome_of(orphan), "a ticket whose owner is gone is not run")
expect_equal(0, #executor_runs("mark-doomed"), "by anybody")

log_back()
eventually("a hold with a key goes through again", function()
    return outcome_of(request("a-1", { key = new_key(), body = { seat = "mark-after" } })) == "done"
end)
