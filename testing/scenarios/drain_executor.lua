-- An executor leaves. Within a few seconds nobody sends it anything new, and what
-- it was running is answered.

start { instances = 2, executors = 2 }
publish_sample()
local gone = "a-booking-x001"
control(gone, { run_ms = 1500 })
control("a-booking-x002", { run_ms = 1500 })
local calls = {}
for i = 1, 6 do
    calls[i] = request_later("a-" .. (i % 2 + 1), { key = new_key(), body = { seat = "early-" .. i .. "." } })
end
eventually("all have begun to run", function() return #executor_runs("early-") == 6 end)
leave(gone)
local left_at = rr.now()
for i = 1, 6 do
    expect_equal("done", check_truth(await(calls[i]), "early-" .. i .. "."), "what ran is answered")
end
control("a-booking-x002", { run_ms = 5 })
for i = 1, 40 do
    check_truth(request("a-" .. (i % 2 + 1), { key = new_key(), body = { seat = "late-" .. i .. "." } }), "late-" .. i .. ".")
end
for _, run in ipairs(history(gone)) do
    expect(run.started <= left_at + 4000, "nothing new after four seconds")
end
