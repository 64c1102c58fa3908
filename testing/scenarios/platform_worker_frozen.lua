-- A worker is paused for longer than its lease, by its host or by a debugger.
-- Its task must have ended when the lease did, since others may count on that;
-- the accelerators are free once it wakes.
-- This scenario holds the runner and the worker stand-in to that behaviour.

start_platform()
start_workers("a", { workers = 1 })

local function exchange(epoch, ops)
    return rr.http { method = "POST", address = address_of("a-w001"), path = "/v1/exchange", timeout_ms = 1000,
        body = { holder = "planner", epoch = epoch, ops = ops } }
end

local reply = exchange(3, {
    { op = "reserve", lease = "1.1", accelerators = 8, cores = 1, memory_mb = 1, ttl_ms = 1500 },
    { op = "start", lease = "1.1", payload = { run_ms = 60000, result = "map" }, ttl_ms = 1500 },
})
expect(reply.body.results[2].ok, "the task starts")
expect_equal(409, exchange(2, { { op = "stop", lease = "1.1" } }).status, "a lower epoch is refused")
expect_equal(1, running_members("map"), "the task runs on")

freeze("a.workers")
expect_equal(0, exchange(3, { { op = "renew", lease = "1.1", ttl_ms = 1500 } }).status, "a frozen worker answers nothing")
local frozen_at = rr.now()
eventually("the lease has run out", function() return rr.now() > frozen_at + 1500 end)
thaw("a.workers")
local run = task_runs("map")[1]
expect_equal("lapsed", run.how, "the lease lapsed during the freeze")
expect(run.ended - run.started <= 2600, "the task ended when its lease did, not when the worker woke")
expect(exchange(3, { { op = "reserve", lease = "2.1", accelerators = 8, cores = 1, memory_mb = 1, ttl_ms = 500 } }).body.results[1].ok,
    "the accelerators are free again")
