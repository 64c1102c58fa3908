#pragma once

// How jobs stand in the platform's log: records of the newest value of each key, in two
// streams. Every instance reads the first one:
//
//     job/ID      the job as handed in; written by the instance that accepted it
//     cancel/ID   its cancelling; by any instance
//     state/ID    what callers are shown; by the deciding planner, a few times for a job
//
// The second one changes with each start and end of a task, and is read by whoever takes
// over planning only:
//
//     progress/ID its Progress; by the deciding planner
//     learned/    run times and speeds of workers; by the deciding planner
//
// Several keys instead of one, because a repeat of a submit, seconds after it was
// accepted, writes the job's key again and must neither undo a cancelling nor
// forget progress. The values are JSON with names of our own; version 2.

#include "base/error.h"
#include "tasks/job.h"
#include "tasks/progress.h"

#include <string>
#include <string_view>

namespace rattan::tasks {

enum class RecordKind {
    Job,
    Cancel,
    State,
    Progress,
    Estimates,
};

struct RecordKey {
    RecordKind kind { RecordKind::Job };
    std::string job;
};

std::string formatKey(const RecordKey&);
Result<RecordKey> parseKey(std::string_view);

std::string encodeJob(const Job&);
Result<Job> decodeJob(std::string_view id, std::string_view value);

std::string encodeState(JobState);
Result<JobState> decodeState(std::string_view value);

std::string encodeProgress(const Progress&);
Result<Progress> decodeProgress(std::string_view value);

// The value of a cancelling; its presence is all that counts.
std::string encodeCancel();

} // namespace rattan::tasks
