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
    std::optional<SlotId> slot; // The one that holds it all, if one does.
};

// Places for the gang in idle parts of its workspace's homes: in the smallest and
// loosest slot that can hold it, so that larger and tighter ones stay whole for
// the gangs that need them; else across several that lie adjacent. Among equals,
// what is free now.
std::optional<HomeMatch> matchHomes(const GuaranteeBook&, const WorkerTable&, WorkspaceId, const GangShape&);

// Lets an idle slot that can hold the gang trade homes with an idle slot, of any
// workspace, whose home is free now. True if it did.
bool tradeForFree(GuaranteeBook&, const WorkerTable&, SlotId, const GangShape&, std::uint64_t turn);

// Moves homes of idle slots of the workspace to where a gang already runs, for a
// planner that took over; empty if they do not cover it.
std::optional<std::vector<Grant>> bindHomes(
    GuaranteeBook&, const WorkerTable&, WorkspaceId, const std::vector<Placement>&);

} // namespace rattan::decide::detail
