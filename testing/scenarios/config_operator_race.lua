-- Two operators change the text in force at the same moment, in two failure
-- domains. One of them wins, by the log's order; the other is told so, with the
-- winner. Everywhere the same text comes into force.

start { domains = { "a", "b" }, instances = 2 }
publish_sample({ domains = { "a", "b" } })
local watch = version_watch()

for round = 1, 4 do
    local base = round
    local function text(who)
        return sample_text({ domains = { "a", "b" }, name = who .. round })
    end
    local one = call_later("a-1", "POST", "/v1/config", { amends = base, text = text("one"), author = "one" }, tokens.operator)
    local two = call_later("b-1", "POST", "/v1/config", { amends = base, text = text("two"), author = "two" }, tokens.operator)
    local replies = { one = await(one), two = await(two) }
    local winner, loser = "one", "two"
    if replies.two.status == 200 then
        winner, loser = "two", "one"
    end
    expect_equal(200, replies[winner].status, "one operator wins")
    expect_equal(409, replies[loser].status, "the other is told that it lost")
    expect_equal(winner, replies[loser].body.winner.author, "and who won")
    for name in pairs(instances) do
        await_version(name, base + 1, 8)
        expect_equal(winner, config_of(name).author, name .. " has the winner's text")
    end
    watch()
end
