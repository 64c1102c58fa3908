#pragma once

// The order in which waiting units are placed.
//
// It is meant for bursts of urgent and large jobs with four fifths of all resources in
// use, when not every job can meet its deadline. In order of arrival, or of priority
// alone, all of them would be late together. So units of one priority are ordered by the
// latest time at which they can start and still meet their deadline. Units that would end
// too late to be of any use come last, and run when there are free resources. Units that
// can't all be in time are ordered by the value that is left (overload_order.h).

#include "base/clock.h"
#include "tasks/job.h"

#include <compare>
#include <cstdint>

namespace rattan::tasks {

struct QueueKeyInputs {
    bool guaranteed { false }; // The unit is within its workspace's guarantee.
    std::int64_t priority { 0 };
    Millis waitingSince { 0 }; // When the caller began to wait for the job.
    Millis remainingRunTime { 0 }; // Expected, without the part that its checkpoint covers.
    Millis criticalPath { 0 }; // The run time of the longest chain of dependent steps of its job; the planner passes that of the unit's own step.
    double stretch { 1 };
    Millis latencyTarget { 0 };
};

// A job is on time if it ends within `stretch` times its critical path plus its latency
// target. A result that takes longer than this factor times that is of no use.
inline constexpr double usefulFactor = 3;

// The position of a unit in the queue; the smallest key is placed first.
struct QueueKey {
    bool guaranteed { false };
    bool isTooLate { false };
    std::int64_t priority { 0 };
    // Equal for all units unless they can't all be in time. See overload_order.h.
    std::int64_t valueClass { 0 };
    bool exceedsShare { false }; // Its workspace uses more than its share.
    std::int64_t valueOrder { 0 };
    Millis latestStart { 0 };

    std::strong_ordering operator<=>(const QueueKey&) const;
    bool operator==(const QueueKey&) const = default;
};

QueueKey queueKeyOf(const QueueKeyInputs&, Millis now);

// The maximum number of accelerators that a job uses at a time if its steps run one after
// the other.
std::int64_t peakAcceleratorsOf(const Job&);

} // namespace rattan::tasks
