#pragma once

// The durable state of a job's tasks, which callers see and which a planner that takes over
// continues from. Only the leading planner writes it to the log.
//
// A unit is what is placed together: a single task, or all tasks of a gang. A run is recorded
// with its workers before its first start is sent, so that a later planner knows of every
// run that can exist.

#include "tasks/crash_history.h"
#include "tasks/job.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattan::tasks {

enum class JobState {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

std::string_view nameOf(JobState);
std::optional<JobState> parseJobState(std::string_view);
inline bool isFinal(JobState state) { return state >= JobState::Completed; }

enum class UnitState {
    Waiting,
    Running, // From before the first start of a run is sent until all its members have ended.
    Done,
};

// The index of a unit that consists of a whole gang.
inline constexpr std::int64_t wholeGang = -1;

struct UnitKey {
    std::string job;
    std::int64_t occurrence { 0 };
    std::int64_t step { 0 };
    std::int64_t index { 0 }; // The index of the task in the step, or wholeGang.

    // clang-tidy 14 mistakes the zero in a defaulted comparison for a null pointer.
    auto operator<=>(const UnitKey&) const = default; // NOLINT(modernize-use-nullptr)
};

// Identifies a worker from its start to its end. After a restart, a worker with the same id
// is another incarnation.
struct Incarnation {
    std::string id;
    Millis born { 0 }; // When it started.

    // clang-tidy 14 mistakes the zero in a defaulted comparison for a null pointer.
    auto operator<=>(const Incarnation&) const = default; // NOLINT(modernize-use-nullptr)
};

struct UnitProgress {
    std::int64_t occurrence { 0 };
    std::int64_t step { 0 };
    std::int64_t index { 0 };
    std::int64_t run { 0 }; // The number of the last run; 0 if it was never started.
    std::vector<std::int64_t> failedRuns; // Runs that failed because of the task itself.
    UnitState state { UnitState::Waiting };
    std::string checkpoint; // The newest one, or empty if there is none.
    std::vector<Incarnation> workers; // While Running, the worker of each member, in the order of the members.
    std::vector<CrashedRun> crashes; // Runs that ended because their worker crashed.
    bool suspect { false }; // The unit may crash its next worker as well.
    std::vector<std::int64_t> startedMembers; // While Running, members whose starts were answered; recorded after a crash, and if a worker falls silent soon after a start.

    bool operator==(const UnitProgress&) const = default;
};

struct Progress {
    JobState state { JobState::Queued };
    bool started { false }; // At least one task has started.
    std::string reason; // Why the job failed, in a form for users.
    std::int64_t occurrencesDone { 0 }; // All occurrences with lower numbers are done.
    std::vector<UnitProgress> units; // The units that were ever started, of occurrences that aren't done.
    std::optional<QueueTerms> terms; // The terms in force, if they are newer than those of the job's record.

    bool operator==(const Progress&) const = default;
};

} // namespace rattan::tasks
