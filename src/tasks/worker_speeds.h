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
//
// These estimates assume that speeds are within about 20%. While a SpeedEstimator, which gets the
// same runs and progress reports in addition, finds that the site's workers differ by more, its
// estimates are used instead.

#include "tasks/run_times.h"
#include "tasks/speed_estimator.h"

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

    // Adds runs for the estimates of a heterogeneous site only: siblings by their progress or end,
    // or one run with a forecast.
    void addProgress(const std::vector<SpeedEstimator::Sample>& siblings, SpeedEstimator::StepWork& work) { this->estimator.addSiblings(siblings, work); }
    void addProgress(const SpeedEstimator::Sample& run, const RunTimes::Forecast& forecast) { this->estimator.addRun(run, forecast); }

    // Whether the workers of the site differ by much more than 20%.
    bool areHeterogeneous() const { return this->estimator.isHeterogeneous(); }

    double of(const std::string& worker) const;

    // The speed with its uncertainty, which is 0 unless the site is heterogeneous.
    WorkerSpeed estimateOf(const std::string& worker) const;

    // The speed of a gang on these workers, which is that of the slowest one.
    double slowestOf(const std::vector<std::string>& workers) const;

    struct Estimate {
        double logSpeed { 0 };
        double weight { 1 }; // In units of a sample with the variance of the prior.
    };

    // For the record that hands the estimates over to the next planner.
    const std::map<std::string, Estimate>& all() const { return this->estimates; }
    void restore(const std::string& worker, const Estimate& estimate) { this->estimates[worker] = estimate; }

    const SpeedEstimator& heterogeneous() const { return this->estimator; }
    SpeedEstimator& heterogeneous() { return this->estimator; }

private:
    void update(const std::string& worker, double logSpeed, double variance);
    void center();

    std::map<std::string, Estimate> estimates;
    SpeedEstimator estimator;
};

} // namespace rattan::tasks
