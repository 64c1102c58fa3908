// The part of the API that concerns jobs.

#include "entry/api.h"
#include "entry/claim_key.h"
#include "entry/job_order.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace rattan::entry {

namespace {

    constexpr int ok = 200;
    constexpr int accepted = 202;
    constexpr std::string_view step = "entry.job";
    constexpr std::uint32_t defaultJobs = 100;
    constexpr std::uint32_t mostJobs = 1000;

    // Time for the append and, since a job record may be appended again after a
    // lost reply, for a few more tries.
    constexpr Millis appendTime = 5000;
    constexpr std::chrono::milliseconds noConfigRetryAfter(2000);

    Result<std::uint32_t> parseLimit(const std::string& text)
    {
        if (text.empty())
            return defaultJobs;
        std::uint32_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || value == 0 || value > mostJobs)
            return fail(ErrorCode::BadInput, std::string(step), "", fmt::format("limit must be a whole number from 1 to {}", mostJobs));
        return value;
    }

    Result<void> checkKey(const std::string& key)
    {
        if (key.empty() || key.size() > records::maxJobKeyLength || !isPlainName(key))
            return fail(ErrorCode::BadInput, std::string(step), "", "the key of a job is expected");
        return {};
    }

} // namespace

Result<http::Answer> Api::postJob(const Caller& caller, const http::Request& request)
{
    BOOST_LEAF_AUTO(order, parseJobOrder(request.body, request.peer));
    const auto active = this->parts.config.active();
    if (!active)
        return fail(ErrorCode::Unavailable, std::string(step), "", "no configuration is in force yet", noConfigRetryAfter);
    BOOST_LEAF_CHECK(checkFeasible(order.spec, active->text, this->parts.domain, active->workspace(caller.name)));
    records::JobRecord record;
    record.kind = records::JobRecordKind::Submit;
    record.workspace = caller.name;
    record.key = order.key.empty() ? mintKey(this->parts.clock.wall()) : order.key;
    record.submitWallTime = this->parts.clock.wall();
    record.spec = order.spec;
    BOOST_LEAF_CHECK(this->appendJobRecord(record));
    return http::jsonAnswer(accepted, { { "key", record.key }, { "state", "queued" } });
}

Result<http::Answer> Api::getJobs(const Caller& caller, const http::Request& request)
{
    BOOST_LEAF_AUTO(limit, parseLimit(request.parameter("limit")));
    BOOST_LEAF_AUTO(views, this->parts.planner.jobs(caller.name, limit));
    return http::jsonAnswer(ok, { { "jobs", std::move(views) } });
}

Result<http::Answer> Api::getJob(const Caller& caller, const http::Request& request)
{
    const std::string key = request.parameter("key");
    BOOST_LEAF_CHECK(checkKey(key));
    BOOST_LEAF_AUTO(view, this->parts.planner.job(caller.name, key));
    if (!view)
        return fail(ErrorCode::NotFound, std::string(step), "", fmt::format("no job '{}' is known; one submitted just now may take a second to appear", key));
    return http::jsonAnswer(ok, *view);
}

Result<http::Answer> Api::deleteJob(const Caller& caller, const http::Request& request)
{
    const std::string key = request.parameter("key");
    BOOST_LEAF_CHECK(checkKey(key));
    records::JobRecord record;
    record.kind = records::JobRecordKind::Cancel;
    record.workspace = caller.name;
    record.key = key;
    BOOST_LEAF_CHECK(this->appendJobRecord(record));
    return http::jsonAnswer(accepted, { { "key", key }, { "state", "cancelling" } });
}

// The reply to an append can be lost after it took effect. Of several submits
// with a key the first counts, and cancelling twice is cancelling once, so the
// record is appended again instead of leaving the caller in doubt.
Result<void> Api::appendJobRecord(const records::JobRecord& record)
{
    const Millis deadline = this->parts.clock.now() + appendTime;
    bool mayBeThere = false; // By any of the tries.
    while (true) {
        const Millis left = deadline - this->parts.clock.now();
        const auto offset = attempt([&] { return this->parts.jobs.append(toJson(record), std::chrono::milliseconds(std::max<Millis>(left, 0))); });
        if (offset)
            return {};
        const bool doubtful = offset.error.code == ErrorCode::Timeout || offset.error.code == ErrorCode::Interrupted;
        mayBeThere = mayBeThere || doubtful;
        if (doubtful && this->parts.clock.now() < deadline)
            continue;
        Error error = offset.error;
        error.message = mayBeThere ? "the job may have been taken; asking again with the same key is safe" : "the job was not taken: " + error.message;
        error.code = ErrorCode::Unavailable;
        error.retryAfter = std::max(error.retryAfter, std::chrono::milliseconds(1000));
        return fail(std::move(error));
    }
}

} // namespace rattan::entry
