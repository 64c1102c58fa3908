#pragma once

// The records of the log streams `jobs.<domain>`, which state the jobs that exist
// and how each one ended. docs/DESIGN.md, "Streams in the log", specifies the
// streams; this header declares the typed form of each record and its conversion
// to and from JSON.
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
    Submit, // A caller submitted a job; its id is jobIdAt() of the record's offset.
    Cancel,
    Starting, // Written before the start of a job that must not run twice.
    Final, // How a job ended; only the first one of a job is valid.
    Restate, // Repeats a job that has not ended, so that it survives the trimming of its Submit record.
};

std::string_view nameOf(JobRecordKind);

enum class JobOutcome {
    Done,
    Failed,
    Cancelled,
    Refused, // The job can never run.
    Unknown, // The job has possibly run once and must not run again.
};

std::string_view nameOf(JobOutcome);

// What a job requires. Accelerators, cores and memory are per member of the gang.
struct JobSpec {
    std::string jobClass;
    std::int64_t members { 1 };
    std::int64_t accelerators { 1 };
    std::int64_t cores { 1 };
    std::int64_t memoryMb { 1024 };
    std::string adjacent { "domain" }; // "worker", "rack" or "domain".
    Millis declaredRunTime { 60000 };
    Json payload;
};

// One record of any kind; a comment names the kinds that use the field.
struct JobRecord {
    JobRecordKind kind { JobRecordKind::Submit };
    std::uint64_t id { 0 }; // Starting, Final, Restate.
    std::string workspace; // All kinds except Starting.
    std::string key; // All kinds except Starting.
    Millis submitWallTime { 0 }; // Submit, Restate: when the caller submitted.
    JobSpec spec; // Submit, Restate.
    std::int64_t attempt { 0 }; // Starting, Restate.
    std::int64_t failures { 0 }; // Starting, Restate: number of earlier attempts that failed.
    std::string claimant; // Starting: the planner incarnation that starts the job.
    JobOutcome outcome { JobOutcome::Done }; // Final.
    std::string reason; // Final.
    std::string result; // Final.
};

inline constexpr std::size_t maxJobKeyLength = 128;
inline constexpr std::int64_t maxMembers = 512;
inline constexpr std::int64_t maxAcceleratorsPerMember = 64;

// The id of the job submitted at this offset. Ids start at 1, because 0 in a message
// stands for no job.
inline std::uint64_t jobIdAt(std::uint64_t submitOffset) { return submitOffset + 1; }

std::string jobStream(const std::string& domain);

Json toJson(const JobSpec&);
Json toJson(const JobRecord&);
Result<JobSpec> parseJobSpec(const Json&);
Result<JobRecord> parseJobRecord(const Json&);

} // namespace rattan::records
