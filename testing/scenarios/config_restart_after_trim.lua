-- The log has trimmed every record of the text in force, and an instance is
-- replaced. It has nothing on disk; its peers, also those of other failure
-- domains, tell it the text. It must not come up with an older one or none.

start { domains = { "a", "b" }, instances = 1 }
publish_sample({ domains = { "a", "b" } })
for version = 2, 3 do
    expect_equal(200, publish("a-1", sample_text({ domains = { "a", "b" }, name = "v" .. version }), version - 1).status, "a change is accepted")
end
for name in pairs(instances) do
    await_version(name, 3, 8)
end
local watch = version_watch()
watch()

trim("config", 0)
kill("a-1")
restart("a-1")
eventually("a-1 is healthy", function() return healthy("a-1") end)
eventually("a-1 has version 3 again", function()
    local version = version_of("a-1")
    expect(version == nil or version == 3, "a replaced instance shows no older text")
    return version == 3
end)
expect_equal(200, publish("a-1", sample_text({ domains = { "a", "b" }, name = "v4" }), 3).status, "the next change is accepted")
for name in pairs(instances) do
    await_version(name, 4, 8)
end
watch()
