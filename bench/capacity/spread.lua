-- Measures how long a published text takes to be in force everywhere: 14 failure
-- domains of two entry instances each, real processes. A driver is not needed.

local domains_count = 14
local changes = 30

local function percentile(values, share)
    table.sort(values)
    return values[math.max(1, math.ceil(#values * share))]
end

start_platform()
local names = {}
for d = 1, domains_count do
    domains["d" .. d] = { workers = {}, executors = {} }
    for i = 1, 2 do
        local name = "d" .. d .. "-" .. i
        start_instance(name, "d" .. d, { "planner", "entry" })
        names[#names + 1] = name
    end
end
for _, name in ipairs(names) do
    eventually(name .. " is healthy", function() return healthy(name) end)
end

local seconds = {}
for version = 1, changes do
    local at = rr.now()
    local reply = publish(names[version % #names + 1], sample_text { name = "text-" .. version, domains = { "d1" } }, version - 1)
    expect_equal(200, reply.status, "the text is accepted")
    local waiting = { table.unpack(names) }
    eventually("version " .. version .. " is in force everywhere", function()
        for i = #waiting, 1, -1 do
            if version_of(waiting[i]) == version then
                table.remove(waiting, i)
            end
        end
        return #waiting == 0
    end)
    seconds[#seconds + 1] = (rr.now() - at) / 1000
end
print(string.format("figure config_in_force_p50_s %.3f s", percentile(seconds, 0.5)))
print(string.format("figure config_in_force_p99_s %.3f s", percentile(seconds, 0.99)))
