#include "tasks/queue_order.h"

#include <algorithm>

namespace rattan::tasks {

std::strong_ordering QueueKey::operator<=>(const QueueKey& other) const
{
    if (this->guaranteed != other.guaranteed)
        return this->guaranteed ? std::strong_ordering::less : std::strong_ordering::greater;
    if (this->isTooLate != other.isTooLate)
        return this->isTooLate ? std::strong_ordering::greater : std::strong_ordering::less;
    if (const auto order = this->priority <=> other.priority; order != std::strong_ordering::equal)
        return order;
    if (this->valueClass != other.valueClass)
        return this->valueClass <=> other.valueClass;
    if (this->exceedsShare != other.exceedsShare)
        return this->exceedsShare ? std::strong_ordering::greater : std::strong_ordering::less;
    if (this->valueOrder != other.valueOrder)
        return this->valueOrder <=> other.valueOrder;
    return this->latestStart <=> other.latestStart;
}

QueueKey queueKeyOf(const QueueKeyInputs& inputs, Millis now)
{
    const auto objective = static_cast<Millis>(inputs.stretch * static_cast<double>(inputs.criticalPath)) + inputs.latencyTarget;
    QueueKey queueKey;
    queueKey.guaranteed = inputs.guaranteed;
    queueKey.priority = inputs.priority;
    queueKey.latestStart = inputs.waitingSince + objective - inputs.remainingRunTime;
    const auto usefulUntil = inputs.waitingSince + static_cast<Millis>(usefulFactor * static_cast<double>(objective));
    queueKey.isTooLate = now + inputs.remainingRunTime > usefulUntil;
    return queueKey;
}

std::int64_t peakAcceleratorsOf(const Job& job)
{
    std::int64_t maximum = 0;
    for (const Step& step : job.steps)
        maximum = std::max(maximum, step.count * step.perTask.accelerators);
    return maximum;
}

} // namespace rattan::tasks
