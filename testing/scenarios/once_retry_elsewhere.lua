-- An organiser's client is impatient: while a seat hold is still under way it
-- sends it again, with the same key, through another instance of the same failure
-- domain and one of another. One of them runs it; all of them tell the truth.

start { domains = { "a", "b" }, instances = 2, executors = 2 }
publish_sample({ domains = { "a", "b" } })
for _, domain in pairs(domains) do
    for id in pairs(domain.executors) do
        control(id, { run_ms = 400 })
    end
end

for round = 1, 5 do
    local key = new_key()
    local mark = "mark-" .. round .. "."
    local calls = {}
    for _, name in ipairs { "a-1", "a-2", "b-1", "b-2" } do
        calls[#calls + 1] = request_later(name, { key = key, body = { seat = mark } })
    end
    local done = 0
    for _, handle in ipairs(calls) do
        if check_truth(await(handle), mark) == "done" then
            done = done + 1
        end
    end
    expect(done >= 1, "one of the four was told that the hold is done")
    -- Once the outcome is in the log every instance gives the same answer.
    for name in pairs(instances) do
        eventually(name .. " knows the answer", function()
            return check_truth(request(name, { key = key, body = { seat = mark } }), mark) == "done"
        end)
    end
    expect_equal(1, #executor_runs(mark), "the hold ran once")
end
