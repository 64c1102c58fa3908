#pragma once

// Estimates the speeds of workers that differ by a factor of two and more, from run times and
// from progress reports of runs that have not ended.
//
//     SpeedEstimator estimator;
//     estimator.addSiblings({ { "w1", 5000 }, { "w2", 8300 }, { "w3", 3200 } });
//     estimator.addRun({ "w1", 7100 }, forecast);
//     estimator.of("w1").median;                      // with its standard deviation beside it
//     estimator.isHeterogeneous();                    // whether these speeds should be used
//
// Three of 100 runs take seven times as long as others, so a sample is weighted by the probability
// that it is an ordinary run, and several deviations in one direction are taken for a change of the
// worker. How much the workers of the site differ is estimated too; it is the prior of a worker
// without runs. While they differ by about 20%, isHeterogeneous() is false.
//
// Only ratios of speeds can be seen, so the mean logarithm of all speeds is kept at zero. At most
// `maxWorkers` are remembered; the one without samples for longest is forgotten. Not thread-safe.

#include "tasks/run_times.h"
#include "tasks/speed_choice.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattan::tasks {

class SpeedEstimator {
public:
    static constexpr std::size_t maxWorkers = 8192;

    struct Sample {
        std::string worker;
        double duration { 0 }; // Of the whole run in milliseconds, measured or extrapolated from its progress.
    };

    // What earlier siblings have shown of the work of their step.
    struct StepWork {
        double logWork { 0 };
        double information { 0 }; // The inverse of its variance.
    };

    // Adds runs of tasks that should take similar times; each is compared with the others and with
    // the earlier ones of its step. Has no effect if there is nothing to compare with.
    void addSiblings(const std::vector<Sample>&, StepWork&);
    void addSiblings(const std::vector<Sample>& samples)
    {
        StepWork work;
        this->addSiblings(samples, work);
    }

    // Adds a run whose work is forecast.
    void addRun(const Sample&, const RunTimes::Forecast&);

    WorkerSpeed of(const std::string& worker) const;

    bool isHeterogeneous() const { return this->heterogeneous; }

    // The standard deviation of the logarithms of the speeds on this site.
    double siteDeviation() const;

    struct Estimate {
        double logSpeed { 0 }; // By the samples alone, without the prior.
        double information { 0 }; // The inverse of its variance.
        double raised { 0 }; // Cumulative sums of the deviations of recent samples in each direction.
        double lowered { 0 };
        std::int64_t lastSample { 0 };
    };

    // For the record that hands the estimates over to the next planner, which is read in only if
    // the site was heterogeneous.
    const std::map<std::string, Estimate>& all() const { return this->estimates; }
    double siteVariance() const { return this->variance; }
    void restore(const std::string& worker, double logSpeed, double information);
    void restoreSite(double siteVariance);

private:
    struct Belief {
        double mean;
        double variance;
    };
    Belief beliefOf(const std::string& worker) const;
    Belief referenceOf(const std::string& worker) const;
    void update(const std::string& worker, double logSpeed, double variance);
    void maintain();
    void center();
    void learnSiteVariance();

    std::map<std::string, Estimate> estimates;
    double variance { 0.04 };
    bool heterogeneous { false };
    std::int64_t sampleCount { 0 };
    std::int64_t maintainedAt { 0 }; // The number of samples at that time.
};

} // namespace rattan::tasks
