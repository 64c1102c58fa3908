// Each worker has the mean and the information of its samples, as in a Kalman filter over the
// logarithm of its speed; a normal distribution around zero, whose variance is that of the site,
// is the prior. Of several siblings each is compared with the others, whose work is their run
// time multiplied by what is known of their speeds. The uncertainty of these speeds adds to the
// variance of the sample, so that samples from before the speeds were known weigh little.

#include "tasks/speed_estimator.h"

#include <algorithm>
#include <cmath>

namespace rattan::tasks {

namespace {

    // The run times of tasks of one step differ by 15 to 30%.
    constexpr double taskVariance = 0.05;

    // The share of runs that take longer by the factor, and of runs without any explanation.
    constexpr double longShare = 0.03;
    const double logLongFactor = std::log(7.0);
    constexpr double longVariance = 0.1; // In addition to that of other samples.
    constexpr double strayDensity = 0.002;

    // As of about 15 samples, so that an estimate follows a change within a dozen runs.
    constexpr double maxInformation = 15 / taskVariance;

    // Deviations are summed up beyond the first, in units of the standard deviation; a long run
    // counts as `maxStep` at most, so that two of them are no change yet.
    constexpr double ignoredDeviation = 0.5;
    constexpr double maxStep = 2;
    constexpr double changeThreshold = 4.1;
    constexpr double informationAfterChange = 8;

    // The speed of a worker that siblings are compared with: of an unknown one it may be anything.
    constexpr double unknownVariance = 0.16;
    constexpr double minReferenceInformation = 40;

    // The site's variance counts as known from workers with about three samples. The prior counts
    // as four workers that differ by about 20%.
    constexpr double minInformation = 3 / taskVariance / 2;
    constexpr double priorVariance = 0.04;
    constexpr double priorWorkers = 4;
    constexpr std::size_t minWorkers = 6;
    constexpr double maxLogSpeed = 1.2; // Larger deviations are not of speed alone.

    // Speeds within 20% have 0.04, a third each of 0.6, 1.0 and 1.6 have 0.16. The distance of the
    // bounds avoids that the site changes its kind with every sample.
    constexpr double minHeterogeneousVariance = 0.085;
    constexpr double maxHomogeneousVariance = 0.06;

