#pragma once

// Estimates the relative speed of each worker from the runs that ended there. Workers of
// one service differ by half, and their speeds are not configured. A gang runs at the speed
// of its slowest member, so one slow worker among four makes the other three wait.
//
//     WorkerSpeeds speeds;
//     speeds.addSiblingRuns({ { "w1", 5000 }, { "w2", 6300 }, { "w3", 5200 } });   // tasks of one step
//     speeds.addGangRun({ "w1", "w3" }, forecast, 7100);
//     speeds.of("w1")                                             // 1.0 is the usual speed
//
// Runs only show ratios of speeds, so the mean of the logarithms of all speeds is kept at
// zero. An estimate starts at the usual speed, and each sample is weighted by how accurately
// its run time could be forecast. Not thread-safe.

#include "tasks/run_times.h"

#include <map>
#include <string>
#include <vector>

namespace rattan::tasks {

class WorkerSpeeds {
public:
    struct Sample {
        std::string worker;
        Millis duration { 0 };
    };

    // Adds single tasks of one step, not members of a gang, that ran from the beginning to their
    // end. Has no effect for fewer than three tasks.
    void addSiblingRuns(const std::vector<Sample>&);

    // Adds a gang, or a single task, that ran from the beginning to its end.
    void addGangRun(const std::vector<std::string>& workers, const RunTimes::Forecast&, Millis duration);

    double of(const std::string& worker) const;

    // The speed of a gang on these workers, which is that of the slowest one.
    double slowestOf(const std::vector<std::string>& workers) const;

    struct Estimate {
        double logSpeed { 0 };
        double weight { 1 }; // In units of a sample with the variance of the prior.
    };

    // For the record that hands the estimates over to the next planner.
    const std::map<std::string, Estimate>& all() const { return this->estimates; }
    void restore(const std::string& worker, const Estimate& estimate) { this->estimates[worker] = estimate; }

private:
    void update(const std::string& worker, double logSpeed, double variance);
    void center();

    std::map<std::string, Estimate> estimates;
};

} // namespace rattan::tasks
