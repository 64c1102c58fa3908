#pragma once

// What is known for good of a job's tasks: what a planner that takes over needs,
// and what callers are shown. Written to the log by the deciding planner only.
//
// A unit is what is placed at once: a task, or all tasks of a gang. A run is
// recorded with its workers before its first start is sent, so that no run can
// exist that a successor does not know of.

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
    Running, // From before its first start until all of its run has ended.
    Done,
};

// The index of a unit that stands for a whole gang.
inline constexpr std::int64_t wholeGang = -1;

struct UnitKey {
    std::string job;
    std::int64_t occurrence { 0 };
    std::int64_t step { 0 };
    std::int64_t index { 0 }; // Or wholeGang.

    // clang-tidy 14 takes the zero that a defaulted comparison is held against for a pointer.
    auto operator<=>(const UnitKey&) const = default; // NOLINT(modernize-use-nullptr)
};

// A worker's incarnation: after a restart it is another worker, also under the same id.
struct Incarnation {
    std::string id;
    Millis born { 0 };

    // clang-tidy 14 takes the zero that a defaulted comparison is held against for a pointer.
    auto operator<=>(const Incarnation&) const = default; // NOLINT(modernize-use-nullptr)
};

struct UnitProgress {
    std::int64_t occurrence { 0 };
    std::int64_t step { 0 };
    std::int64_t index { 0 };
    std::int64_t run { 0 }; // Of the last start; 0: never started.
    std::vector<std::int64_t> failedRuns; // Runs that failed by their own fault.
    UnitState state { UnitState::Waiting };
    std::string checkpoint; // The newest one; empty: none.
    std::vector<Incarnation> workers; // While Running: one a member, in the order of their index.
    std::vector<CrashedRun> crashes; // Runs that ended with their worker.
    bool suspect { false }; // It may crash the next worker as well.
    std::vector<std::int64_t> startedMembers; // While Running: members that surely began; kept only after a crash.

    bool operator==(const UnitProgress&) const = default;
};

struct Progress {
    JobState state { JobState::Queued };
    bool started { false }; // Some task has begun.
    std::string reason; // Why it failed; for people.
    std::int64_t occurrencesDone { 0 }; // All below this number are done.
    std::vector<UnitProgress> units; // Of occurrences that are not done; only those that were ever started.

    bool operator==(const Progress&) const = default;
};

} // namespace rattan::tasks
