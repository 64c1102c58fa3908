#pragma once

// What a Decider answers when it is asked about its state.

#include "decide/types.h"

#include <array>
#include <string>
#include <vector>

namespace rattan::decide {

enum class JobState {
    Queued,
    Claiming, // Waits for evictions on the workers it will get.
    Starting,
    Running,
    Checkpointing,
    Stopping,
};

std::string_view nameOf(JobState);

struct JobStatus {
    JobId job { 0 };
    WorkspaceId workspace { 0 };
    JobState state { JobState::Queued };
    std::int64_t attempt { 0 };
    Right right { Right::Borrowed }; // Once it is starting.
    std::vector<Placement> placements; // Once it is starting.
    Millis submittedAt { 0 };
    Millis startedAt { 0 };
    std::string waitsFor; // In terms of the text; empty unless queued or claiming.
};

struct WorkspaceStatus {
    WorkspaceId workspace { 0 };
    std::int64_t guaranteedAccelerators { 0 };
    std::int64_t usedAccelerators { 0 };
    std::int64_t borrowedAccelerators { 0 }; // Part of the used ones.
    std::array<std::int64_t, urgencyCount> queued {}; // By urgency.
    std::int64_t running { 0 };
    std::int64_t unmetShapes { 0 }; // Guaranteed shapes that lost workers leave no place for.
};

struct RackStatus {
    RackId rack { 0 };
    std::int64_t workers { 0 };
    std::int64_t accelerators { 0 };
    std::int64_t free { 0 };
    std::int64_t borrowed { 0 };
    std::int64_t quarantined { 0 };
};

} // namespace rattan::decide
