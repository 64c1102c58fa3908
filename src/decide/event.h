#pragma once

// What a Decider is told. Every event is safe to repeat: a repeated submit,
// cancel or report of an attempt that is over changes nothing.

#include "decide/types.h"

#include <optional>
#include <variant>
#include <vector>

namespace rattan::decide {

// The text in force; replaces the last one whole.
struct TextChanged {
    std::vector<WorkspaceRule> workspaces;
};

// A worker is there: new, back again, or of changed capacity. It no longer
// counts as leaving.
struct WorkerSeen {
    WorkerId worker { 0 };
    RackId rack { 0 };
    Amounts capacity;
};

// The worker goes soon: it gets no new work, and gangs that can be moved are.
struct WorkerLeaving {
    WorkerId worker { 0 };
};

// The worker is gone or past its lease time without an answer. Gangs with a
// member on it are stopped; each still wants its GangFailed or GangStopped.
struct WorkerLost {
    WorkerId worker { 0 };
};

struct JobSubmitted {
    JobId job { 0 };
    WorkspaceId workspace { 0 };
    ClassId jobClass { 0 }; // Estimates are learned per class and workspace.
    Urgency urgency { Urgency::Patient };
    std::int64_t members { 1 };
    Amounts perMember;
    Adjacency adjacency { Adjacency::Domain };
    Millis declaredRunTime { 0 }; // 0: not declared. Never trusted.
    bool idempotent { true }; // False: started at most once.
    bool checkpointable { false };
    Millis checkpointTime { 30000 }; // Longest time a checkpoint takes.
    bool stoppable { true }; // May be stopped and started again from nothing.
    std::int64_t attempts { 3 }; // Failed starts or runs before it is given up.
    std::int64_t attemptsUsed { 0 }; // Highest attempt the log knows of; 0: none.
    std::int64_t failures { 0 }; // Of these, as many as the log tells have failed.
    Millis submittedAt { 0 };
    double savedProgress { 0 }; // Share kept by an earlier checkpoint, 0 to 1.
};

struct JobCancelled {
    JobId job { 0 };
};

// A gang found at the workers by a planner that took over. Tell these before
// the submits of the log, or after: both orders work. The job's submit should
// follow within Options::orphanLimit, else the gang is stopped as unknown.
struct GangLearned {
    JobId job { 0 };
    std::int64_t attempt { 1 };
    std::vector<Placement> placements;
    bool complete { true }; // All members were found running.
    WorkspaceId workspace { 0 };
};

struct GangStarted {
    JobId job { 0 };
    std::int64_t attempt { 0 };
};

struct GangFinished {
    JobId job { 0 };
    std::int64_t attempt { 0 };
};

// No member runs any more, by a fault.
struct GangFailed {
    JobId job { 0 };
    std::int64_t attempt { 0 };
    std::optional<WorkerId> worker; // The one at fault, if known.
    FailureReason reason { FailureReason::Other };
};

// No member runs any more, on order.
struct GangStopped {
    JobId job { 0 };
    std::int64_t attempt { 0 };
    double savedProgress { 0 };
};

struct UsageReported {
    JobId job { 0 };
    std::int64_t usedAccelerators { 0 }; // Of the whole gang; likewise memory.
    std::int64_t usedMemoryMb { 0 };
    double progress { 0 };
};

// Time has passed; send one at nextWake() at the latest.
struct Tick {
};

using Event = std::variant<TextChanged, WorkerSeen, WorkerLeaving, WorkerLost, JobSubmitted, JobCancelled, GangLearned,
    GangStarted, GangFinished, GangFailed, GangStopped, UsageReported, Tick>;

} // namespace rattan::decide
