#include "config/keys.h"

#include <array>
#include <fmt/format.h>
#include <stdexcept>

namespace rattan::config {

namespace {

    constexpr std::int64_t second = 1000;
    constexpr std::int64_t hour = 3600 * second;
    constexpr std::int64_t terabyte = 1 << 20;

    std::string durationText(std::int64_t ms)
    {
        if (ms % hour == 0)
            return fmt::format("{}h", ms / hour);
        return ms % second == 0 ? fmt::format("{}s", ms / second) : fmt::format("{}ms", ms);
    }

} // namespace

std::string_view nameOf(Section section)
{
    static constexpr std::array<std::string_view, 8> names { "", "operators", "workers", "services",
        "services.operations", "job_classes", "workspaces", "workspaces.guarantees" };
    return names[static_cast<std::size_t>(section)];
}

const std::vector<Key>& allKeys()
{
    using enum Section;
    static const std::vector<Key> keys {
        { TopLevel, "format", ValueKind::Number, true, 1, 1 },
        { TopLevel, "name", ValueKind::Name, true, 0, 0 },
        { TopLevel, "operators", ValueKind::Items, true, 1, 200 },
        { TopLevel, "workers", ValueKind::Items, true, 1, 1000 },
        { TopLevel, "services", ValueKind::Items, false, 0, 500 },
        { TopLevel, "job_classes", ValueKind::Items, false, 0, 500 },
        { TopLevel, "workspaces", ValueKind::Items, true, 1, 2000 },
        { Operators, "name", ValueKind::Name, true, 0, 0 },
        { Operators, "token_sha256", ValueKind::Digest, true, 0, 0 },
        { Workers, "domain", ValueKind::Name, true, 0, 0 },
        { Workers, "racks", ValueKind::Number, true, 1, 1000 },
        { Workers, "workers_per_rack", ValueKind::Number, true, 1, 1000 },
        { Workers, "accelerators", ValueKind::Number, true, 0, 64 },
        { Workers, "cores", ValueKind::Number, true, 1, 4096 },
        { Workers, "memory", ValueKind::Memory, true, 1, 64 * terabyte },
        { Services, "name", ValueKind::Name, true, 0, 0 },
        { Services, "depends_on", ValueKind::Names, false, 0, 100 },
        { Services, "operations", ValueKind::Items, true, 1, 100 },
        { Operations, "name", ValueKind::Name, true, 0, 0 },
        { Operations, "urgency", ValueKind::Urgency, false, 0, 0 },
        { Operations, "idempotent", ValueKind::Flag, true, 0, 0 },
        { Operations, "deadline", ValueKind::Duration, false, 10, hour },
        { JobClasses, "name", ValueKind::Name, true, 0, 0 },
        { JobClasses, "urgency", ValueKind::Urgency, false, 0, 0 },
        { JobClasses, "idempotent", ValueKind::Flag, true, 0, 0 },
        { JobClasses, "checkpointable", ValueKind::Flag, false, 0, 0 },
        { JobClasses, "checkpoint_time", ValueKind::Duration, false, second, hour },
        { JobClasses, "stoppable", ValueKind::Flag, false, 0, 0 },
        { JobClasses, "attempts", ValueKind::Number, false, 1, 100 },
        { Workspaces, "name", ValueKind::Name, true, 0, 0 },
        { Workspaces, "token_sha256", ValueKind::Digest, true, 0, 0 },
        { Workspaces, "guarantees", ValueKind::Items, false, 0, 32 },
        { Workspaces, "most_accelerators", ValueKind::Number, false, 0, 1000000 },
        { Workspaces, "most_queued_jobs", ValueKind::Number, false, 1, 100000 },
        { Workspaces, "requests_per_second", ValueKind::Number, false, 1, 1000000 },
        { Guarantees, "count", ValueKind::Number, false, 1, 4096 },
        { Guarantees, "accelerators", ValueKind::Number, true, 1, 65536 },
        { Guarantees, "within", ValueKind::Adjacency, false, 0, 0 },
    };
    return keys;
}

const Key& keyOf(Section section, std::string_view name)
{
    for (const Key& key : allKeys()) {
        if (key.section == section && key.name == name)
            return key;
    }
    throw std::logic_error(fmt::format("no key {} in section {}", name, nameOf(section)));
}

std::string describeAccepted(const Key& key)
{
    switch (key.kind) {
    case ValueKind::Name:
        return fmt::format("a name of lower-case letters, digits and inner hyphens, at most {} bytes", maxNameBytes);
    case ValueKind::Names:
        return fmt::format("a list of at most {} names", key.max);
    case ValueKind::Digest:
        return "64 hex digits: the SHA-256 of the token";
    case ValueKind::Number:
        return key.min == key.max ? fmt::format("{}", key.min) : fmt::format("a whole number from {} to {}", key.min, key.max);
    case ValueKind::Duration:
        return fmt::format("a duration from {} to {}, in ms, s, m or h, like 30s", durationText(key.min), durationText(key.max));
    case ValueKind::Memory:
        return fmt::format("memory from {}MiB to {}TiB, in MB, GB, TB, MiB, GiB or TiB, like 64GiB", key.min, key.max / terabyte);
    case ValueKind::Flag:
        return "true or false";
    case ValueKind::Urgency:
        return "urgent, ordinary or patient";
    case ValueKind::Adjacency:
        return "worker, rack or domain";
    case ValueKind::Items:
        return fmt::format("a list of {} to {} maps", key.min, key.max);
    }
    return {};
}

std::string joinKeyNames(Section section)
{
    std::vector<std::string_view> names;
    for (const Key& key : allKeys()) {
        if (key.section == section)
            names.push_back(key.name);
    }
    return fmt::format("{}", fmt::join(names, ", "));
}

} // namespace rattan::config
