-- The platform's log takes the claim on a seat hold, and the reply to the append
-- is lost. The instance cannot know whether its claim stands. The organiser sends
-- the hold again through another instance.

start { instances = 2, executors = 2 }
publish_sample()

for round = 1, 3 do
    local mark = "mark-" .. round .. "."
    local key = new_key()
    lost_reply(1)
    local first = request("a-1", { key = key, body = { seat = mark } })
    check_truth(first, mark)
    local second = request("a-2", { key = key, body = { seat = mark } })
    check_truth(second, mark)
    expect(#executor_runs(mark) <= 1, "the hold ran at most once")
end

local lost = 0
for _, append in ipairs(history("log")) do
    if append.stream == "claims" and append.reply_lost then
        lost = lost + 1
    end
end
expect(lost >= 1, "at least one reply to a claim was lost")
