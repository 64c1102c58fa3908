-- The planner that decides for the failure domain is killed with its instance
-- while a gang runs. Another takes the domain over, learns the leases from the
-- workers, and the gang goes on or starts again, whole.

start { instances = 2, workers = 2 }
publish_sample()
submit("a-1", { tag = "map-1", members = 2, run_ms = 8000 })
eventually("both members run", function() return running_members("map-1") == 2 end)
local active = await_active("a")
local other = other_than(active)
kill(active)
await_job(other, "map-1", "done")
check_gang("map-1", 2)
expect_equal(202, submit(other, { tag = "map-2", members = 2, run_ms = 500 }).status, "new jobs are taken")
await_job(other, "map-2", "done")
check_gang("map-2", 2)
