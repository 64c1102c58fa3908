-- Two at once: the links between two failure domains are cut, and the log loses
-- replies. An operator on each side changes the text, and an organiser sends one
-- hold on both sides. One change wins everywhere; the hold runs at most once.

start { domains = { "a", "b" }, instances = 1, executors = 1 }
publish_sample({ domains = { "a", "b" } })
cut("a", "b")
lost_reply(4)
local key = new_key()
local calls = {}
for _, name in ipairs { "a-1", "b-1" } do
    calls[#calls + 1] = request_later(name, { key = key, body = { seat = "mark-both" } })
    calls[#calls + 1] = call_later(name, "POST", "/v1/config",
        { amends = 1, text = sample_text({ domains = { "a", "b" }, name = "by-" .. name }), author = name }, tokens.operator)
end
local replies = {}
for i, handle in ipairs(calls) do
    replies[i] = await(handle)
end
check_truth(replies[1], "mark-both")
check_truth(replies[3], "mark-both")
expect(not (replies[2].status == 200 and replies[4].status == 200), "not both operators are told that they won")
await_version("a-1", 2, 8)
await_version("b-1", 2, 8)
expect_equal(config_of("a-1").text, config_of("b-1").text, "both sides have the same text")
if replies[2].status == 200 then
    expect_equal("a-1", config_of("b-1").author, "the winner was told the truth")
elseif replies[4].status == 200 then
    expect_equal("b-1", config_of("a-1").author, "the winner was told the truth")
end
heal()
expect(#executor_runs("mark-both") <= 1, "the hold ran at most once")
