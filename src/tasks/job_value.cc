#include "tasks/job_value.h"

#include "tasks/queue_order.h"

#include <algorithm>

namespace rattan::tasks {

JobPaths pathsOf(const Job& job, const std::function<Millis(const Step&)>& expectedRunTime)
{
    JobPaths paths;
    paths.after.resize(job.steps.size(), 0);
    // Steps depend on earlier ones only, so each is visited after all that depend on it.
    for (std::size_t i = job.steps.size(); i-- > 0;) {
        const Millis path = paths.after[i] + expectedRunTime(job.steps[i]);
        paths.whole = std::max(paths.whole, path);
        for (const std::int64_t earlier : job.steps[i].dependsOn)
            paths.after[static_cast<std::size_t>(earlier)] = std::max(paths.after[static_cast<std::size_t>(earlier)], path);
    }
    return paths;
}

Deadlines deadlinesOf(const QueueTerms& terms, Millis criticalPath, Millis waitingSince)
{
    const double objective = terms.stretch * static_cast<double>(criticalPath) + static_cast<double>(terms.latencyTarget);
    return { waitingSince + static_cast<Millis>(objective), waitingSince + static_cast<Millis>(usefulFactor * objective) };
}

double valueOfEnd(const Deadlines& deadlines, Millis end)
{
    if (end <= deadlines.inTime)
        return 1;
    return end <= deadlines.useful ? lateValue : 0;
}

} // namespace rattan::tasks
