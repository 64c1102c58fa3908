-- A failure domain loses its way to the others and to the platform. It goes on
-- serving what it can: look-ups, holds under tickets minted here, and the gangs
-- that run. What needs the log is refused with when to come back. When the links
-- are back nothing has run twice.

start { domains = { "a", "b" }, instances = 2, workers = 2, executors = 2 }
publish_sample({ domains = { "a", "b" } })
submit("b-1", { tag = "map-b", members = 2, run_ms = 10000 })
eventually("both members run", function() return running_members("map-b") == 2 end)
local ticket = new_ticket("b-1")
local watch = version_watch()
watch()

cut("b", "a")
cut("b", "platform")
local seats = request("b-2", { operation = "free-seats", body = { seat = "mark-seats" } })
expect_equal("done", outcome_of(seats), "look-ups are served")
local held = request("b-1", { ticket = ticket, body = { seat = "mark-ticket" } })
expect_equal("done", check_truth(held, "mark-ticket"), "a hold under a ticket is served")
local key = new_key()
local refused = request("b-1", { key = key, deadline_ms = 3000, body = { seat = "mark-key" } })
expect(outcome_of(refused) ~= "done", "a hold that needs the log is not served")
expect_retry_after(refused)
local outside = request("a-1", { key = new_key(), body = { seat = "mark-a" } })
expect_equal("done", check_truth(outside, "mark-a"), "the other domain goes on")
expect_equal(200, publish("a-1", sample_text({ domains = { "a", "b" }, name = "v2" }), 1).status, "and its operators too")
eventually("the gang ends whole behind the cut", function()
    return running_members("map-b") == 0
end, 60)
check_gang("map-b", 2)

heal()
for name in pairs(instances) do
    await_version(name, 2, 20)
end
watch()
await_job("b-1", "map-b", "done", 60)
expect_equal(2, #task_runs("map-b"), "the gang was not run again")
eventually("the refused hold can be sent again", function()
    return check_truth(request("b-2", { key = key, body = { seat = "mark-key" } }), "mark-key") == "done"
end)
