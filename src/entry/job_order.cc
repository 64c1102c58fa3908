#include "entry/job_order.h"

#include "entry/request_order.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::entry {

namespace {

    constexpr std::string_view step = "entry.job";

    std::int64_t fitting(std::int64_t have, std::int64_t each)
    {
        return each > 0 ? have / each : records::maxMembers;
    }

    // Members that fit on one empty worker of the pool.
    std::int64_t fitOnWorker(const records::JobSpec& spec, const config::WorkerPool& pool)
    {
        return std::min({ fitting(pool.accelerators, spec.accelerators), fitting(pool.cores, spec.cores),
            fitting(pool.memoryMb, spec.memoryMb) });
    }

    std::int64_t fitWithin(const records::JobSpec& spec, const config::WorkerPool& pool)
    {
        const std::int64_t onWorker = fitOnWorker(spec, pool);
        if (spec.adjacent == "worker")
            return onWorker;
        if (spec.adjacent == "rack")
            return onWorker * pool.workersPerRack;
        return onWorker * pool.workersPerRack * pool.racks;
    }

    std::int64_t mostThatFit(const records::JobSpec& spec, const config::Configuration& text, const std::string& domain)
    {
        std::int64_t fit = 0;
        for (const config::WorkerPool& pool : text.workers) {
            if (pool.domain != domain)
                continue;
            const std::int64_t within = fitWithin(spec, pool);
            fit = spec.adjacent == "domain" ? fit + within : std::max(fit, within);
        }
        return fit;
    }

    boost::leaf::error_id refuse(std::string message)
    {
        return fail(ErrorCode::Infeasible, std::string(step), "", std::move(message));
    }

} // namespace

Result<JobOrder> parseJobOrder(const std::string& body, const std::string& peer)
{
    BOOST_LEAF_AUTO(json, parseJson(body, std::string(step), peer));
    if (!json.is_object())
        return fail(ErrorCode::BadInput, std::string(step), peer, "a JSON object is expected");
    JobOrder order;
    JsonReader reader(json, std::string(step), peer);
    reader.allowUnknownFields();
    order.key = reader.textOr("key", "", records::maxJobKeyLength);
    if (!isPlainName(order.key))
        reader.addError("key may hold letters, digits and . _ : @ + - only");
    if (auto error = reader.error())
        return fail(std::move(*error));
    const Json none;
    const Json& members = reader.anyOr("members", none);
    if (members.is_number_unsigned() && members.get<std::uint64_t>() > static_cast<std::uint64_t>(records::maxMembers))
        return refuse(fmt::format("a gang has at most {} members", records::maxMembers));
    json.erase("key");
    BOOST_LEAF_ASSIGN(order.spec, records::parseJobSpec(json));
    return order;
}

Result<void> checkFeasible(const records::JobSpec& spec, const config::Configuration& text, const std::string& domain,
    const config::Workspace* workspace)
{
    const bool known = std::any_of(text.jobClasses.begin(), text.jobClasses.end(),
        [&](const config::JobClass& one) { return one.name == spec.jobClass; });
    if (!known)
        return refuse(fmt::format("the text in force has no job class '{}'", spec.jobClass));
    const std::int64_t wanted = spec.members * spec.accelerators;
    if (workspace && workspace->maxAccelerators > 0 && wanted > workspace->maxAccelerators)
        return refuse(fmt::format("the job asks for {} accelerators, workspace '{}' may use {}", wanted, workspace->name,
            workspace->maxAccelerators));
    const std::int64_t fit = mostThatFit(spec, text, domain);
    if (fit < spec.members)
        return refuse(fmt::format("{} members of {} accelerators, {} cores and {} MB within one {}: the workers declared "
                                  "for failure domain '{}' hold {} at most",
            spec.members, spec.accelerators, spec.cores, spec.memoryMb, spec.adjacent, domain, fit));
    return {};
}

} // namespace rattan::entry
