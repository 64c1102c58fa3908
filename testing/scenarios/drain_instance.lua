-- An instance is replaced as planned: SIGTERM while it serves a seat hold and
-- renews a gang. The hold is answered, the gang runs on under another instance
-- without a break, and all three processes exit 0.

start { instances = 2, workers = 2, executors = 1 }
publish_sample()
submit("a-1", { tag = "map-1", members = 2, run_ms = 12000 })
eventually("both members run", function() return running_members("map-1") == 2 end)
local leaving = await_active("a")
local other = other_than(leaving)
control("a-booking-x001", { run_ms = 2000 })
local hold = request_later(leaving, { key = new_key(), body = { seat = "mark-drain" } })
await_run("mark-drain")
terminate(leaving)
expect_equal("done", check_truth(await(hold), "mark-drain"), "the hold in flight is answered")
await_exit(leaving)
await_job(other, "map-1", "done", 60)
expect_equal(2, #task_runs("map-1"), "each member ran once, without a break")
check_gang("map-1", 2)