    double density(double deviation, double variance) { return std::exp(-deviation * deviation / variance / 2) / std::sqrt(variance * 6.2832); }

} // namespace

SpeedEstimator::Belief SpeedEstimator::beliefOf(const std::string& worker) const
{
    const auto found = this->estimates.find(worker);
    if (found == this->estimates.end())
        return { 0, this->variance };
    const double information = found->second.information + 1 / this->variance;
    return { found->second.logSpeed * found->second.information / information, 1 / information };
}

WorkerSpeed SpeedEstimator::of(const std::string& worker) const
{
    const Belief belief = this->beliefOf(worker);
    return { std::exp(belief.mean), std::sqrt(belief.variance) };
}

double SpeedEstimator::siteDeviation() const { return std::sqrt(this->variance); }

void SpeedEstimator::update(const std::string& worker, double logSpeed, double variance)
{
    const Belief belief = this->beliefOf(worker);
    const double deviation = logSpeed - belief.mean;
    const double total = belief.variance + variance;
    const double ordinary = (1 - longShare) * density(deviation, total);
    const double unusual = longShare * density(deviation + logLongFactor, total + longVariance) + strayDensity;
    const double weight = ordinary / (ordinary + unusual) / variance;

    Estimate& estimate = this->estimates[worker];
    estimate.lastSample = ++this->sampleCount;
    const double step = std::clamp(deviation / std::sqrt(total), -maxStep - ignoredDeviation, maxStep + ignoredDeviation);
    estimate.raised = std::max(0.0, estimate.raised + step - ignoredDeviation);
    estimate.lowered = std::max(0.0, estimate.lowered - step - ignoredDeviation);
    if (std::max(estimate.raised, estimate.lowered) >= changeThreshold) {
        estimate.information = std::min(estimate.information, informationAfterChange);
        estimate.raised = estimate.lowered = 0;
    }
    estimate.logSpeed += (logSpeed - estimate.logSpeed) * weight / (estimate.information + weight);
    estimate.information = std::min(estimate.information + weight, maxInformation);
    if (this->estimates.size() > maxWorkers)
        this->estimates.erase(std::min_element(this->estimates.begin(), this->estimates.end(), [](const auto& a, const auto& b) { return a.second.lastSample < b.second.lastSample; }));
}

// Both parts visit all workers, so on a large site they wait for some samples.
void SpeedEstimator::maintain()
{
    constexpr std::int64_t workersPerSample = 8;
    if (this->sampleCount < this->maintainedAt + static_cast<std::int64_t>(this->estimates.size()) / workersPerSample)
        return;
    this->maintainedAt = this->sampleCount;
    this->center();
    this->learnSiteVariance();
}

void SpeedEstimator::center()
{
    double sum = 0;
    for (const auto& [worker, estimate] : this->estimates)
        sum += this->beliefOf(worker).mean;
    const double mean = sum / static_cast<double>(std::max<std::size_t>(this->estimates.size(), 1));
    for (auto& [worker, estimate] : this->estimates)
        estimate.logSpeed -= mean;
}

void SpeedEstimator::learnSiteVariance()
{
    double sum = priorWorkers * priorVariance;
    double count = priorWorkers;
    std::size_t known = 0;
    for (const auto& [worker, estimate] : this->estimates) {
        if (estimate.information < minInformation)
            continue;
        const double logSpeed = std::clamp(estimate.logSpeed, -maxLogSpeed, maxLogSpeed);
        sum += logSpeed * logSpeed - 1 / estimate.information;
        ++count;
        ++known;
    }
    this->variance = std::max(sum / count, priorVariance);
    if (known >= minWorkers)
        this->heterogeneous = this->variance > (this->heterogeneous ? maxHomogeneousVariance : minHeterogeneousVariance);
}

// The speed of a worker that others are compared with. Without the prior of the site, which would
// draw together the classes of a site where siblings mostly run on workers of like speed.
SpeedEstimator::Belief SpeedEstimator::referenceOf(const std::string& worker) const
{
    const auto found = this->estimates.find(worker);
    if (found == this->estimates.end())
        return { 0, unknownVariance };
    const double information = found->second.information;
    if (information < minReferenceInformation)
        return { found->second.logSpeed * information / (information + 1 / unknownVariance), 1 / (information + 1 / unknownVariance) };
    return { found->second.logSpeed, 1 / information };
}

void SpeedEstimator::addSiblings(const std::vector<Sample>& samples, StepWork& stepWork)
{
    struct Work {
        double log;
        double weight;
    };
    if (samples.empty())
        return;
    std::vector<Work> works;
    std::vector<double> sorted;
    for (const Sample& sample : samples) {
        const Belief belief = this->referenceOf(sample.worker);
        works.push_back({ std::log(std::max(sample.duration, 1.0)) + belief.mean, 1 / (taskVariance + belief.variance) });
        sorted.push_back(works.back().log);
    }
    // A long run among the siblings must not make the others appear fast.
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>((sorted.size() - 1) / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    constexpr double maxDeviation = 0.7;
    constexpr double minOthersWeight = 0.1; // None of the others has an exact duration.
    double sum = stepWork.logWork * stepWork.information;
    double weights = stepWork.information;
    for (Work& work : works) {
        work.log = std::clamp(work.log, *middle - maxDeviation, *middle + maxDeviation);
        sum += work.log * work.weight;
        weights += work.weight;
    }
    if (weights > 0)
        stepWork = { sum / weights, weights };
    for (std::size_t i = 0; i < samples.size(); ++i) {
        const double othersWeight = weights - works[i].weight;
        if (othersWeight < minOthersWeight)
            continue;
        const double others = (sum - works[i].log * works[i].weight) / othersWeight;
        this->update(samples[i].worker, others - std::log(std::max(samples[i].duration, 1.0)), taskVariance + 1 / othersWeight);
    }
    this->maintain();
}

void SpeedEstimator::addRun(const Sample& sample, const RunTimes::Forecast& forecast)
{
    const double logSpeed = std::log(static_cast<double>(forecast.work)) - std::log(std::max(sample.duration, 1.0));
    this->update(sample.worker, logSpeed, taskVariance + forecast.variance);
    this->maintain();
}

void SpeedEstimator::restore(const std::string& worker, double logSpeed, double information)
{
    this->estimates[worker] = { .logSpeed = logSpeed, .information = std::clamp(information, 0.0, maxInformation) };
}

void SpeedEstimator::restoreSite(double siteVariance)
{
    this->variance = std::max(siteVariance, priorVariance);
    this->heterogeneous = this->variance > maxHomogeneousVariance;
}

} // namespace rattan::tasks
