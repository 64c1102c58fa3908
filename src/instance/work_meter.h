#pragma once

// Measures a piece of the planner's work for the pause in proportion that follows it.
//
//     const WorkMeter meter(clock, now, settings.processorCores);
//     planner.step(now, wallTime);
//     nextPlanAt = clock.now() + 2 * meter.counted();
//
// To be used on the thread that does the work.

#include "base/clock.h"
#include "base/thread_usage.h"
#include "tasks/step_duration.h"

namespace rattan::instance {

class WorkMeter {
public:
    // `cores` is the share of the machine's processors that the process may use.
    WorkMeter(const Clock& clock, Millis startedAt, double cores)
        : clock(clock)
        , startedAt(startedAt)
        , cores(cores)
        , usageAtStart(ThreadUsage::current())
    {
    }

    Millis elapsed() const { return this->clock.now() - this->startedAt; }

    // The duration to which the pause is proportional.
    Millis counted() const
    {
        return tasks::countedDuration({ .elapsed = this->elapsed(), .processorTime = (ThreadUsage::current() - this->usageAtStart).processorTime, .cores = this->cores });
    }

private:
    const Clock& clock;
    const Millis startedAt;
    const double cores;
    const ThreadUsage usageAtStart;
};

} // namespace rattan::instance
