#pragma once

// How much of the free accelerators is scattered.

#include "decide/engine.h"

namespace rattan::decide::detail {

// See Decider::fragmentation.
double fragmentationOf(const Engine&);

} // namespace rattan::decide::detail
