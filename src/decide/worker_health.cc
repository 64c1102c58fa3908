#include "decide/worker_health.h"

#include <algorithm>
#include <limits>

namespace rattan::decide::detail {

bool WorkerHealth::failed(WorkerId worker, JobId job, Millis now)
{
    Record& record = this->records[worker];
    record.strikes.insert(job);
    const auto strikes = static_cast<std::int64_t>(record.strikes.size());
    if (!record.probing && strikes < this->options.strikesToQuarantine)
        return false;
    record.length = record.length == 0 ? this->options.firstQuarantine
                                       : std::min(2 * record.length, this->options.longestQuarantine);
    record.until = now + record.length;
    record.probing = false;
    record.strikes.clear();
    this->blocked.insert(worker);
    return true;
}

bool WorkerHealth::succeeded(WorkerId worker)
{
    const auto found = this->records.find(worker);
    if (found == this->records.end())
        return false;
    const bool restored = found->second.probing || this->blocked.contains(worker);
    this->blocked.erase(worker);
    this->records.erase(found);
    return restored;
}

void WorkerHealth::forgive(JobId job, const std::vector<WorkerId>& workers)
{
    for (const WorkerId worker : workers) {
        const auto found = this->records.find(worker);
        if (found != this->records.end())
            found->second.strikes.erase(job);
    }
}

void WorkerHealth::startGiven(WorkerId worker)
{
    if (this->isProbing(worker))
        this->blocked.insert(worker);
}

void WorkerHealth::startOver(WorkerId worker)
{
    if (this->isProbing(worker))
        this->blocked.erase(worker);
}

std::vector<WorkerId> WorkerHealth::probesDue(Millis now)
{
    std::vector<WorkerId> due;
    for (const WorkerId worker : this->blocked) {
        const Record& record = this->records.at(worker);
        if (!record.probing && record.until <= now)
            due.push_back(worker);
    }
    for (const WorkerId worker : due) {
        this->records.at(worker).probing = true;
        this->blocked.erase(worker);
    }
    return due;
}

bool WorkerHealth::isProbing(WorkerId worker) const
{
    const auto found = this->records.find(worker);
    return found != this->records.end() && found->second.probing;
}

Millis WorkerHealth::until(WorkerId worker) const
{
    const auto found = this->records.find(worker);
    return found == this->records.end() ? 0 : found->second.until;
}

Millis WorkerHealth::nextProbe() const
{
    Millis next = std::numeric_limits<Millis>::max();
    for (const WorkerId worker : this->blocked) {
        const Record& record = this->records.at(worker);
        if (!record.probing)
            next = std::min(next, record.until);
    }
    return next;
}

} // namespace rattan::decide::detail
