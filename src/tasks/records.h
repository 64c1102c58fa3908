#pragma once

// The format of job records in the platform's log. The log keeps the newest value of each
// key, in two streams. Every instance reads the first one:
//
//     job/ID      the submitted job; written by the instance that accepted it
//     cancel/ID   its cancellation; written by any instance
//     state/ID    the state that callers see; written by the leading planner, a few times per job
//     load/QUEUE  an excess of work (admission.h); written by the leading planner, read by LoadTable
//     lease/ID    a bound for the leases of a silent worker (task_planner_leases.cc); written by the
//                 leading planner, used by the one that takes over
//
// The second one changes with each start and end of a task, and only a planner that takes
// over reads it:
//
//     progress/ID its Progress; written by the leading planner
//     learned/    run times of queues and speeds of workers; written by the leading planner
//
// A value of the second stream that is larger than the log takes is kept in parts (split_record.h).
//
// A job has several keys because a submission that is repeated seconds after it was
// accepted writes the job's key again, which must neither undo a cancellation nor discard
// progress. The values are JSON with field names of this project; version 2.

#include "base/error.h"
#include "tasks/job.h"
#include "tasks/progress.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace rattan::tasks {

enum class RecordKind {
    Job,
    Cancel,
    State,
    Progress,
    Estimates,
    LeaseLimit,
};

struct RecordKey {
    RecordKind kind { RecordKind::Job };
    std::string job; // Of a lease limit, the id of the worker.
};

// While this record is the newest of its worker, the planner that wrote it grants no lease there.
struct LeaseLimit {
    std::int64_t term { 0 }; // Of the planner that wrote it.
    Millis remaining { 0 }; // No lease is alive this long after the record was written.
};

std::string formatKey(const RecordKey&);
Result<RecordKey> parseKey(std::string_view);

std::string encodeJob(const Job&);
Result<Job> decodeJob(std::string_view id, std::string_view value);

std::string encodeState(JobState);
Result<JobState> decodeState(std::string_view value);

std::string encodeProgress(const Progress&);

// In a form that needs less than half of the size, with done units as ranges and each worker named
// once. Earlier versions can't read it, so it is used only for progress that is too large otherwise.
std::string encodeProgressBriefly(const Progress&);

// In the usual form if that is smaller than `maxBytes`.
std::string encodeProgress(const Progress&, std::size_t maxBytes);
Result<Progress> decodeProgress(std::string_view value);

std::string encodeLeaseLimit(const LeaseLimit&);
Result<LeaseLimit> decodeLeaseLimit(std::string_view value);

// Returns the value of a cancellation record; only the presence of the record matters.
std::string encodeCancel();

} // namespace rattan::tasks
