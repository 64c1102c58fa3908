-- An instance was paused while the text changed. It wakes with the old text and
-- tells its peers so, while one of them has just been replaced and asks around,
-- with the log out of its reach. No instance may go back to the old text for good,
-- and none that showed the new text may show the old one.

start { instances = 3 }
publish_sample()
local watch = version_watch()
freeze("a-3")
for version = 2, 3 do
    expect_equal(200, publish("a-1", sample_text({ name = "v" .. version }), version - 1).status, "a change is accepted")
end
await_version("a-1", 3, 8)
await_version("a-2", 3, 8)

kill("a-1")
cut("a-1", "platform")
thaw("a-3")
restart("a-1")
for name in pairs(instances) do
    eventually(name .. " has version 3", function()
        for other in pairs(instances) do
            expect(other == "a-3" or version_of(other) ~= 1 or other == "a-1", other .. " does not go back")
        end
        return version_of(name) == 3
    end)
end
heal("a-1", "platform")
watch()
