-- The verbs of the scenarios. Everything here stands on rr.*, the primitives of
-- testing/scenario/primitives.cc. A verb records itself in the trace, which is
-- printed when the scenario fails. Nothing waits for a time to pass: eventually()
-- polls a condition, with a generous limit.

local limit_s = 30
local poll_ms = 20
local trace = {}
local started_at = rr.now()

domains = {} -- name -> { workers = {id -> address}, executors = {id -> address} }
instances = {} -- name -> { domain, processes, entry address and so on }
platform = {} -- log, list: addresses of the stand-ins
tokens = { operator = "operator-token", desk = "desk-token", club = "club-token" }

local token_hashes = {
    operator = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e",
    desk = "6122302bcd3f8ce89bcc5c9198be780e54d4d4a74110b2b88ddf5abb6ccb17a8",
    club = "339d55c5dbd9b7ce6dd64923a45709df39e81dceebe5299f593e7853b73ac7c6",
}

local function show(value)
    if type(value) == "string" then
        return value
    end
    local ok, text = pcall(rr.encode, value)
    return ok and text or tostring(value)
end

local function note(verb, ...)
    local words = {}
    for i = 1, select("#", ...) do
        words[i] = show((select(i, ...)))
    end
    local line = string.format("%7.2f %s %s", (rr.now() - started_at) / 1000, verb, table.concat(words, " "))
    trace[#trace + 1] = #line > 400 and line:sub(1, 400) .. "..." or line
end

-- Called by the runner when the scenario failed.
function print_trace()
    print("trace:")
    for _, line in ipairs(trace) do
        print("  " .. line)
    end
    for name, instance in pairs(instances) do
        for _, kind in ipairs(instance.kinds) do
            local tail = rr.error_tail(name .. "." .. kind)
            if tail ~= "" then
                print("log of " .. name .. "." .. kind .. ":")
                print(tail)
            end
        end
    end
end

-- Called by the runner when the scenario has passed: a process that ended although
-- nobody ended it is a crash, which a user may not even notice while others serve.
function check_alive()
    local ended = rr.ended_unasked()
    if #ended > 0 then
        error("ended by themselves: " .. table.concat(ended, ", "), 2)
    end
end

-- Conditions ---------------------------------------------------------------

function expect(condition, message)
    note("expect", message, condition and "yes" or "NO")
    if not condition then
        error("expected: " .. message, 2)
    end
end

function expect_equal(wanted, got, message)
    expect(wanted == got, message .. " (wanted " .. show(wanted) .. ", got " .. show(got) .. ")")
end

-- Waits until check() gives something true, and returns it.
function eventually(message, check, seconds)
    local ends = rr.now() + (seconds or limit_s) * 1000
    while true do
        local got = check()
        if got then
            note("eventually", message)
            return got
        end
        if rr.now() > ends then
            note("eventually", message, "NEVER")
            error("never came: " .. message, 2)
        end
        rr.pause(poll_ms)
    end
end

-- Checks that check() stays true until done() is.
function always_until(message, check, done, seconds)
    local ends = rr.now() + (seconds or limit_s) * 1000
    while not done() do
        if not check() then
            error("did not hold: " .. message, 2)
        end
        if rr.now() > ends then
            error("never ended: " .. message, 2)
        end
        rr.pause(poll_ms)
    end
    note("always_until", message)
end

-- Starting -----------------------------------------------------------------

local function wait_address(process, lines)
    return eventually(process .. " listens", function()
        local found = {}
        for address in rr.output(process):gmatch("listening (%S+)") do
            found[#found + 1] = address
        end
        return #found >= lines and found
    end)
end

function start_platform(options)
    options = options or {}
    note("start_platform", options)
    rr.place("log", "platform")
    rr.place("list", "platform")
    rr.start("log", { "rattan-standin-log", "--retention-ms", tostring(options.retention_ms or 0) })
    rr.start("list", { "rattan-standin-list", "--lag-ms", tostring(options.list_lag_ms or 200) })
    platform.log = wait_address("log", 1)[1]
    platform.list = wait_address("list", 1)[1]
end

local function start_pool(domain, name, command, count, ids)
    rr.start(name, command)
    local addresses = wait_address(name, count)
    -- It listens before it is in the list of instances.
    eventually(name .. " is registered", function()
        return rr.output(name):find("\nready") ~= nil
    end)
    local pool = {}
    for i = 1, count do
        local id = string.format(ids, i)
        rr.place(id, domain)
        pool[id] = addresses[i]
    end
    return pool
end

function start_workers(domain, options)
    note("start_workers", domain, options)
    domains[domain] = domains[domain] or { workers = {}, executors = {} }
    local count = options.workers or 2
    domains[domain].workers = start_pool(domain, domain .. ".workers", {
        "rattan-standin-worker", "--domain", domain, "--list", platform.list, "--count", tostring(count),
        "--rack-size", tostring(options.rack_size or 4), "--accelerators", tostring(options.accelerators or 8),
    }, count, domain .. "-w%03d")
end

function start_executors(domain, service, count)
    note("start_executors", domain, service, count)
    domains[domain] = domains[domain] or { workers = {}, executors = {} }
    local pool = start_pool(domain, domain .. "." .. service, {
        "rattan-standin-executor", "--domain", domain, "--list", platform.list, "--service", service, "--count", tostring(count),
    }, count, domain .. "-" .. service .. "-x%03d")
    for id, address in pairs(pool) do
        domains[domain].executors[id] = address
    end
end

local function loopback(port)
    return "127.0.0.1:" .. port
end

local function commands(name, instance)
    local log = rr.link(name, "log", platform.log)
    return {
        driver = { "rattan-driver", "--instance", name, "--domain", instance.domain,
            "--rpc-listen", instance.driver_rpc, "--instances", instance.list },
        planner = { "rattan-planner", "--instance", name, "--domain", instance.domain,
            "--rpc-listen", instance.planner_rpc, "--entry", instance.entry,
            "--driver", instance.driver_rpc, "--log", log, "--instances", instance.list },
        entry = { "rattan-entry", "--instance", name, "--domain", instance.domain, "--listen", instance.entry,
            "--rpc-listen", instance.entry_rpc, "--planner", instance.planner_rpc,
            "--log", log, "--instances", instance.list, "--operator-token-sha256", token_hashes.operator },
    }
end

local function as_listed(name, instance, state)
    return { id = name, kind = "entry", domain = instance.domain, state = state, address = instance.entry, rpc = instance.planner_rpc }
end

-- What the platform does when an instance comes or goes.
function list_instance(name, state)
    local instance = instances[name]
    if state == "gone" then
        rr.http { method = "DELETE", address = platform.list, path = "/v1/instances/" .. name }
    else
        rr.http { method = "PUT", address = platform.list, path = "/v1/instances/" .. name, body = as_listed(name, instance, state) }
    end
end

function start_instance(name, domain, kinds)
    note("start_instance", name, domain)
    rr.place(name, domain)
    local instance = {
        domain = domain, kinds = kinds or { "driver", "planner", "entry" }, list = rr.list_view(name, platform.list),
        entry = loopback(rr.free_port()), entry_rpc = loopback(rr.free_port()),
        planner_rpc = loopback(rr.free_port()), driver_rpc = loopback(rr.free_port()),
    }
    instances[name] = instance
    for _, kind in ipairs(instance.kinds) do
        rr.start(name .. "." .. kind, commands(name, instance)[kind])
    end
    list_instance(name, "live")
end

function healthy(name)
    local reply = rr.http { address = instances[name].entry, path = "/v1/health", timeout_ms = 1000 }
    return reply.status == 200
end

-- start{ domains = {"a"}, instances = 2, workers = 2, executors = 2 }
function start(options)
    start_platform(options)
    for _, domain in ipairs(options.domains or { "a" }) do
        if (options.workers or 0) > 0 then
            start_workers(domain, options)
        end
        if (options.executors or 0) > 0 then
            start_executors(domain, "booking", options.executors)
        end
        domains[domain] = domains[domain] or { workers = {}, executors = {} }
        for i = 1, options.instances or 1 do
            start_instance(domain .. "-" .. i, domain)
        end
    end
    for name in pairs(instances) do
        eventually(name .. " is healthy", function() return healthy(name) end)
    end
end

-- Processes ----------------------------------------------------------------

local function each_process(name, action)
    local instance = instances[name]
    if not instance then
        action(name)
        return
    end
    for _, kind in ipairs(instance.kinds) do
        if rr.running(name .. "." .. kind) then
            action(name .. "." .. kind)
        end
    end
end

-- "a-1" is the whole instance, "a-1.planner" one process of it.
function kill(name)
    note("kill", name)
    each_process(name, rr.kill)
    if instances[name] then
        list_instance(name, "gone")
    end
end

function freeze(name)
    note("freeze", name)
    each_process(name, function(process) rr.signal(process, "STOP") end)
end

function thaw(name)
    note("thaw", name)
    each_process(name, function(process) rr.signal(process, "CONT") end)
end

-- Starts again what was killed, with the same settings and nothing kept.
function restart(name)
    note("restart", name)
    local owner = name:match("^([^.]+)%.") or name
    local only = name:match("%.(%w+)$")
    local instance = instances[owner]
    for _, kind in ipairs(instance.kinds) do
        if (not only or only == kind) and not rr.running(owner .. "." .. kind) then
            rr.start(owner .. "." .. kind, commands(owner, instance)[kind])
        end
    end
    list_instance(owner, "live")
end

-- SIGTERM; returns at once. await_exit() waits for the end and checks it.
function terminate(name)
    note("terminate", name)
    if instances[name] then
        list_instance(name, "leaving")
    end
    each_process(name, function(process) rr.signal(process, "TERM") end)
end

function await_exit(name)
    each_process(name, function(process)
        local ended = eventually(process .. " has ended", function() return rr.poll_exit(process) end, 60)
        expect(not ended.signalled and ended.code == 0, process .. " exits 0 (" .. show(ended) .. ")")
    end)
    if instances[name] then
        list_instance(name, "gone")
    end
end

-- Links and the platform -----------------------------------------------------

-- Each end is a machine, a failure domain, or "platform".
function cut(a, b)
    note("cut", a, b)
    rr.rule(a, b, { mode = "silent" })
end

function heal(a, b)
    note("heal", a or "all", b or "")
    if a then
        rr.clear_rule(a, b)
    else
        rr.clear_rules()
    end
end

function delay(a, b, ms)
    note("delay", a, b, ms)
    rr.rule(a, b, { delay_ms = ms })
end

function loss(a, b, share)
    note("loss", a, b, share)
    rr.rule(a, b, { loss = share })
end

function address_of(name)
    if platform[name] then
        return platform[name]
    end
    for _, domain in pairs(domains) do
        local address = domain.workers[name] or domain.executors[name]
        if address then
            return address
        end
    end
    error("nothing is named " .. name)
end

function control(name, knobs)
    note("control", name, knobs)
    local reply = rr.http { method = "PUT", address = address_of(name), path = "/control", body = knobs }
    expect(reply.status == 200, "the stand-in " .. name .. " takes the setting")
end

function history(name)
    local reply = rr.http { address = address_of(name), path = "/control/history", timeout_ms = 20000 }
    if reply.status ~= 200 then
        error("no history of " .. name)
    end
    return reply.body.entries
end

-- mode: "refuse" or "hang"; log_back() ends it.
function log_outage(mode)
    control("log", { mode = mode or "refuse" })
end

function log_back()
    control("log", { mode = "open" })
end

function lost_reply(count)
    control("log", { lose_replies = count or 1 })
end

function log_streams()
    return rr.http({ address = platform.log, path = "/control" }).body.streams
end

-- Trims the stream to its last `keep` records.
function trim(stream, keep)
    local next_offset = log_streams()[stream].next
    control("log", { trim = { stream = stream, before = next_offset - (keep or 0) } })
end

function leave(executor)
    control(executor, { leaving = true })
end

-- Callers --------------------------------------------------------------------

function new_key(name)
    return os.date("!%Y%m%dT%H%M%SZ", rr.wall() // 1000) .. "-" .. (name or "k") .. rr.random(1000000000)
end

function describe_call(name, method, path, body, token, timeout_ms)
    return {
        method = method, address = instances[name].entry, path = path, body = body, timeout_ms = timeout_ms or 20000,
        headers = token and { Authorization = "Bearer " .. token } or nil,
    }
end

function call(name, method, path, body, token)
    local reply = rr.http(describe_call(name, method, path, body, token or tokens.desk))
    note("call", name, method, path, body or "", "->", reply.status, reply.body or reply.error or reply.text)
    return reply
end

function call_later(name, method, path, body, token)
    note("call_later", name, method, path, body or "")
    return rr.http_later(describe_call(name, method, path, body, token or tokens.desk, 40000))
end

function await(handle)
    local reply = rr.http_await(handle)
    note("await", "->", reply.status, reply.body or reply.error or reply.text)
    return reply
end

local function hold_body(fields)
    return {
        service = "booking", operation = fields.operation or "hold", key = fields.key, ticket = fields.ticket,
        deadline_ms = fields.deadline_ms or 8000, body = fields.body or { seat = "1" },
    }
end

-- A seat hold unless fields.operation says otherwise.
function request(name, fields)
    return call(name, "POST", "/v1/requests", hold_body(fields), fields.token)
end

function request_later(name, fields)
    return call_later(name, "POST", "/v1/requests", hold_body(fields), fields.token)
end

function outcome_of(reply)
    return reply.body and (reply.body.outcome or (reply.body.error and "error " .. show(reply.body.error.code)))
end

function new_ticket(name)
    local reply = call(name, "POST", "/v1/tickets", { count = 1 })
    expect(reply.status == 200, name .. " mints a ticket")
    return reply.body.tickets[1]
end

function publish(name, text, amends, author)
    return call(name, "POST", "/v1/config", { amends = amends, text = text, author = author or "operator" }, tokens.operator)
end

function config_of(name)
    return rr.http(describe_call(name, "GET", "/v1/config", nil, tokens.operator, 2000)).body
end

function version_of(name)
    local config = config_of(name)
    return config and config.version or nil
end

function await_version(name, version, seconds)
    eventually(name .. " has version " .. version, function() return version_of(name) == version end, seconds)
end

function submit(name, fields)
    local tag = fields.tag
    return call(name, "POST", "/v1/jobs", {
        key = fields.key or tag, class = fields.class or "route-map", members = fields.members or 1,
        accelerators = fields.accelerators or 8, cores = fields.cores or 8, memory_mb = fields.memory_mb or 1024,
        adjacent = fields.adjacent or "rack", run_ms = fields.run_ms or 2000,
        payload = { run_ms = fields.run_ms or 2000, checkpoint_ms = fields.checkpoint_ms or 200, fail = fields.fail or false, result = tag },
    }, fields.token)
end

function job(name, key, token)
    local reply = rr.http(describe_call(name, "GET", "/v1/jobs/" .. key, nil, token or tokens.desk, 3000))
    return reply.status == 200 and reply.body or nil
end

function await_job(name, key, state, seconds)
    return eventually("job " .. key .. " is " .. state .. " at " .. name, function()
        local view = job(name, key)
        return view and view.state == state and view
    end, seconds or 60)
end

-- The text that the scenarios publish: one service, three job classes, two
-- workspaces; options.extra is appended to it.
function sample_text(options)
    options = options or {}
    local lines = { "format: 1", "name: " .. (options.name or "sample"), "operators:",
        "  - {name: operator, token_sha256: " .. token_hashes.operator .. "}", "workers:" }
    for _, domain in ipairs(options.domains or { "a" }) do
        local workers = options.workers or 2
        local rack = options.rack_size or 4
        lines[#lines + 1] = string.format("  - {domain: %s, racks: %d, workers_per_rack: %d, accelerators: %d, cores: 128, memory: 512GiB}",
            domain, math.max(1, workers // rack), math.min(workers, rack), options.accelerators or 8)
    end
    lines[#lines + 1] = [[
services:
  - name: booking
    operations:
      - {name: hold, urgency: ordinary, idempotent: false, deadline: 10s}
      - {name: free-seats, urgency: ordinary, idempotent: true, deadline: 5s}
job_classes:
  - {name: departure-check, urgency: urgent, idempotent: true, checkpointable: false, attempts: 5}
  - {name: route-map, urgency: patient, idempotent: true, checkpointable: true, checkpoint_time: 2s, attempts: 5}
  - {name: engraving, urgency: ordinary, idempotent: false, checkpointable: false, attempts: 1}
workspaces:]]
    lines[#lines + 1] = "  - {name: desk, token_sha256: " .. token_hashes.desk .. (options.desk or "") .. "}"
    lines[#lines + 1] = "  - {name: club, token_sha256: " .. token_hashes.club .. (options.club or "") .. "}"
    return table.concat(lines, "\n") .. "\n" .. (options.extra or "")
end

-- Publishes the sample text at one instance and waits for it at all.
function publish_sample(options)
    local first = (options and options.at) or next(instances)
    local reply
    eventually(first .. " takes the text", function()
        reply = publish(first, sample_text(options), 0)
        return reply.status == 200 or reply.status == 409
    end)
    for name, instance in pairs(instances) do
        await_version(name, 1)
        if next(domains[instance.domain].executors) then
            eventually(name .. " has found its executors", function()
                return outcome_of(request(name, { operation = "free-seats", body = { seat = "ready" } })) == "done"
            end)
        end
    end
end

-- What truly ran ---------------------------------------------------------------

-- Runs at executors whose body holds `mark`.
function executor_runs(mark)
    local found = {}
    for _, domain in pairs(domains) do
        for id in pairs(domain.executors) do
            for _, run in ipairs(history(id)) do
                if run.body:find(mark, 1, true) then
                    found[#found + 1] = run
                end
            end
        end
    end
    return found
end

-- Runs at workers of the job with this tag, oldest first.
function task_runs(tag)
    local found = {}
    for _, domain in pairs(domains) do
        for id in pairs(domain.workers) do
            for _, run in ipairs(history(id)) do
                if run.tag == tag then
                    found[#found + 1] = run
                end
            end
        end
    end
    table.sort(found, function(x, y) return x.started < y.started end)
    return found
end

function running_members(tag)
    local count = 0
    for _, run in ipairs(task_runs(tag)) do
        if run.ended == 0 then
            count = count + 1
        end
    end
    return count
end

-- The longest time in ms during which some but not all `members` of a gang ran.
function longest_partial(tag, members)
    local moments = {}
    for _, run in ipairs(task_runs(tag)) do
        moments[#moments + 1] = { at = run.started, change = 1 }
        moments[#moments + 1] = { at = run.ended == 0 and rr.now() or run.ended, change = -1 }
    end
    table.sort(moments, function(x, y) return x.at < y.at or (x.at == y.at and x.change < y.change) end)
    local count, partial_since, longest = 0, nil, 0
    for _, moment in ipairs(moments) do
        count = count + moment.change
        local partial = count > 0 and count < members
        if partial and not partial_since then
            partial_since = moment.at
        elseif not partial and partial_since then
            longest = math.max(longest, moment.at - partial_since)
            partial_since = nil
        end
    end
    return longest
end

-- Judges that several scenarios share ---------------------------------------------

-- What a reply says of a request must be true by the executors' own record, which
-- the request's body is found in by its mark.
function check_truth(reply, mark)
    local runs = #executor_runs(mark)
    local outcome = outcome_of(reply)
    expect(runs <= 1, mark .. " ran at most once (" .. runs .. " runs)")
    if outcome == "done" then
        expect_equal(1, runs, mark .. " was said to be done and ran")
        local answer = rr.decode(reply.body.answer)
        expect(answer.echo:find(mark, 1, true), "the answer is that to " .. mark)
    elseif outcome == "not_run" then
        expect_equal(0, runs, mark .. " was said not to have run")
    end
    return outcome
end

-- Where a request is refused or left open, the caller is told when to come back.
function expect_retry_after(reply)
    expect(reply.headers and reply.headers["retry-after"], "the answer says when to come back")
end

-- Waits until the body with this mark has begun to run at an executor.
function await_run(mark)
    eventually(mark .. " has begun to run", function() return #executor_runs(mark) > 0 end)
end

-- Returns a function that looks at every instance and fails if any of them shows
-- a version below one that it showed before.
function version_watch()
    local highest = {}
    return function()
        for name in pairs(instances) do
            local version = rr.running(name .. ".entry") and version_of(name)
            if version then
                if version < (highest[name] or 0) then
                    error(name .. " went back from version " .. highest[name] .. " to " .. version, 2)
                end
                highest[name] = version
            end
        end
        return highest
    end
end

-- No accelerator of a worker is used twice, by the workers' own record.
function check_no_overlap(accelerators)
    for _, domain in pairs(domains) do
        for id in pairs(domain.workers) do
            local moments = {}
            for _, run in ipairs(history(id)) do
                moments[#moments + 1] = { at = run.started, change = run.accelerators }
                moments[#moments + 1] = { at = run.ended == 0 and math.huge or run.ended, change = -run.accelerators }
            end
            table.sort(moments, function(x, y) return x.at < y.at or (x.at == y.at and x.change < y.change) end)
            local used = 0
            for _, moment in ipairs(moments) do
                used = used + moment.change
                expect(used <= (accelerators or 8), "no more accelerators of " .. id .. " run than it has")
            end
        end
    end
end

-- The most members of a gang that ever ran at once; above its size means that two
-- attempts ran side by side.
function most_at_once(tag)
    local moments = {}
    for _, run in ipairs(task_runs(tag)) do
        moments[#moments + 1] = { at = run.started, change = 1 }
        moments[#moments + 1] = { at = run.ended == 0 and math.huge or run.ended, change = -1 }
    end
    table.sort(moments, function(x, y) return x.at < y.at or (x.at == y.at and x.change < y.change) end)
    local count, most = 0, 0
    for _, moment in ipairs(moments) do
        count = count + moment.change
        most = math.max(most, count)
    end
    return most
end

-- A gang of `members` never ran in part for longer than one lease and what it
-- takes to notice, and never twice at once.
lease_ms = 4000
function check_gang(tag, members)
    local partial = longest_partial(tag, members)
    expect(partial <= lease_ms + 500, "gang " .. tag .. " ran in part for " .. partial .. " ms, one lease at most")
    expect(most_at_once(tag) <= members, "gang " .. tag .. " never ran twice at once")
    check_no_overlap()
end

-- The instance that decides for the domain, as the instances' status tells.
function active_instance(domain)
    for name, instance in pairs(instances) do
        if instance.domain == domain and rr.running(name .. ".entry") then
            local reply = rr.http(describe_call(name, "GET", "/v1/status", nil, tokens.operator, 2000))
            local active = reply.status == 200 and (reply.body.activeInstance or reply.body.active_instance)
            if active and active ~= "" and instances[active] then
                return active
            end
        end
    end
    return nil
end

function await_active(domain)
    return eventually("domain " .. domain .. " has an active planner", function() return active_instance(domain) end)
end

-- Another live instance of the same domain.
function other_than(name)
    for other, instance in pairs(instances) do
        if other ~= name and instance.domain == instances[name].domain then
            return other
        end
    end
end
