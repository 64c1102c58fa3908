#pragma once

// What the engine keeps of one job.

#include "decide/event.h"
#include "decide/guarantee_book.h"
#include "decide/place_finder.h"
#include "decide/view.h"

#include <vector>

namespace rattan::decide::detail {

inline constexpr Millis steadyAfter = 60000; // A member lost after this long is not blamed on the start.

enum class OveruseStage {
    None,
    Throttled,
    Checkpointed,
    Stopped,
};

struct JobRecord {
    JobSubmitted spec;
    bool submitted { true }; // False: only learned from the workers so far.
    JobState state { JobState::Queued };
    std::int64_t attempt { 0 }; // Of the last start.
    std::int64_t failures { 0 };
    bool everStarted { false }; // A member of some attempt may have run.
    bool cancelled { false };

    // While queued.
    Urgency rank { Urgency::Patient }; // The queue it stands in; may be above its urgency.
    Millis order { 0 }; // Its place in that queue.
    Millis notBefore { 0 };

    // From claiming on.
    Right right { Right::Borrowed };
    std::vector<Placement> placements;
    std::vector<Grant> grants;

    // From starting on.
    Millis startedAt { 0 };
    Millis answerBy { 0 };
    StopReason stopReason { StopReason::Cancelled };
    bool lostWorkerEarly { false }; // The present attempt is stopped for a worker that was lost soon after the start.
    double savedProgress { 0 };

    std::int64_t evictions { 0 };
    std::vector<WorkerId> failedOn;
    OveruseStage overuse { OveruseStage::None };
    Millis overuseSince { 0 };

    GangShape shape() const { return { this->spec.members, this->spec.perMember, this->spec.adjacency }; }
    bool holds() const { return this->state != JobState::Queued && this->state != JobState::Claiming; }
    bool ending() const { return this->state == JobState::Stopping || this->state == JobState::Checkpointing; }

    bool savable(Millis limit) const
    {
        return this->submitted && this->spec.idempotent && this->spec.checkpointable && this->spec.checkpointTime <= limit;
    }
    bool stoppable() const { return this->submitted && this->spec.idempotent && this->spec.stoppable; }
    bool evictable(Millis limit) const { return this->savable(limit) || this->stoppable(); }
};

} // namespace rattan::decide::detail
