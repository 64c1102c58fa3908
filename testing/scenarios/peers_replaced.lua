-- Instances are replaced all day long, and each time their peers lose a connection
-- at some moment. Nobody else may fall over because of that, whatever the moment.

start { instances = 3 }
publish_sample()
local watch = version_watch()
for _ = 1, 15 do
    kill("a-2.planner")
    restart("a-2.planner")
    -- The moment of the next kill comes from the seed.
    rr.pause(rr.random(400))
    watch()
end
eventually("a-2 serves again", function() return version_of("a-2") == 1 end)
check_alive()
