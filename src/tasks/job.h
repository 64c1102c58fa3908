#pragma once

// A job as a caller hands it in, whichever interface it came through: steps of
// tasks, each step waiting for earlier ones, all of it once or at set times.
// Plain data; what has become of a job is a Progress.

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace rattan::tasks {

// What a task takes on a worker, or a worker has.
struct Resources {
    std::int64_t milliCores { 0 };
    std::int64_t memoryMb { 0 };
    std::int64_t accelerators { 0 };

    bool operator==(const Resources&) const = default;
    Resources& operator+=(const Resources&);
    Resources& operator-=(const Resources&);
    Resources times(std::int64_t) const;

    // Every amount at most as large as in `other`.
    bool fitsIn(const Resources& other) const;
};

// Cores that an accelerator stands for where work of both is compared.
inline constexpr std::int64_t coresPerAccelerator = 8;

// One figure for how much a room is, in cores.
double coreEquivalents(const Resources&);

struct Step {
    std::int64_t count { 1 }; // Tasks.
    Resources perTask; // Taken by one task.
    Millis estimate { 0 }; // Run time as the caller declares it; often far off.
    std::vector<std::int64_t> dependsOn; // Numbers of earlier steps.
    bool savesProgress { false }; // Tasks make checkpoints that a later run may start from.
    bool gang { false }; // The tasks run together or not at all.
    bool sameRack { false }; // Across racks the step is several times slower.
    std::string label; // That a worker must carry; empty: any.
    std::string dataRack; // Elsewhere the step is several times slower; empty: nowhere.
    std::int64_t maxPerWorker { 0 }; // Tasks of an occurrence on one worker; 0: any number.
    bool speculative { false }; // Copies of a task may run side by side.
    bool longRunning { false }; // Runs until the job is cancelled.
    bool usesIdleCores { false }; // Uses only cores that others leave idle.
    std::string image; // Tasks of one image behave alike.
    Millis tailTarget { 0 }; // Longest tail latency of a serving task; 0: none.
    std::int64_t maxUnavailable { 0 }; // Tasks that planned stops may take away at once.

    bool operator==(const Step&) const = default;
};

// How long the advice service takes, and how long what it says holds.
struct AdviceTerms {
    Millis perRequest { 0 }; // For any question,
    Millis perWorker { 0 }; // and for each worker named in it.
    Millis ticketValidity { 0 }; // Of a ticket; 0: the queue has no policy.

    bool operator==(const AdviceTerms&) const = default;
};

// What the queue's text said when the job was accepted.
struct QueueTerms {
    std::string queue;
    std::string service; // Whose workers run the tasks.
    std::int64_t priority { 0 }; // 0 goes first.
    std::int64_t maxAttempts { 1 }; // Failed runs of a task before the job is given up.
    double stretch { 1.0 }; // Wanted: done within this many times its longest chain of work,
    Millis latencyTarget { 0 }; // and this much more.
    AdviceTerms advice; // Where a policy outside decides which workers may run a step.

    bool operator==(const QueueTerms&) const = default;
};

struct Job {
    std::string id;
    std::string workspace;
    QueueTerms terms;
    std::string text; // Handed to every task as it is.
    std::vector<Step> steps;
    std::int64_t repeats { 0 }; // Occurrences in time; 0: once, at once.
    Millis startAt { 0 }; // Of occurrence 0, in wall time.
    Millis interval { 0 }; // Between occurrences.
    Millis acceptedAt { 0 }; // Wall time.

    std::int64_t occurrences() const { return this->repeats > 0 ? this->repeats : 1; }
    Millis dueAt(std::int64_t occurrence) const { return this->startAt + occurrence * this->interval; }
};

// One task of a job.
struct TaskRef {
    std::string job;
    std::int64_t occurrence { 0 };
    std::int64_t step { 0 };
    std::int64_t index { 0 };

    // clang-tidy 14 takes the zero that a defaulted comparison is held against for a pointer.
    auto operator<=>(const TaskRef&) const = default; // NOLINT(modernize-use-nullptr)
};

// One start of a task; runs of a task are numbered from 1.
struct RunRef {
    TaskRef task;
    std::int64_t run { 0 };

    // clang-tidy 14 takes the zero that a defaulted comparison is held against for a pointer.
    auto operator<=>(const RunRef&) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace rattan::tasks
