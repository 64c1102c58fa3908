#pragma once

// A waiting unit with its position in the queue of one round. See task_planner.h.

#include "tasks/planner_state.h"
#include "tasks/queue_order.h"

namespace rattan::tasks::detail {

struct Candidate {
    Unit* unit;
    QueueKey queueKey;
    Millis waitingSince;
};

} // namespace rattan::tasks::detail
