-- An executor dies in the middle of an answer, writes more than it said, answers
-- with another request's answer, or answers late. A caller must never be given
-- half an answer, or another's, as its own.

start { instances = 1, executors = 2 }
publish_sample()

local function each_executor(knobs)
    for id in pairs(domains.a.executors) do
        control(id, knobs)
    end
end

local faults = { { cut = 1 }, { extra = 1 }, { wrong_id = 1 }, { lose = 1 }, { late = 1, late_ms = 1500 } }
for round, fault in ipairs(faults) do
    -- Each executor damages its next answer only; the holds after it are whole.
    each_executor(fault)
    for i = 1, 6 do
        local mark = "mark-" .. round .. "-" .. i .. "."
        local reply = request("a-1", { key = new_key(), deadline_ms = fault.late and 1000 or 5000, body = { seat = mark } })
        local outcome = check_truth(reply, mark)
        expect(outcome ~= "not_run", "nothing that was sent is said not to have run")
    end
    each_executor({ cut = 0, extra = 0, wrong_id = 0, lose = 0, late = 0 })
    eventually("holds are whole again", function()
        local mark = "after-" .. new_key()
        return check_truth(request("a-1", { key = new_key(), body = { seat = mark } }), mark) == "done"
    end)
end

-- Side by side: every answer that is given is the caller's own.
each_executor({ wrong_id = 3, cut = 3, run_ms = 20 })
local calls = {}
for i = 1, 24 do
    local mark = "side-" .. i .. "."
    calls[mark] = request_later("a-1", { operation = "free-seats", body = { seat = mark } })
end
for mark, handle in pairs(calls) do
    local reply = await(handle)
    if outcome_of(reply) == "done" then
        expect(rr.decode(reply.body.answer).echo:find(mark, 1, true), "the answer is that to " .. mark)
    end
end
