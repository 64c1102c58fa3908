#pragma once

// In which order waiting units get their turn.
//
// The load this answers: bursts of urgent and of large jobs at four fifths of
// all room in use, when not everything can be in time. In order of arrival, or
// of priority alone, all would be late together. So units go by the latest
// moment at which they can begin and still be in time, within their priority;
// those that no start can make worth anything any more come last, and run when
// there is room for them.

#include "base/clock.h"
#include "tasks/job.h"

#include <compare>
#include <cstdint>

namespace rattan::tasks {

struct QueueKeyInputs {
    bool guaranteed { false }; // Within its workspace's guarantee.
    std::int64_t priority { 0 };
    Millis waitingSince { 0 }; // When its caller began to wait.
    Millis remainingRunTime { 0 }; // What is left of its run.
    Millis criticalPath { 0 }; // The longest chain of work of its job.
    double stretch { 1 };
    Millis latencyTarget { 0 };
};

// A job is in time within stretch times its chain of work and its target, and of
// some use within this many times that; later, of none.
inline constexpr double usefulFactor = 3;

// Smaller goes first.
struct QueueKey {
    bool guaranteed { false };
    bool isTooLate { false };
    std::int64_t priority { 0 };
    Millis latestStart { 0 };

    std::strong_ordering operator<=>(const QueueKey&) const;
    bool operator==(const QueueKey&) const = default;
};

QueueKey queueKeyOf(const QueueKeyInputs&, Millis now);

// Accelerators that a job holds at most at once, if its steps follow each other.
std::int64_t peakAcceleratorsOf(const Job&);

} // namespace rattan::tasks
