// Both texts are flattened to "path: value" pairs, which are then compared.

#include "ctl/text_diff.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <map>

namespace rattan::ctl {

namespace {

    using Flat = std::map<std::string, std::string>;

    std::string durationText(Millis ms)
    {
        constexpr Millis second = 1000;
        return ms % second == 0 ? fmt::format("{}s", ms / second) : fmt::format("{}ms", ms);
    }

    // Enough of a digest to tell two apart.
    std::string shortDigest(const std::string& digest)
    {
        constexpr std::size_t shown = 8;
        return digest.substr(0, shown) + "...";
    }

    void flattenOperators(const config::Configuration& text, Flat& flat)
    {
        for (const config::Operator& one : text.operators)
            flat["operators." + one.name + ".token_sha256"] = shortDigest(one.tokenSha256);
    }

    void flattenWorkers(const config::Configuration& text, Flat& flat)
    {
        std::map<std::string, std::vector<std::string>> pools;
        for (const config::WorkerPool& pool : text.workers) {
            pools[pool.domain].push_back(fmt::format("{} x {} workers with {} accelerators, {} cores, {} MiB", pool.racks, pool.workersPerRack,
                pool.accelerators, pool.cores, pool.memoryMb));
        }
        for (auto& [domain, lines] : pools) {
            std::sort(lines.begin(), lines.end());
            flat["workers." + domain] = fmt::format("{}", fmt::join(lines, " + "));
        }
    }

    void flattenServices(const config::Configuration& text, Flat& flat)
    {
        for (const config::Service& service : text.services) {
            std::vector<std::string> needs = service.dependsOn;
            std::sort(needs.begin(), needs.end());
            flat["services." + service.name + ".depends_on"] = needs.empty() ? "none" : fmt::format("{}", fmt::join(needs, ", "));
            for (const config::Operation& operation : service.operations) {
                const std::string path = "services." + service.name + ".operations." + operation.name;
                flat[path + ".urgency"] = nameOf(operation.urgency);
                flat[path + ".idempotent"] = fmt::to_string(operation.idempotent);
                flat[path + ".deadline"] = durationText(operation.deadline);
            }
        }
    }

    void flattenJobClasses(const config::Configuration& text, Flat& flat)
    {
        for (const config::JobClass& one : text.jobClasses) {
            const std::string path = "job_classes." + one.name;
            flat[path + ".urgency"] = nameOf(one.urgency);
            flat[path + ".idempotent"] = fmt::to_string(one.idempotent);
            flat[path + ".checkpointable"] = fmt::to_string(one.checkpointable);
            flat[path + ".checkpoint_time"] = durationText(one.checkpointTime);
            flat[path + ".stoppable"] = fmt::to_string(one.stoppable);
            flat[path + ".attempts"] = fmt::to_string(one.attempts);
        }
    }

    void flattenWorkspaces(const config::Configuration& text, Flat& flat)
    {
        for (const config::Workspace& one : text.workspaces) {
            const std::string path = "workspaces." + one.name;
            flat[path + ".token_sha256"] = shortDigest(one.tokenSha256);
            flat[path + ".guarantees"] = describeShapes(one.guarantees);
            flat[path + ".most_accelerators"] = one.maxAccelerators == 0 ? "no limit" : fmt::to_string(one.maxAccelerators);
            flat[path + ".most_queued_jobs"] = fmt::to_string(one.maxQueuedJobs);
            flat[path + ".requests_per_second"] = fmt::to_string(one.requestsPerSecond);
        }
    }

    Flat flatten(const config::Configuration& text)
    {
        Flat flat { { "name", text.name }, { "format", fmt::to_string(text.format) } };
        flattenOperators(text, flat);
        flattenWorkers(text, flat);
        flattenServices(text, flat);
        flattenJobClasses(text, flat);
        flattenWorkspaces(text, flat);
        return flat;
    }

} // namespace

std::string_view nameOf(Difference::Kind kind)
{
    static constexpr std::array<std::string_view, 3> names { "added", "removed", "changed" };
    return names[static_cast<std::size_t>(kind)];
}

std::vector<Difference> differencesBetween(const config::Configuration& before, const config::Configuration& after)
{
    const Flat old = flatten(before);
    const Flat fresh = flatten(after);
    Flat paths = old;
    paths.insert(fresh.begin(), fresh.end());
    std::vector<Difference> differences;
    for (const auto& [path, unused] : paths) {
        const auto was = old.find(path);
        const auto is = fresh.find(path);
        if (was == old.end())
            differences.push_back({ Difference::Kind::Added, path, "", is->second });
        else if (is == fresh.end())
            differences.push_back({ Difference::Kind::Removed, path, was->second, "" });
        else if (was->second != is->second)
            differences.push_back({ Difference::Kind::Changed, path, was->second, is->second });
    }
    return differences;
}

std::string describeShapes(const std::vector<config::GuaranteedShape>& shapes)
{
    std::vector<std::string> parts;
    parts.reserve(shapes.size());
    for (const config::GuaranteedShape& shape : shapes)
        parts.push_back(fmt::format("{} x {} accelerators, one {} each", shape.count, shape.accelerators, nameOf(shape.within)));
    std::sort(parts.begin(), parts.end());
    return parts.empty() ? "none" : fmt::format("{}", fmt::join(parts, " + "));
}

std::string describe(const Difference& difference)
{
    switch (difference.kind) {
    case Difference::Kind::Added:
        return fmt::format("+ {}: {}", difference.path, difference.after);
    case Difference::Kind::Removed:
        return fmt::format("- {}: {}", difference.path, difference.before);
    case Difference::Kind::Changed:
        return fmt::format("~ {}: {} -> {}", difference.path, difference.before, difference.after);
    }
    return {};
}

} // namespace rattan::ctl
