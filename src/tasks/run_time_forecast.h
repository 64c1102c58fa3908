#pragma once

// The distribution of the work of one run. Work is the run time on a worker of nominal speed, in
// milliseconds. A value; may be copied and read by any thread.

#include "base/clock.h"
#include "tasks/work_histogram.h"

#include <memory>

namespace rattan::tasks {

class RunTimeForecast {
public:
    // A log-normal distribution with this median and this standard deviation of the logarithm.
    RunTimeForecast(double median, double deviation);

    // `ratios`, with total weight 1, is the distribution of the logarithm of work / exp(`logWork`).
    RunTimeForecast(double logWork, std::shared_ptr<const WorkHistogram> ratios, double samples);

    // The work that a run needs at most with probability `p`, 0 < p < 1.
    Millis quantile(double p) const;

    // The same for what is left of a run that has done `elapsed` without an end. A run that has
    // exceeded all that is known is expected to take as long again, as an unbounded tail.
    Millis remaining(double p, Millis elapsed) const;

    // The probability that a run that has done `elapsed` without an end needs at most `within` more.
    double chanceOfEnd(Millis elapsed, Millis within) const;

    // The number of finished runs of the same queue and shape that it is learned from; 0 if it is
    // only the declared time.
    double samples() const { return this->sampleCount; }

private:
    double cumulative(double work) const;
    bool exceedsAllKnown(double ended) const;

    double logWork;
    double deviation { 0 };
    double sampleCount { 0 };
    std::shared_ptr<const WorkHistogram> ratios; // Or null for a log-normal distribution.
};

} // namespace rattan::tasks
