-- The instance that decides is paused by its host for longer than its leases and
-- its epoch last. Another takes over meanwhile. When the first wakes it believes
-- that nothing has happened; nothing that it sends may take effect.

start { instances = 2, workers = 2 }
publish_sample()
submit("a-1", { tag = "map-1", members = 2, run_ms = 12000 })
eventually("both members run", function() return running_members("map-1") == 2 end)
local active = await_active("a")
local other = other_than(active)
freeze(active)
list_instance(active, "gone")
eventually("another planner decides", function()
    return active_instance("a") == other
end, 60)
expect_equal(202, submit(other, { tag = "map-2", members = 2, run_ms = 1000 }).status, "new jobs are taken")
thaw(active)
list_instance(active, "live")
await_job(other, "map-1", "done", 90)
await_job(other, "map-2", "done", 90)
check_gang("map-1", 2)
check_gang("map-2", 2)
