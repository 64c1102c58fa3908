-- The network between a worker and all of the system's instances is cut while the
-- worker runs one member of a gang. The member runs on, cut off, until its lease
-- ends; the others must not run without it for longer than that.

start { instances = 2, workers = 3 }
publish_sample({ workers = 3 })
submit("a-1", { tag = "map-1", members = 2, run_ms = 8000 })
eventually("both members run", function() return running_members("map-1") == 2 end)
local member
for id in pairs(domains.a.workers) do
    for _, run in ipairs(history(id)) do
        if run.tag == "map-1" and run.ended == 0 then
            member = id
        end
    end
end
for name in pairs(instances) do
    cut(name, member)
end
eventually("no part of the first attempt runs", function()
    local runs = task_runs("map-1")
    return runs[1].ended > 0 and runs[2].ended > 0
end)
await_job("a-1", "map-1", "done", 90)
check_gang("map-1", 2)
heal()
check_no_overlap()
