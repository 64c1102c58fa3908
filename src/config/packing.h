#pragma once

// Decides whether guaranteed shapes fit on the workers of one failure domain at
// the same time.
//
//     SearchBudget budget;
//     const Fit fit = fits(racks, pieces, budget);
//
// A piece within a worker uses accelerators of one worker; within a rack, of any
// workers of one rack; within the domain, of any workers. Fits and DoesNotFit are
// both proven. Packing is NP-hard, so a search that exhausts its budget returns
// Undecided. The budget counts steps instead of time, so every instance gets the
// same result.

#include "config/configuration.h"

#include <cstdint>
#include <vector>

namespace rattan::config {

// Accelerators that must be placed together within one unit.
struct Piece {
    std::int64_t accelerators { 0 };
    Adjacency within { Adjacency::Worker };
};

// The free accelerators of each worker of one rack.
using RackCapacity = std::vector<std::int64_t>;

enum class Fit {
    Fits,
    DoesNotFit,
    Undecided,
};

// The budget shared by all searches of one configuration, which bounds their total
// cost. Each search also has a limit of its own, so that one hard search cannot use
// the budget of the others. A step is the examination of one worker or rack.
struct SearchBudget {
    static constexpr std::int64_t maxStepsPerSearch = 20000000;

    std::int64_t stepsLeft { 200000000 };
};

Fit fits(std::vector<RackCapacity> racks, std::vector<Piece> pieces, SearchBudget&);

} // namespace rattan::config
