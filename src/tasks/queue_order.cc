#include "tasks/queue_order.h"

#include <algorithm>

namespace rattan::tasks {

std::strong_ordering QueueKey::operator<=>(const QueueKey& other) const
{
    if (this->guaranteed != other.guaranteed)
        return this->guaranteed ? std::strong_ordering::less : std::strong_ordering::greater;
    if (this->useless != other.useless)
        return this->useless ? std::strong_ordering::greater : std::strong_ordering::less;
    if (const auto order = this->priority <=> other.priority; order != std::strong_ordering::equal)
        return order;
    return this->latestStart <=> other.latestStart;
}

QueueKey queueKeyOf(const Demand& demand, Millis now)
{
    const auto objective = static_cast<Millis>(demand.stretch * static_cast<double>(demand.chain)) + demand.target;
    QueueKey queueKey;
    queueKey.guaranteed = demand.guaranteed;
    queueKey.priority = demand.priority;
    queueKey.latestStart = demand.waitedSince + objective - demand.expected;
    const auto usefulUntil = demand.waitedSince + static_cast<Millis>(usefulTimes * static_cast<double>(objective));
    queueKey.useless = now + demand.expected > usefulUntil;
    return queueKey;
}

std::int64_t acceleratorsOf(const Job& job)
{
    std::int64_t most = 0;
    for (const Step& step : job.steps)
        most = std::max(most, step.count * step.each.accelerators);
    return most;
}

} // namespace rattan::tasks
