-- Measures what one failure domain of the letter's size costs: real processes,
-- two entry instances, stand-in workers with five tasks each. Prints figures for
-- the number of workers in RATTAN_CAPACITY_WORKERS.

local workers = tonumber(os.getenv("RATTAN_CAPACITY_WORKERS") or "50")
local tasks_per_worker = 5
local gang = 5
local sample_s = 20
local urgent_jobs = 30
local ticks_per_second = 100

local function figure(name, value, unit)
    print(string.format("figure %s_%dw %.3f %s", name, workers, value, unit))
end

local function read(path)
    local file = io.open(path)
    local text = file and file:read("a") or ""
    if file then
        file:close()
    end
    return text
end

local function cpu_seconds(process)
    local stat = read("/proc/" .. rr.process_id(process) .. "/stat"):match("%) (.*)")
    local fields = {}
    for word in stat:gmatch("%S+") do
        fields[#fields + 1] = word
    end
    return (tonumber(fields[12]) + tonumber(fields[13])) / ticks_per_second
end

local function memory_mb(process, key, page)
    local text = read("/proc/" .. rr.process_id(process) .. "/" .. page)
    return tonumber(text:match(key .. ":%s+(%d+) kB")) / 1024
end

local function percentile(values, share)
    table.sort(values)
    return values[math.max(1, math.ceil(#values * share))]
end

local function running_tasks(name)
    local reply = call(name, "GET", "/v1/status")
    local count = 0
    for _, workspace in ipairs(reply.body and reply.body.workspaces or {}) do
        count = count + workspace.used_accelerators
    end
    return count
end

local function fill(name)
    local jobs = workers * tasks_per_worker // gang
    for i = 1, jobs do
        local reply = submit(name, { tag = "long-" .. i, members = gang, accelerators = 1, cores = 1, adjacent = "domain", run_ms = 36000000 })
        expect_equal(202, reply.status, "a job is taken")
    end
    eventually("all tasks run", function() return running_tasks(name) >= jobs * gang end, 120)
    return jobs * gang
end

-- Processor time, memory and traffic of an instance over the sample.
local function sample(names)
    local before = {}
    for _, name in ipairs(names) do
        before[name] = { bytes = rr.carried(name), at = rr.now() }
        for _, kind in ipairs(instances[name].kinds) do
            before[name][kind] = cpu_seconds(name .. "." .. kind)
        end
    end
    local ends = rr.now() + sample_s * 1000
    while rr.now() < ends do
        rr.pause(200)
    end
    local after = {}
    for _, name in ipairs(names) do
        local seconds = (rr.now() - before[name].at) / 1000
        local result = { cpu = 0, rss = 0, pss = 0, kb = (rr.carried(name) - before[name].bytes) / 1024 / seconds }
        for _, kind in ipairs(instances[name].kinds) do
            local process = name .. "." .. kind
            result[kind .. "_cpu"] = (cpu_seconds(process) - before[name][kind]) / seconds * 100
            result[kind .. "_rss"] = memory_mb(process, "VmRSS", "status")
            result.cpu = result.cpu + result[kind .. "_cpu"]
            result.rss = result.rss + result[kind .. "_rss"]
            result.pss = result.pss + memory_mb(process, "Pss", "smaps_rollup")
        end
        after[name] = result
    end
    return after
end

local function tell(role, result)
    for _, kind in ipairs { "driver", "planner", "entry" } do
        figure(role .. "_" .. kind .. "_cpu", result[kind .. "_cpu"], "percent")
        figure(role .. "_" .. kind .. "_rss", result[kind .. "_rss"], "MB")
    end
    figure(role .. "_cpu", result.cpu, "percent")
    figure(role .. "_rss", result.rss, "MB")
    figure(role .. "_pss", result.pss, "MB")
    figure(role .. "_traffic", result.kb, "KB/s")
end

-- From the caller's submit to the moment the worker started the task.
local function urgent_starts(name)
    local delays = {}
    for i = 1, urgent_jobs do
        local tag = "urgent-" .. i
        local at = rr.now()
        submit(name, { tag = tag, class = "departure-check", members = 1, accelerators = 1, cores = 1, run_ms = 100 })
        await_job(name, tag, "done", 30)
        delays[#delays + 1] = { tag = tag, at = at }
    end
    local seconds = {}
    for _, delay in ipairs(delays) do
        seconds[#seconds + 1] = (task_runs(delay.tag)[1].started - delay.at) / 1000
    end
    return percentile(seconds, 0.5), percentile(seconds, 0.99)
end

-- From the kill of the deciding instance to the next job that starts.
local function recovery(active, other)
    local at = rr.now()
    kill(active)
    submit(other, { tag = "after", members = 1, accelerators = 1, cores = 1, run_ms = 100 })
    eventually("a new job has started", function() return task_runs("after")[1] end, 60)
    return (task_runs("after")[1].started - at) / 1000
end

start { instances = 2, workers = workers, rack_size = 8 }
publish_sample { workers = workers // 8 * 8, rack_size = 8 }
local active = await_active("a")
local other = other_than(active)
local tasks = fill(active)
figure("tasks", tasks, "tasks")
local samples = sample { active, other }
tell("active", samples[active])
tell("standby", samples[other])
local p50, p99 = urgent_starts(active)
figure("urgent_start_p50", p50, "s")
figure("urgent_start_p99", p99, "s")
figure("recovery", recovery(active, other), "s")
eventually("the tasks are still known", function() return running_tasks(other) >= tasks end, 30)
