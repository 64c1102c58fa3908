#pragma once

// A unit that waits, with its place in the queue of one round. See task_planner.h.

#include "tasks/queue_order.h"
#include "tasks/unit.h"

namespace rattan::tasks::detail {

struct Candidate {
    Unit* unit;
    QueueKey queueKey;
    Millis waitedSince;
};

} // namespace rattan::tasks::detail
