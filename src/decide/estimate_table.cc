#include "decide/estimate_table.h"

#include <algorithm>
#include <cmath>

namespace rattan::decide::detail {

namespace {

    constexpr Millis fallback = 600000;
    constexpr Millis shortest = 1000;
    constexpr Millis longest = 7LL * 24 * 3600 * 1000;
    constexpr std::int64_t enoughSamples = 3;
    constexpr double leastWeight = 0.05;
    constexpr std::size_t mostEntries = 8192; // Classes beyond go by their declared times.

    Millis clamped(double value)
    {
        return static_cast<Millis>(std::clamp(value, static_cast<double>(shortest), static_cast<double>(longest)));
    }

} // namespace

void EstimateTable::Trend::add(double value, double weight)
{
    const double off = value - this->mean;
    this->mean += weight * off;
    this->variance = (1 - weight) * (this->variance + weight * off * off);
}

Millis EstimateTable::runTime(const JobSubmitted& job) const
{
    const double declared = static_cast<double>(job.declaredRunTime > 0 ? job.declaredRunTime : fallback);
    const auto found = this->entries.find({ job.workspace, job.jobClass });
    if (found == this->entries.end() || found->second.samples < enoughSamples)
        return clamped(declared);
    const Entry& entry = found->second;
    const bool byRatio = job.declaredRunTime > 0 && entry.declaredSamples >= enoughSamples
        && entry.ratio.variance < entry.time.variance;
    return clamped(byRatio ? declared * std::exp(entry.ratio.mean) : std::exp(entry.time.mean));
}

void EstimateTable::learn(const JobSubmitted& job, Millis ran)
{
    if (this->entries.size() >= mostEntries && !this->entries.contains({ job.workspace, job.jobClass }))
        return;
    Entry& entry = this->entries[{ job.workspace, job.jobClass }];
    const double time = static_cast<double>(std::max(ran, shortest));
    ++entry.samples;
    entry.time.add(std::log(time), std::max(leastWeight, 1.0 / static_cast<double>(entry.samples)));
    if (job.declaredRunTime <= 0)
        return;
    ++entry.declaredSamples;
    entry.ratio.add(std::log(time / static_cast<double>(job.declaredRunTime)),
        std::max(leastWeight, 1.0 / static_cast<double>(entry.declaredSamples)));
}

} // namespace rattan::decide::detail
