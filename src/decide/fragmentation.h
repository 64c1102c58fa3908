#pragma once

// How much of the free accelerators is scattered.

#include "decide/engine.h"

namespace rattan::decide::detail {

enum class FragmentationView {
    Wanted, // Of the pieces that jobs or guarantees want; see Decider::fragmentation.
    Strict, // Of all pieces that there could be, of what is free at this moment.
};

double fragmentationOf(const Engine&, FragmentationView);

} // namespace rattan::decide::detail
