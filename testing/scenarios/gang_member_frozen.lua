-- A worker is paused by its host while it runs one member of a gang. It answers
-- nothing; its lease runs on and ends. The gang stops whole and starts again
-- elsewhere, and when the worker wakes it holds nothing.

start { instances = 1, workers = 3 }
publish_sample({ workers = 3 })
submit("a-1", { tag = "map-1", members = 2, run_ms = 8000 })
eventually("both members run", function() return running_members("map-1") == 2 end)
local member
for id in pairs(domains.a.workers) do
    for _, run in ipairs(history(id)) do
        if run.tag == "map-1" then
            member = id
        end
    end
end
control(member, { mode = "hang" })
await_job("a-1", "map-1", "done", 90)
control(member, { mode = "open" })
check_gang("map-1", 2)
