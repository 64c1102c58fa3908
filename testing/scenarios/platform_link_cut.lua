-- A failure domain loses its way to another. Nobody is told: connections stay
-- open and no answer comes. What stays on this side goes on working.
-- This scenario holds the runner's links to that behaviour.

start_platform({ list_lag_ms = 0 })
start_executors("a", "booking", 1)
start_executors("b", "booking", 1)
rr.place("a-1", "a")
local view = rr.list_view("a-1", platform.list)

local function addresses()
    local found = {}
    for _, instance in ipairs(rr.http({ address = view, path = "/v1/instances" }).body.instances) do
        found[instance.domain] = instance.address
    end
    return found
end

local function hold(domain, timeout_ms)
    return rr.http { method = "POST", address = addresses()[domain], path = "/v1/run/hold", body = "seat", timeout_ms = timeout_ms or 5000 }.status
end

expect(addresses().a ~= address_of("a-booking-x001"), "the list shows links, not the executors themselves")
expect_equal(200, hold("a"), "the own domain answers")
expect_equal(200, hold("b"), "the other domain answers")
cut("a", "b")
expect_equal(0, hold("b", 500), "nothing comes across the cut")
expect_equal(200, hold("a"), "the own domain still answers")
expect_equal(1, #history("b-booking-x001"), "nothing was run behind the cut")
heal("a", "b")
expect_equal(200, hold("b"), "the other domain answers again")
delay("a", "b", 50)
local before = rr.now()
expect_equal(200, hold("b"), "a slow link answers")
expect(rr.now() - before >= 100, "and takes the delay each way")
