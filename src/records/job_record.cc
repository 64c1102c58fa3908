#include "records/job_record.h"

#include "base/name_lookup.h"
#include <array>
#include <limits>

namespace rattan::records {

namespace {

    constexpr std::array<std::string_view, 5> kindNames { "submit", "cancel", "starting", "final", "restate" };
    constexpr std::array<std::string_view, 5> outcomeNames { "done", "failed", "cancelled", "refused", "unknown" };
    constexpr std::array<std::string_view, 3> adjacencyNames { "worker", "rack", "domain" };
    constexpr std::size_t maxNameLength = 200;
    constexpr std::size_t maxTextLength = 1 << 16;
    constexpr std::int64_t maxCores = 4096;
    constexpr std::int64_t maxMemoryMb = 1 << 24;
    constexpr Millis maxRunTime = Millis { 1000 } * 60 * 60 * 24 * 365;

    template <std::size_t count>
    std::size_t indexOf(const std::array<std::string_view, count>& names, const std::string& name, JsonReader& reader)
    {
        const auto index = indexOfName(names, name);
        if (!index)
            reader.addError("'" + name + "' is not a known name");
        return index.value_or(0);
    }

    bool hasSpec(JobRecordKind kind) { return kind == JobRecordKind::Submit || kind == JobRecordKind::Restate; }

    bool hasId(JobRecordKind kind) { return kind != JobRecordKind::Submit && kind != JobRecordKind::Cancel; }

    bool hasKey(JobRecordKind kind) { return kind != JobRecordKind::Starting; }

} // namespace

std::string_view nameOf(JobRecordKind kind) { return kindNames.at(static_cast<std::size_t>(kind)); }

std::string_view nameOf(JobOutcome outcome) { return outcomeNames.at(static_cast<std::size_t>(outcome)); }

std::string jobStream(const std::string& domain) { return "jobs." + domain; }

Json toJson(const JobSpec& spec)
{
    return { { "class", spec.jobClass }, { "members", spec.members }, { "accelerators", spec.accelerators },
        { "cores", spec.cores }, { "memory_mb", spec.memoryMb }, { "adjacent", spec.adjacent },
        { "run_ms", spec.declaredRunTime }, { "payload", spec.payload } };
}

Json toJson(const JobRecord& record)
{
    Json json { { "kind", nameOf(record.kind) } };
    if (hasId(record.kind))
        json["id"] = record.id;
    if (hasKey(record.kind)) {
        json["workspace"] = record.workspace;
        json["key"] = record.key;
    }
    if (hasSpec(record.kind)) {
        json["at_ms"] = record.submitWallTime;
        json["spec"] = toJson(record.spec);
    }
    if (record.kind == JobRecordKind::Starting || record.kind == JobRecordKind::Restate) {
        json["attempt"] = record.attempt;
        json["failures"] = record.failures;
    }
    if (record.kind == JobRecordKind::Starting)
        json["claimant"] = record.claimant;
    if (record.kind == JobRecordKind::Final) {
        json["outcome"] = nameOf(record.outcome);
        json["reason"] = record.reason;
        json["result"] = record.result;
    }
    return json;
}

Result<JobSpec> parseJobSpec(const Json& json)
{
    JsonReader reader(json, "job.spec");
    JobSpec spec;
    spec.jobClass = reader.text("class", 1, maxNameLength);
    spec.members = reader.numberOr("members", spec.members, 1, maxMembers);
    spec.accelerators = reader.numberOr("accelerators", spec.accelerators, 0, maxAcceleratorsPerMember);
    spec.cores = reader.numberOr("cores", spec.cores, 0, maxCores);
    spec.memoryMb = reader.numberOr("memory_mb", spec.memoryMb, 0, maxMemoryMb);
    spec.adjacent = reader.textOr("adjacent", spec.adjacent, maxNameLength);
    indexOf(adjacencyNames, spec.adjacent, reader);
    spec.declaredRunTime = reader.numberOr("run_ms", spec.declaredRunTime, 1, maxRunTime);
    spec.payload = reader.anyOr("payload", Json::object());
    return reader.finish(std::move(spec));
}

Result<JobRecord> parseJobRecord(const Json& json)
{
    JsonReader reader(json, "job.record");
    JobRecord record;
    record.kind = static_cast<JobRecordKind>(indexOf(kindNames, reader.text("kind", 1, maxNameLength), reader));
    constexpr std::int64_t maxNumber = std::numeric_limits<std::int64_t>::max();
    if (hasId(record.kind))
        record.id = static_cast<std::uint64_t>(reader.number("id", 0, maxNumber));
    if (hasKey(record.kind)) {
        record.workspace = reader.text("workspace", 1, maxNameLength);
        record.key = reader.text("key", 1, maxJobKeyLength);
    }
    record.submitWallTime = reader.numberOr("at_ms", 0, 0, maxNumber);
    record.attempt = reader.numberOr("attempt", 0, 0, maxNumber);
    record.failures = reader.numberOr("failures", 0, 0, maxNumber);
    record.claimant = reader.textOr("claimant", "", maxNameLength);
    if (record.kind == JobRecordKind::Final)
        record.outcome = static_cast<JobOutcome>(indexOf(outcomeNames, reader.text("outcome", 1, maxNameLength), reader));
    record.reason = reader.textOr("reason", "", maxTextLength);
    record.result = reader.textOr("result", "", maxTextLength);
    if (hasSpec(record.kind)) {
        BOOST_LEAF_AUTO(spec, parseJobSpec(reader.anyOr("spec", Json())));
        record.spec = std::move(spec);
    }
    return reader.finish(std::move(record));
}

} // namespace rattan::records
