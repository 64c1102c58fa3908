#pragma once

// The records of the streams `jobs.<domain>`: what jobs exist, and how each one
// ended. docs/DESIGN.md, "Streams in the log", gives the rules; this header
// gives the typed form and the JSON form of each record.
//
//     JobRecord record { .kind = JobRecordKind::Submit, .workspace = "tours", .key = "k1", .spec = spec };
//     log.append(jobStream(domain), { toJson(record) });

#include "base/clock.h"
#include "base/json.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rattan::records {

enum class JobRecordKind {
    Submit, // A caller wants a job; jobIdAt the record's offset becomes its id.
    Cancel,
    Starting, // Says, before it happens, that a job which must not run twice starts.
    Final, // How a job ended; the first one counts.
    Restate, // Carries a job that has not ended past the trimming of its submit.
};

std::string_view nameOf(JobRecordKind);

enum class JobOutcome {
    Done,
    Failed,
    Cancelled,
    Refused, // Could never run.
    Unknown, // May have run once, and must not run again.
};

std::string_view nameOf(JobOutcome);

// Amounts are per member of the gang.
struct JobSpec {
    std::string jobClass;
    std::int64_t members { 1 };
    std::int64_t accelerators { 1 };
    std::int64_t cores { 1 };
    std::int64_t memoryMb { 1024 };
    std::string adjacent { "domain" }; // worker, rack or domain.
    Millis declaredRunTime { 60000 };
    Json payload;
};

struct JobRecord {
    JobRecordKind kind { JobRecordKind::Submit };
    std::uint64_t id { 0 }; // Starting, Final, Restate.
    std::string workspace;
    std::string key;
    Millis submitWallTime { 0 }; // Submit, Restate: when the caller submitted.
    JobSpec spec; // Submit, Restate.
    std::int64_t attempt { 0 }; // Starting, Restate.
    std::int64_t failures { 0 }; // Starting, Restate: attempts before that failed.
    std::string claimant; // Starting: the planner incarnation that will start it.
    JobOutcome outcome { JobOutcome::Done }; // Final.
    std::string reason; // Final.
    std::string result; // Final.
};

inline constexpr std::size_t maxJobKeyLength = 128;
inline constexpr std::int64_t maxMembers = 512;
inline constexpr std::int64_t maxAcceleratorsPerMember = 64;

// Ids start at 1: a 0 in a message means that no job is meant.
inline std::uint64_t jobIdAt(std::uint64_t submitOffset) { return submitOffset + 1; }

std::string jobStream(const std::string& domain);

Json toJson(const JobSpec&);
Json toJson(const JobRecord&);
Result<JobSpec> parseJobSpec(const Json&);
Result<JobRecord> parseJobRecord(const Json&);

} // namespace rattan::records
