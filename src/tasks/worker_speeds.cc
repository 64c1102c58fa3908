// Each estimate is the mean of a normal distribution over the logarithm of the speed, with
// samples weighted by the inverse of their variance. The run time of a gang depends only on
// its slowest member. So a gang run updates the member with the lowest estimate, and raises
// the other estimates that are lower than the speed of the gang.

#include "tasks/worker_speeds.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rattan::tasks {

namespace {

    constexpr double priorVariance = 0.04; // Speeds are within about 20% of the usual one.
    constexpr double siblingVariance = 0.04; // The run times of tasks of one step differ by about 20%.
    constexpr double maxWeight = 15; // So that the estimate follows a change of speed within a dozen runs.
    constexpr double maxLogDeviation = 0.7; // A factor of two; larger deviations don't reflect a worker's usual speed.
    constexpr std::size_t minSiblings = 3;

} // namespace

double WorkerSpeeds::of(const std::string& worker) const { return this->estimateOf(worker).median; }

WorkerSpeed WorkerSpeeds::estimateOf(const std::string& worker) const
{
    if (this->areHeterogeneous())
        return this->estimator.of(worker);
    const auto found = this->estimates.find(worker);
    return { found == this->estimates.end() ? 1.0 : std::exp(found->second.logSpeed), 0 };
}

double WorkerSpeeds::slowestOf(const std::vector<std::string>& workers) const
{
    double slowest = std::numeric_limits<double>::max();
    for (const std::string& worker : workers)
        slowest = std::min(slowest, this->of(worker));
    return workers.empty() ? 1.0 : slowest;
}

void WorkerSpeeds::update(const std::string& worker, double logSpeed, double variance)
{
    Estimate& estimate = this->estimates[worker];
    const double weight = priorVariance / std::max(variance, priorVariance / 4);
    estimate.logSpeed += (std::clamp(logSpeed, -maxLogDeviation, maxLogDeviation) - estimate.logSpeed) * weight / (estimate.weight + weight);
    estimate.weight = std::min(estimate.weight + weight, maxWeight);
}

void WorkerSpeeds::center()
{
    double sum = 0;
    for (const auto& [worker, estimate] : this->estimates)
        sum += estimate.logSpeed;
    const double mean = sum / static_cast<double>(this->estimates.size());
    for (auto& [worker, estimate] : this->estimates)
        estimate.logSpeed -= mean;
}

void WorkerSpeeds::addSiblingRuns(const std::vector<Sample>& samples)
{
    if (samples.size() < minSiblings)
        return;
    double meanLogWork = 0;
    for (const Sample& sample : samples)
        meanLogWork += std::log(static_cast<double>(std::max<Millis>(sample.duration, 1)) * this->of(sample.worker));
    meanLogWork /= static_cast<double>(samples.size());
    for (const Sample& sample : samples)
        this->update(sample.worker, meanLogWork - std::log(static_cast<double>(std::max<Millis>(sample.duration, 1))), siblingVariance);
    this->center();
}

void WorkerSpeeds::addGangRun(const std::vector<std::string>& workers, const RunTimes::Forecast& forecast, Millis duration)
{
    if (workers.empty())
        return;
    const double logSpeed = std::log(static_cast<double>(forecast.work)) - std::log(static_cast<double>(std::max<Millis>(duration, 1)));
    const std::string* slowest = &workers.front();
    for (const std::string& worker : workers) {
        if (this->of(worker) < this->of(*slowest))
            slowest = &worker;
    }
    const std::string slowestId = *slowest;
    for (const std::string& worker : workers) {
        if (worker == slowestId || std::log(this->of(worker)) < logSpeed)
            this->update(worker, logSpeed, forecast.variance);
    }
    this->center();
}

} // namespace rattan::tasks
