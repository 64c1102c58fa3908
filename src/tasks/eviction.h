#pragma once

// Eviction: chooses which runs to stop so that a unit can be placed, with the least lost
// work.
//
// It serves guaranteed jobs that arrive while other jobs borrow their resources, which
// then have to be freed within a bounded time. Whole runs are stopped one by one on the
// worker where that loses the least work, which keeps the total near what is needed. A
// gang counts with the work of all its members, since all of them are lost, and the
// resources of all of them are available to the other members of the unit.

#include "tasks/placement.h"

#include <functional>
#include <vector>

namespace rattan::tasks {

struct EvictionPlan {
    Placement placement; // Of the unit, once the victims have ended.
    std::vector<UnitKey> victims;
    double lostWork { 0 }; // Total over all victims, in core-seconds.
};

// Returns the work that is lost if the unit of a run is stopped, in core-seconds, or a
// negative number if the unit must not be stopped. The same for all runs of a unit.
using LostWorkFunction = std::function<double(const Allocation&)>;

// Returns no plan if no choice of victims frees enough resources, or if every choice
// loses more than `maxLostWork` core-seconds.
std::optional<EvictionPlan> planEviction(const Snapshot&, const PlacementRequest&, const LostWorkFunction&, double maxLostWork);

} // namespace rattan::tasks
