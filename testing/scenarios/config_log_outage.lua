-- The log is down for a while. The text in force stays in force, a change is
-- refused at once with when to come back, and an instance that is replaced
-- meanwhile learns the text from its peers.

start { instances = 3 }
publish_sample()
expect_equal(200, publish("a-1", sample_text({ name = "v2" }), 1).status, "a change is accepted")
for name in pairs(instances) do
    await_version(name, 2, 8)
end
local watch = version_watch()
watch()

log_outage("refuse")
local refused = publish("a-1", sample_text({ name = "v3" }), 2)
expect_equal(503, refused.status, "a change is refused during the outage")
expect_retry_after(refused)
kill("a-2")
restart("a-2")
eventually("a-2 has version 2 from its peers", function()
    watch()
    return version_of("a-2") == 2
end)

log_back()
eventually("a change is accepted again", function() return publish("a-2", sample_text({ name = "v3" }), 2).status == 200 end)
for name in pairs(instances) do
    await_version(name, 3, 8)
end
watch()
