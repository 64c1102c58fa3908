#pragma once

// Whether guaranteed shapes fit on the workers of one failure domain, all at
// once.
//
//     SearchBudget budget;
//     const Fit fit = fits(racks, pieces, budget);
//
// A piece within a worker takes accelerators of one worker; within a rack, of
// any workers of one rack; within the domain, of any workers. Fits and
// DoesNotFit are both proved. Packing is NP-hard, so a search that uses its
// budget up ends with Undecided; the budget counts looks and not
// time, so every instance gets the same answer.

#include "config/configuration.h"

#include <cstdint>
#include <vector>

namespace rattan::config {

struct Piece {
    std::int64_t accelerators { 0 };
    Adjacency within { Adjacency::Worker };
};

// Free accelerators of each worker of one rack.
using RackCapacity = std::vector<std::int64_t>;

enum class Fit {
    Fits,
    DoesNotFit,
    Undecided,
};

// Shared by all searches of one text, so that its cost is bounded as a whole; a
// single search has a bound of its own, so that one that is hard does not leave
// the others without. Counted in workers and racks looked at.
struct SearchBudget {
    static constexpr std::int64_t maxStepsPerSearch = 20000000;

    std::int64_t stepsLeft { 200000000 };
};

Fit fits(std::vector<RackCapacity> racks, std::vector<Piece> pieces, SearchBudget&);

} // namespace rattan::config
