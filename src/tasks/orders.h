#pragma once

// Orders of a TaskPlanner, executed by the components that call workers, the advice service and
// the log.

#include "tasks/advice.h"
#include "tasks/job.h"
#include "tasks/progress.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace rattan::tasks {

struct StartOrder {
    Incarnation worker;
    std::string address;
    std::string domain; // Failure domain of the worker.
    RunRef run;
    std::shared_ptr<const std::string> text;
    std::string checkpoint; // The checkpoint to resume from, or empty to start from the beginning.
    std::string ticket; // The advice service's ticket if the queue has a policy; else empty.
    Millis decidedAt { 0 }; // The granted lease begins here, even if the order is sent later.
};

struct StopOrder {
    Incarnation worker;
    std::string address;
    RunRef run;
};

// Requests a worker's running and ended tasks, and renews its lease.
struct PollOrder {
    Incarnation worker;
    std::string address;
    std::int64_t acknowledged { 0 }; // Ends up to this number are durable.
    Millis wait { 0 }; // How long the worker may hold the poll open until a run ends; 0: it answers immediately.
    bool renewsLease { true }; // If false, the worker's lease is not changed.
    bool concurrent { false }; // Whether it may be sent while another poll is pending at the worker.
};

// Asks the advice service which of the given workers may run a step.
struct AdviceOrder {
    StepKey step;
    AdviceTerms terms;
    std::vector<std::string> workers; // Worker ids.
};

// Records that must be durable before the planner sends the starts and acknowledgements that
// depend on them. Job records and plans may become durable in any order: either alone is enough
// to prevent a job from running again after its end.
struct RecordBatch {
    using Records = std::vector<std::pair<std::string, std::string>>; // Key and value; an empty value drops the key.

    std::int64_t number { 0 }; // Counts up from 1.
    Records jobs; // Read by every instance.
    Records plans; // Read by a planner that takes over.
};

enum class PlanEventKind {
    UnitPlaced,
    TasksPlaced, // First runs of tasks of one step that is not urgent, as a count.
    UnitEvicted,
    UnitsDone, // The number of units completed since the last such event.
    UnitRetried,
    UnitStalled,
    JobFinished,
    WorkerKnown,
    WorkerSilent,
    WorkerLapsed,
    WorkerGone,
    WorkerDistrusted,
    UnitWaits, // A unit that may evict others evicts none, and why.
    GuaranteeWaits, // A unit within its workspace's guarantee waits, and for what.
    WorkWaits, // The unit that has waited longest, why it waits, and the state of the workers and polls.
    JobIdle, // The job of which nothing has run for longest although a task is ready, and what it waits for.
    JobPassedOver, // A job of which nothing runs although a unit of it fits twice in unused resources, and which preference keeps it from starting.
    JobHeld, // A job of which nothing runs because of a run that may still be alive.
    RunLost, // No end was reported: the run's worker is gone, has not answered for a whole lease, or doesn't list it.
    QueueMoved, // A new configuration sends a queue with unfinished jobs to another service.
};

// A decision or a change of the planner's state, for the log.
struct PlanEvent {
    PlanEventKind kind { PlanEventKind::UnitPlaced };
    std::string job;
    std::string unit; // OCCURRENCE.STEP.INDEX
    std::int64_t run { 0 };
    std::string worker;
    std::string detail; // The reason, in words.
};

struct Orders {
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<PollOrder> polls;
    std::vector<AdviceOrder> advice;
    std::vector<RecordBatch> batches; // At most one.
    std::vector<PlanEvent> events;
};

} // namespace rattan::tasks
