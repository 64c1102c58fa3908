#include "tasks/preemption.h"

#include <algorithm>

namespace rattan::tasks {

namespace {

    // The objective is a multiple of the job's own run time, which may be shorter than forecast, and
    // then leaves less time to wait; tasks of one step differ by up to 30%.
    constexpr double runTimeMargin = 0.15;

} // namespace

PreemptionChoice choosePreemption(const PreemptionInputs& inputs)
{
    const Millis now = inputs.now;
    // A unit that is late already gains nothing by an early start, so it stops runs only for as
    // much as it is still worth: shortly before it would be of no use.
    const bool isLate = now > inputs.latestStarts.inTime;
    const Millis margin = static_cast<Millis>(runTimeMargin * static_cast<double>(inputs.expectedRunTime));
    Millis latestStart = (isLate ? inputs.latestStarts.useful : inputs.latestStarts.inTime) - margin;
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
