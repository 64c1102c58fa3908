#pragma once

// A waiting unit with its position in the queue of one round. See task_planner.h.

#include "tasks/planner_state.h"
#include "tasks/queue_order.h"

namespace rattan::tasks::detail {

struct Candidate {
    Unit* unit;
    QueueKey queueKey;
    Millis waitingSince;
    Deadlines latestStarts; // The latest starts at which the job ends in time, or is of any use.
};

} // namespace rattan::tasks::detail
