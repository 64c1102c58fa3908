#pragma once

// How much work a run is, learned from runs of the same queue: its time on a
// worker of usual speed. Callers declare it, some well and some off by a factor
// of two, so for each queue the better of two forecasts is used: the declared
// time, corrected by how far off the queue usually is, or the mean of its runs.
// Both are kept as logarithms, since run times spread by factors. Not thread-safe.

#include "tasks/job.h"

#include <map>
#include <string>

namespace rattan::tasks {

// Mean and variance of what was seen of late.
struct RecentMean {
    double mean { 0 };
    double variance { 0 };
    double samples { 0 };

    void add(double value);
};

class RunTimes {
public:
    struct Forecast {
        Millis work { 1 };
        double variance { 0 }; // Of its logarithm.
    };

    // A run of which `work` was declared took `took` in units of usual speed.
    void addRun(const std::string& queue, Millis declared, double work);

    Forecast forecast(const std::string& queue, Millis declared) const;

    struct Queue {
        RecentMean logWork; // Of the logarithm of the time.
        RecentMean logRatio; // Of the logarithm of the time against the declared one.
    };

    // To hand over to a planner that follows.
    const std::map<std::string, Queue>& all() const { return this->queues; }
    void restore(const std::string& queue, const Queue& estimate) { this->queues[queue] = estimate; }

private:
    std::map<std::string, Queue> queues;
};

} // namespace rattan::tasks
