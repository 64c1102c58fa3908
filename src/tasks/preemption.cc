#include "tasks/preemption.h"

#include <algorithm>

namespace rattan::tasks {

PreemptionChoice choosePreemption(const PreemptionInputs& inputs)
{
    const Millis now = inputs.now;
    // A unit that is late already gains nothing by an early start, so it stops runs only for as
    // much as it is still worth: shortly before it would be of no use.
    const bool isLate = now > inputs.latestStarts.inTime;
    Millis latestStart = isLate ? inputs.latestStarts.useful : inputs.latestStarts.inTime;
    if (inputs.guaranteed && isLate)
        return { .stopNow = true };
    if (inputs.hasStartBound)
        latestStart = std::min(latestStart, inputs.waitingSince + maxGuaranteedWait + stopLeadTime);
    const Millis mustStopAt = latestStart - stopLeadTime;
    if (now >= mustStopAt)
        return { .stopNow = true };
    if (inputs.freeAt && *inputs.freeAt > latestStart)
        return { .stopNow = true };
    return { .reconsiderAt = mustStopAt };
}

double stopWeight(double valueIfContinued, double valueIfRestarted)
{
    constexpr double minWeight = 0.05;
    return std::max(2 * valueIfContinued - valueIfRestarted, minWeight);
}

} // namespace rattan::tasks
