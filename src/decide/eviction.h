#pragma once

// Chooses which gangs must go so that others get the workers they are given.

#include "decide/engine.h"

#include <functional>
#include <optional>
#include <vector>

namespace rattan::decide::detail {

using MayEvict = std::function<bool(const JobRecord&)>;

// Which gangs on their way out count as gone.
enum class Patience {
    ForSaves, // All.
    ForStopsOnly, // Not those that still save their work, which takes a while.
};

// The cheapest gangs, as far as a greedy choice finds them, whose going leaves
// room for all placements; empty optional if those that may go do not suffice.
// Room held by claims counts as taken.
std::optional<std::vector<JobId>> chooseVictims(
    const Engine&, const std::vector<Placement>&, const MayEvict&, Patience, Millis now);

// Room on a worker, free of claims, if all gangs that may go were gone.
Amounts roomAfter(const Engine&, WorkerId, const MayEvict&, Patience);

} // namespace rattan::decide::detail
