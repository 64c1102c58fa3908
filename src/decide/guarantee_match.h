#pragma once

// Matches gangs with the homes of their workspace's guaranteed shapes.

#include "decide/guarantee_book.h"
#include "decide/place_finder.h"

#include <optional>
#include <vector>

namespace rattan::decide::detail {

struct HomeMatch {
    std::vector<Placement> placements;
    std::vector<Grant> grants;
    bool free { false }; // All of it is free now; else borrowed gangs are in the way.
};

// Places for the gang in idle parts of its workspace's homes. Prefers what is
// free now.
std::optional<HomeMatch> matchHomes(const GuaranteeBook&, const WorkerTable&, WorkspaceId, const GangShape&);

// Lets one idle slot of the workspace that can hold the gang trade homes with an
// idle slot, of any workspace, whose home is free now. True if it did.
bool tradeForFree(GuaranteeBook&, const WorkerTable&, WorkspaceId, const GangShape&, std::uint64_t turn);

// Moves homes of idle slots of the workspace to where a gang already runs, for a
// planner that took over; empty if they do not cover it.
std::optional<std::vector<Grant>> bindHomes(
    GuaranteeBook&, const WorkerTable&, WorkspaceId, const std::vector<Placement>&);

} // namespace rattan::decide::detail
