#pragma once

// A job as submitted by a caller, through any interface. It consists of steps, each with
// one or more tasks, which can depend on earlier steps. A job runs once or periodically.
// Plain data; the state of a job is a Progress.

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace rattan::tasks {

// The resources that a task uses or that a worker has.
struct Resources {
    std::int64_t milliCores { 0 };
    std::int64_t memoryMb { 0 };
    std::int64_t accelerators { 0 };

    bool operator==(const Resources&) const = default;
    Resources& operator+=(const Resources&);
    Resources& operator-=(const Resources&);
    Resources times(std::int64_t) const;

    // True if no amount exceeds that of `other`.
    bool fitsIn(const Resources& other) const;
};

// The number of cores that one accelerator counts as where work on both is compared.
inline constexpr std::int64_t coresPerAccelerator = 8;

// The size of the resources as a single number of cores.
double coreEquivalents(const Resources&);

struct Step {
    std::int64_t count { 1 }; // The number of tasks.
    Resources perTask;
    Millis estimate { 0 }; // The run time that the caller declared; often inaccurate.
    std::vector<std::int64_t> dependsOn; // The indices of earlier steps.
    bool savesProgress { false }; // Tasks write checkpoints from which a later run can resume.
    bool gang { false }; // All tasks run at the same time or not at all.
    bool sameRack { false }; // All tasks are placed in one rack; across racks the step is several times slower.
    std::string label; // The label that a worker must have, or empty.
    std::string dataRack; // The rack of the step's data, or empty; in other racks the step is several times slower.
    std::int64_t maxPerWorker { 0 }; // Tasks of one occurrence on the same worker; 0 for no limit.
    bool speculative { false }; // Several copies of a task may run at the same time.
    bool longRunning { false }; // Runs until the job is cancelled.
    bool usesIdleCores { false }; // Uses only cores that other tasks leave idle.
    std::string image; // Tasks with the same image behave alike.
    Millis tailTarget { 0 }; // The maximum tail latency of a serving task; 0 for no limit.
    std::int64_t maxUnavailable { 0 }; // Tasks that planned stops may make unavailable at the same time.

    bool operator==(const Step&) const = default;
};

// How long a request to the advice service takes, and how long its answer is valid.
struct AdviceTerms {
    Millis perRequest { 0 }; // The time for any request.
    Millis perWorker { 0 }; // The additional time for each worker in the request.
    Millis ticketValidity { 0 }; // 0 if the queue has no policy.

    bool operator==(const AdviceTerms&) const = default;
};

// The configuration of a queue. A job keeps the terms under which it was accepted for what its caller
// was promised: the attempts and the objective. The newest terms of its queue decide where and in
// which order its tasks run.
struct QueueTerms {
    std::string queue;
    std::int64_t version { 0 }; // Of the configuration; 0 if unknown.
    std::string service; // The service whose workers run the tasks.
    std::int64_t priority { 0 }; // 0 is the most urgent.
    std::int64_t maxAttempts { 1 }; // The number of failed runs of a task after which the job fails.
    double stretch { 1.0 }; // The job should end within this factor times its critical path,
    Millis latencyTarget { 0 }; // plus this time.
    AdviceTerms advice; // For a queue where an external policy decides which workers may run a step.

    bool operator==(const QueueTerms&) const = default;
};

// Whether the change decides differently where or in which order tasks run.
bool movesWork(const QueueTerms& before, const QueueTerms& after);

struct Job {
    std::string id;
    std::string workspace;
    QueueTerms terms; // Under which it was accepted.
    std::string text; // Passed to every task unchanged.
    std::vector<Step> steps;
    std::int64_t repeats { 0 }; // The number of occurrences of a periodic job; 0 for a job that runs once, immediately.
    Millis startAt { 0 }; // The wall-clock time of occurrence 0.
    Millis interval { 0 }; // Between occurrences.
    Millis acceptedAt { 0 }; // Wall-clock time.

    std::int64_t occurrences() const { return this->repeats > 0 ? this->repeats : 1; }
    Millis dueAt(std::int64_t occurrence) const { return this->startAt + occurrence * this->interval; }
};

// Identifies a task of a job.
struct TaskRef {
    std::string job;
    std::int64_t occurrence { 0 };
    std::int64_t step { 0 };
    std::int64_t index { 0 };

    // clang-tidy 14 mistakes the zero in a defaulted comparison for a null pointer.
    auto operator<=>(const TaskRef&) const = default; // NOLINT(modernize-use-nullptr)
};

// Identifies a run, which is one execution of a task. The runs of a task are numbered from 1.
struct RunRef {
    TaskRef task;
    std::int64_t run { 0 };

    // clang-tidy 14 mistakes the zero in a defaulted comparison for a null pointer.
    auto operator<=>(const RunRef&) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace rattan::tasks
