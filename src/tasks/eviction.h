#pragma once

// Whom to stop so that a unit gets room: the runs whose loss costs least.
//
// The load this answers: guaranteed jobs that arrive while others borrow their
// room, which then has to be free within a bound. Stopping whole runs one by one
// on the worker where the lost work is least keeps the waste near what is
// needed; a gang counts with the work of all its members, since all of them are
// lost, and what else it held counts as room for the other members of the unit.

#include "tasks/placement.h"

#include <functional>
#include <vector>

namespace rattan::tasks {

struct EvictionPlan {
    Placement placement; // Where the unit goes once the victims have ended.
    std::vector<UnitKey> victims;
    double lostWork { 0 }; // In core-seconds.
};

// What stopping the unit of a run would lose, in core-seconds; negative: must not be stopped.
// The same for all runs of a unit.
using LostWorkFunction = std::function<double(const Allocation&)>;

// Empty when no choice of victims makes room, or every one loses more than
// `mostLost` core-seconds.
std::optional<EvictionPlan> planEviction(const Snapshot&, const PlacementRequest&, const LostWorkFunction&, double maxLostWork);

} // namespace rattan::tasks
