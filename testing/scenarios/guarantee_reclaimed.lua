-- A club borrows all accelerators for a long patient job while the desk, which is
-- guaranteed half of them, has nothing to run. When the desk asks, it gets its
-- share back, although the planner that lent it out dies at that moment.

start { instances = 2, workers = 2 }
publish_sample({ desk = ", guarantees: [{count: 1, accelerators: 8, within: worker}]" })
for i = 1, 2 do
    submit("a-1", { tag = "borrowed-" .. i, run_ms = 120000, token = tokens.club })
end
eventually("the club uses both workers", function() return running_members("borrowed-1") + running_members("borrowed-2") == 2 end)
local active = await_active("a")
local other = other_than(active)
expect_equal(202, submit(other, { tag = "desk-1", run_ms = 1000 }).status, "the desk's job is taken")
kill(active)
await_job(other, "desk-1", "done", 90)
check_no_overlap()
