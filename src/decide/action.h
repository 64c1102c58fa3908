#pragma once

// What a Decider wants done. Actions of one step are to be carried out in their
// order; those of different jobs may overlap.

#include "decide/types.h"

#include <string>
#include <variant>
#include <vector>

namespace rattan::decide {

// Reserve on every worker, then start all. Answer with GangStarted, or with
// GangFailed once nothing is reserved or running.
struct StartGang {
    JobId job { 0 };
    std::int64_t attempt { 1 };
    std::vector<Placement> placements; // One a member.
    Right right { Right::Borrowed };
    std::int64_t failures { 0 }; // Of earlier attempts.
};

// Answer with GangStopped, GangFailed or, when it got there first, GangFinished.
struct StopGang {
    JobId job { 0 };
    std::int64_t attempt { 0 };
    StopReason reason { StopReason::Cancelled };
};

// Save, then stop. Answered like StopGang. When the job's checkpoint time and a
// grace are over without an answer, a StopGang follows.
struct CheckpointGang {
    JobId job { 0 };
    std::int64_t attempt { 0 };
    StopReason reason { StopReason::Reclaimed };
};

// Not answered; usage reports show the effect.
struct ThrottleGang {
    JobId job { 0 };
    std::int64_t attempt { 0 };
    std::int64_t sharePercent { 100 };
};

// The final answer for a job: given exactly once. Forget the job afterwards.
struct FinishJob {
    JobId job { 0 };
    Outcome outcome { Outcome::Done };
    std::string reason; // For the caller; empty when done.
    bool mayHaveRun { true }; // False: no member of any attempt was started.
};

// For the log and operators; nothing is to be done.
struct WorkerQuarantined {
    WorkerId worker { 0 };
    Millis until { 0 }; // One start is tried then.
};

struct WorkerRestored {
    WorkerId worker { 0 };
};

using Action = std::variant<StartGang, StopGang, CheckpointGang, ThrottleGang, FinishJob, WorkerQuarantined,
    WorkerRestored>;

} // namespace rattan::decide
