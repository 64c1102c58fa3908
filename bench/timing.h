#pragma once

// Real time and memory that the decisions take, by the number of workers.

#include "figures.h"

namespace rattan::bench {

std::vector<Figure> timeDecisions(std::uint64_t seed);

} // namespace rattan::bench
