-- The log takes an operator's change and the reply is lost. The change is in the
-- log and must come into force once; the operator, or a colleague, who sends the
-- change again must not make another version of it unawares.

start { instances = 2 }
publish_sample()
local watch = version_watch()

for version = 2, 4 do
    local text = sample_text({ name = "v" .. version })
    lost_reply(1)
    local reply = publish("a-1", text, version - 1)
    expect(reply.status ~= 409, "the change that was taken is not called a loser")
    for name in pairs(instances) do
        await_version(name, version, 8)
        expect_equal(text, config_of(name).text, name .. " has the text")
    end
    expect_equal(409, publish("a-2", text, version - 1).status, "the same change again is told what is in force")
    expect_equal(version, version_of("a-2"), "and makes no new version")
    watch()
end
