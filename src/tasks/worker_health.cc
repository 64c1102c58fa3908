#include "tasks/worker_health.h"

#include <algorithm>

namespace rattan::tasks {

void WorkerHealth::runSucceeded()
{
    this->consecutiveFailures = 0;
    this->quarantineEnd = 0;
    this->quarantineDuration = 0;
}

void WorkerHealth::runFailed(Millis now)
{
    ++this->consecutiveFailures;
    if (this->consecutiveFailures >= failuresToQuarantine)
        this->quarantine(now);
}

void WorkerHealth::runStalled(Millis now)
{
    this->consecutiveFailures = std::max(this->consecutiveFailures + 1, failuresToQuarantine);
    this->quarantine(now);
}

void WorkerHealth::quarantine(Millis now)
{
    if (now < this->quarantineEnd)
        return; // Runs that started before the quarantine are still ending.
    this->quarantineDuration = std::min(std::max(this->quarantineDuration * 2, minQuarantine), maxQuarantine);
    this->quarantineEnd = now + this->quarantineDuration;
}

bool WorkerHealth::canTakeRun(Millis now, bool noRun) const
{
    if (this->consecutiveFailures < failuresToQuarantine)
        return true;
    return now >= this->quarantineEnd && noRun;
}

} // namespace rattan::tasks
