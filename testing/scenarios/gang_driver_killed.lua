-- The process that renews a gang's leases is killed. Its members run on until
-- their leases end, unless another driver takes the renewals over. No part of the
-- gang may run for longer than one lease without the rest.

start { instances = 2, workers = 2 }
publish_sample()
submit("a-1", { tag = "map-1", members = 2, run_ms = 8000 })
eventually("both members run", function() return running_members("map-1") == 2 end)
local active = await_active("a")
kill(active .. ".driver")
restart(active .. ".driver")
await_job(other_than(active), "map-1", "done")
check_gang("map-1", 2)
