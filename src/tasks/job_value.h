#pragma once

// What the end of a job is worth to its caller, by the time at which it ends: full value in
// time, a reduced value late, none after usefulFactor times the objective. The order of the
// queue, the choice of runs to stop, and admission compare jobs by it under overload.

#include "base/clock.h"
#include "tasks/job.h"

#include <functional>
#include <vector>

namespace rattan::tasks {

// The share of a job's value that a late result still has.
inline constexpr double lateValue = 0.3;

// The longest chains of dependent steps of a job, in expected run time.
struct JobPaths {
    Millis whole { 0 };
    std::vector<Millis> after; // By step: the longest chain that depends on it, without the step itself.
};

JobPaths pathsOf(const Job&, const std::function<Millis(const Step&)>& expectedRunTime);

// The latest ends of a job at which it is in time, or of any use.
struct Deadlines {
    Millis inTime { 0 };
    Millis useful { 0 };
};

Deadlines deadlinesOf(const QueueTerms&, Millis criticalPath, Millis waitingSince);

// The value of a job that ends at `end`, 0 to 1.
double valueOfEnd(const Deadlines&, Millis end);

} // namespace rattan::tasks
