#include "tasks/run_times.h"

#include <algorithm>
#include <cmath>

namespace rattan::tasks {

namespace {

    constexpr double defaultVariance = 0.25; // Of an unknown queue; a standard deviation of a factor of 1.6.
    constexpr double minSamples = 4; // A mean of fewer runs is not used.

} // namespace

void RecentMean::add(double value, double minWeight)
{
    this->samples += 1;
    const double weight = std::max(minWeight, 1 / this->samples);
    const double deviation = value - this->mean;
    this->mean += weight * deviation;
    this->variance = (1 - weight) * (this->variance + weight * deviation * deviation);
}

void RunTimes::addRun(const std::string& queue, Millis declared, double work)
{
    Queue& estimate = this->queues[queue];
    const double logWork = std::log(std::max(work, 1.0));
    estimate.logWork.add(logWork);
    if (declared > 0)
        estimate.logRatio.add(logWork - std::log(static_cast<double>(declared)));
}

RunTimes::Forecast RunTimes::forecast(const std::string& queue, Millis declared) const
{
    const auto found = this->queues.find(queue);
    if (found == this->queues.end() || found->second.logWork.samples < minSamples)
        return { std::max<Millis>(declared, 1), defaultVariance };
    const Queue& estimate = found->second;
    const bool byDeclared = declared > 0 && estimate.logRatio.samples >= minSamples && estimate.logRatio.variance < estimate.logWork.variance;
    const double logWork = byDeclared ? std::log(static_cast<double>(declared)) + estimate.logRatio.mean : estimate.logWork.mean;
    const double variance = byDeclared ? estimate.logRatio.variance : estimate.logWork.variance;
    return { std::max<Millis>(static_cast<Millis>(std::exp(logWork)), 1), variance };
}

} // namespace rattan::tasks
