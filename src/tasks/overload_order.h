#pragma once

// The order among waiting units of one priority that aren't guaranteed, while they can't all be
// in time.
//
// By their latest starts alone, units would then all be late together. So they are ordered by the
// value that their job still has per work that it still needs, which also finishes jobs that are
// nearly complete first: a job counts only when all its tasks are done. Units that wait long or
// were stopped are raised, so that a large job isn't passed by small ones for ever.

#include "base/clock.h"
#include "tasks/job_value.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rattan::tasks {

// A waiting unit, as the detection of an excess sees it.
struct WaitingWork {
    std::string_view service;
    std::int64_t priority { 0 };
    Millis latestStart { 0 }; // For an end in time.
    double siteMillis { 0 }; // How long it takes all resources of its service, by the scarcest one.
};

// Services and priorities of which more work waits than there is room for.
class Excess {
public:
    // The units must be in ascending order of priority, then of their latest starts.
    static Excess detect(const std::vector<WaitingWork>&, Millis now);

    // True if the waiting units would keep all resources busy for a while.
    bool isBacklogged(std::string_view service, std::int64_t priority) const;

    // True if, in addition, they can't all be in time.
    bool isLate(std::string_view service, std::int64_t priority) const;

    bool empty() const { return this->classes.empty(); }

private:
    struct Class {
        std::string_view service;
        std::int64_t priority { 0 };
        bool isLate { false };
    };
    const Class* find(std::string_view service, std::int64_t priority) const;

    std::vector<Class> classes;
};

struct ValueOrderInputs {
    Deadlines latestStarts; // The latest starts at which the job ends in time, or is of any use.
    Millis waitingSince { 0 };
    double remainingWork { 0 }; // Of the whole job, in core-seconds; an accelerator counts as several cores.
    std::int64_t stops { 0 }; // How often the unit was stopped for others.
    Millis now { 0 };
    double jobValue { 1 }; // Of a result in time, relative to that of a job of mean size.
};

// The value of a job whose whole work is `work`. Most of it grows with the work, so that the order
// doesn't starve large jobs, which are worth as much to their callers as several small ones.
double jobValueOf(double work, double meanWork);

// The position of a unit; the lowest goes first.
std::int64_t valueOrderOf(const ValueOrderInputs&);

// Units of one class count as equal, so that the shares of their workspaces decide. The values of
// a class differ by less than a factor of two.
std::int64_t valueClassOf(std::int64_t valueOrder);

// Whether one unit of a job of which no task has started is raised to the priority just below
// urgent ones, so that no kind of job waits until all others are done.
bool isFirstStartDue(Millis waitingSince, Millis latestStartInTime, Millis now);

std::int64_t raisedPriority(std::int64_t priority);

} // namespace rattan::tasks
