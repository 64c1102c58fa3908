#pragma once

// How much of the free accelerators is scattered.

#include "decide/engine.h"

namespace rattan::decide::detail {

// What idle guaranteed shapes may use when no job waits.
enum class GuaranteeView {
    Reclaimable, // What borrowed gangs hold counts as usable, as a guarantee means.
    FreeOnly, // Stricter: only what is free at this moment.
};

// See Decider::fragmentation, which takes the first view.
double fragmentationOf(const Engine&, GuaranteeView);

} // namespace rattan::decide::detail
