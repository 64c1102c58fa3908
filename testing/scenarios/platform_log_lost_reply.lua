-- The platform's log takes an append and its reply is lost on the way. Whoever
-- appended cannot tell this from an append that never arrived, so a caller who
-- simply sends again finds the record in the log twice.
-- This scenario holds the runner and the log stand-in to that behaviour.

start_platform()

local function append(value)
    return rr.http { method = "POST", address = platform.log, path = "/v1/streams/claims/records", body = { records = { value } } }
end

local function records()
    return rr.http({ address = platform.log, path = "/v1/streams/claims/records?from=0&limit=10&wait_ms=0" }).body
end

expect_equal(200, append({ n = 1 }).status, "an append is answered")
lost_reply(1)
expect_equal(0, append({ n = 2 }).status, "the reply is lost")
expect_equal(2, records().next, "the append took effect")
expect_equal(200, append({ n = 2 }).status, "sending again is answered")
expect_equal(3, #records().records, "the record stands twice")

trim("claims", 1)
expect_equal(2, records().first_kept, "older records are trimmed")
log_outage("refuse")
expect_equal(503, append({ n = 4 }).status, "an outage refuses")
log_back()
expect_equal(3, append({ n = 5 }).body.first, "a refused append took no offset")
