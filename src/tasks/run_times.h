#pragma once

// Forecasts the work of a run, which is its run time on a worker of usual speed, from
// earlier runs of the same queue. Callers declare a run time, which may be accurate or off
// by a factor of two. So the better of two forecasts is used for each queue: the declared
// time, corrected by the mean error of the queue, or the mean run time. Both use
// logarithms, since the errors of run times are multiplicative. Not thread-safe.

#include "tasks/job.h"

#include <map>
#include <string>

namespace rattan::tasks {

// Mean and variance of recent samples, with exponentially decreasing weights.
struct RecentMean {
    double mean { 0 };
    double variance { 0 };
    double samples { 0 };

    // A mean with `minWeight` covers about the last 1 / minWeight samples.
    void add(double value, double minWeight = 0.05);
};

class RunTimes {
public:
    struct Forecast {
        Millis work { 1 };
        double variance { 0 }; // Of the logarithm of `work`.
    };

    // Adds a run with a declared run time. `work` is its actual run time, scaled to a worker of
    // usual speed, in milliseconds.
    void addRun(const std::string& queue, Millis declared, double work);

    Forecast forecast(const std::string& queue, Millis declared) const;

    struct Queue {
        RecentMean logWork; // Of the logarithm of the work.
        RecentMean logRatio; // Of the logarithm of the ratio of the work to the declared time.
    };

    // For the record that hands the estimates over to the next planner.
    const std::map<std::string, Queue>& all() const { return this->queues; }
    void restore(const std::string& queue, const Queue& estimate) { this->queues[queue] = estimate; }

private:
    std::map<std::string, Queue> queues;
};

} // namespace rattan::tasks
