#pragma once

// Forecasts the work of a run as a distribution, learned from runs that ended. Work is the run
// time on a worker of nominal speed, in milliseconds; divide it by a worker's speed to get the
// run time there.
//
//     RunTimeForecaster forecaster;
//     forecaster.addRun(group, 2300);                  // a run that ended
//     forecaster.addUnfinishedRun(group, 900);         // a run that was stopped after this work
//     const RunTimeForecast forecast = forecaster.forecast(group);
//     forecast.quantile(0.9);                          // 9 of 10 runs need at most this work
//     forecast.remaining(0.5, 4000);                   // the median of what is left after this work
//     forecast.chanceOfEnd(4000, 1000);                // of an end within the next 1000 ms of work
//
// Not thread-safe.

#include "tasks/job.h"

#include <cstdint>
#include <string>

namespace rattan::tasks {

// Runs that are expected to take similar times.
struct RunGroup {
    std::string queue;
    std::string workspace;
    std::int64_t members { 1 };
    std::int64_t accelerators { 0 }; // Of each member.
    Millis declared { 0 }; // The run time that the caller declared, or 0.
};

// The distribution of the work of one run.
class RunTimeForecast {
public:
    // A log-normal distribution with this median and this standard deviation of the logarithm.
    RunTimeForecast(double median, double deviation);

    // The work that a run needs at most with probability `p`, 0 < p < 1.
    Millis quantile(double p) const;

    // The same for what is left of a run that has done `elapsed` without an end.
    Millis remaining(double p, Millis elapsed) const;

    // The probability that a run that has done `elapsed` without an end needs at most `within` more.
    double chanceOfEnd(Millis elapsed, Millis within) const;

private:
    double cumulative(double work) const;

    double logMedian;
    double deviation;
};

class RunTimeForecaster {
public:
    void addRun(const RunGroup&, double work);
    void addUnfinishedRun(const RunGroup&, double atLeast);

    RunTimeForecast forecast(const RunGroup&) const;
};

} // namespace rattan::tasks
