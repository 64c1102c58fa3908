#pragma once

// What a TaskPlanner wants done by those who speak to workers and to the log.

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
    RunRef run;
    std::shared_ptr<const std::string> text;
    std::string checkpoint; // Empty: from nothing.
    std::string ticket; // Where the queue's policy wants one.
    Millis decidedAt { 0 }; // The lease that it grants runs from here, however late it is sent.
};

struct StopOrder {
    Incarnation worker;
    std::string address;
    RunRef run;
};

// Asks a worker what runs and has ended there, and renewsLease its lease.
struct PollOrder {
    Incarnation worker;
    std::string address;
    std::int64_t acknowledged { 0 }; // Ends up to this number are durable.
    Millis wait { 0 }; // The answer may wait this long for an end; 0: at once.
    bool renewsLease { true }; // False: its lease is left as it is.
    bool concurrent { false }; // Sent while another poll waits at that worker.
};

// Asks the advice service which of these workers may run a step.
struct AdviceOrder {
    StepKey step;
    AdviceTerms terms;
    std::vector<std::string> workers; // Their ids.
};

// Records that have to be durable before the planner goes on. The two kinds may become so
// in any order: either one alone is enough for a job not to run again after its end.
struct RecordBatch {
    using Records = std::vector<std::pair<std::string, std::string>>; // Key and value; an empty value drops the key.

    std::int64_t number { 0 }; // Counts up from 1.
    Records jobs; // What every instance reads.
    Records plans; // What whoever takes over reads.
};

enum class PlanEventKind {
    UnitPlaced,
    TasksPlaced, // First runs of tasks of one step, which are not urgent.
    UnitEvicted,
    UnitsDone, // All that ended well since the last such event.
    UnitRetried,
    UnitStalled,
    JobFinished,
    WorkerKnown,
    WorkerSilent,
    WorkerLapsed,
    WorkerGone,
    WorkerDistrusted,
    UnitWaits, // It may stop others, and stops none.
    GuaranteeWaits, // A unit within its workspace's guarantee has not begun; what it waits for.
    WorkWaits, // The unit that has waited longest has not begun; why, and what the workers and their polls look like.
    RunLost, // No end was reported: its worker is gone or has not answered for a whole lease.
};

// A decision or a change of what the planner believes, for the log.
struct PlanEvent {
    PlanEventKind kind { PlanEventKind::UnitPlaced };
    std::string job;
    std::string unit; // OCCURRENCE.STEP.INDEX
    std::int64_t run { 0 };
    std::string worker;
    std::string detail; // What decided it.
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
