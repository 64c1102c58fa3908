// A forecast is a location plus a distribution of deviations from it, both in logarithms, since
// the errors of run times are multiplicative.
//
// The location is estimated from the queue down to the finest level. Each level replaces the
// estimate so far by a mean of it and of its own, weighted by the inverses of their variances.
// For the level above, that is the variance between its groups: what its runs vary more around
// its own mean than around the estimates of their groups. So where the groups of a queue
// disagree, for example because one workspace declares false run times, a group soon relies on
// its own runs only. At each level either the declared time, corrected by a
// mean ratio, or the mean work is used, whichever has varied less.
//
// Single runs far from the estimate count as if they were nearer, so that the location is that
// of usual runs; the tail is in the distribution. Several of them in a row show that the work has
// changed, and then the finer levels begin anew.
//
// Each run adds the deviation from its estimate before the run to the histograms of its levels.
// So the distribution includes the errors of the estimate, and its quantiles are calibrated
// even where the estimate is poor. The histogram of a finer level is mixed with a fixed weight of
// the one above.
//
// An unfinished run is counted as one that ended with the expected work of the runs that exceed
// its lower bound, by the distribution so far (an EM step for censored samples).

#include "tasks/run_time_forecaster.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace rattan::tasks {

namespace {

    constexpr double defaultDeviation = 0.5; // Of the logarithm of the work of an unknown group; a factor of 1.6.
    constexpr double minVariance = 1e-4; // A deviation of 1%, the accuracy of measured run times.
    // How many runs a mean covers. Large changes are learned sooner, by `changeOutliers`.
    constexpr double maxMeanSamples = 50;
    constexpr double minMeanWeight = 1 / maxMeanSamples;
    constexpr double minChoiceSamples = 4; // Fewer runs don't show whether the declared time is useful.
    constexpr double priorSamples = 2; // How many runs the variance of the level above counts for.
    constexpr double minBetweenShare = 0.05; // Of the variance, so that a group with many runs is never ignored.

    constexpr double outlierDeviations = 3;
    constexpr double minOutlier = 0.5; // A factor of 1.6.

    // With 3 long runs in 100, three in a row by chance are one in 37,000.
    constexpr int changeOutliers = 3;

    // The first runs of a queue deviate from the declared time, not from an estimate.
    constexpr double minDeviationSamples = 4;

    // A histogram covers about the last 500 runs: enough for 5 above the 99% quantile.
    constexpr double histogramRuns = 500;
    constexpr double retainedWeight = 1 - 1 / histogramRuns;
    constexpr double maxStaleShare = 0.02; // The share of runs that a histogram in use may lack.

    constexpr double defaultWeight = 8; // How many runs the default distribution counts for,
    constexpr double coarserWeight = 200; // and that of the level above.

    // A lower bound that fewer runs are below than this says nothing.
    constexpr double minInformativeShare = 0.02;

    std::int64_t declaredClassOf(Millis declared)
    {
        constexpr double classFactor = 1.25;
        return declared > 0 ? 1 + std::llround(std::log(static_cast<double>(declared)) / std::log(classFactor)) : 0;
    }

    double logOf(double work) { return std::log(std::max(work, 1.0)); }

    bool usesDeclared(const RunTimeForecaster::Node& node, Millis declared)
    {
        if (declared <= 0 || node.logRatio.samples == 0)
            return false;
        return node.logRatio.samples < minChoiceSamples || node.logRatio.variance < node.logWork.variance;
    }

    // A lower bound below the estimate is no evidence of shorter runs.
    void countOutlier(RunTimeForecaster::Node& node, double deviation, double bound, bool finished)
    {
        if (!finished && deviation < bound)
            return;
        const int direction = std::abs(deviation) < bound ? 0 : (deviation > 0 ? 1 : -1);
        node.outliers = direction * node.outliers > 0 ? node.outliers + direction : direction;
    }

} // namespace

// Calls `visit` with the keys from the coarsest to the finest level, while it returns true. One key
// is reused, since forecasts of thousands of units are computed in one round.
template <typename Visit>
void RunTimeForecaster::forKeysOf(const RunGroup& group, Visit visit)
{
    NodeKey key;
    key.queue = group.queue;
    if (!visit(key))
        return;
    key.level = Level::Shape;
    key.members = group.members;
    key.accelerators = group.accelerators;
    if (!visit(key))
        return;
    key.level = Level::Workspace;
    key.workspace = group.workspace;
    if (!visit(key) || group.declared <= 0)
        return;
    key.level = Level::Declared;
    key.declaredClass = declaredClassOf(group.declared);
    visit(key);
}

// A level is never dropped before the finer ones below it, so none is missing in between.
RunTimeForecaster::Levels RunTimeForecaster::levelsOf(const RunGroup& group) const
{
    Levels found;
    forKeysOf(group, [&](const NodeKey& key) {
        const auto node = this->nodes.find(key);
        if (node != this->nodes.end())
            found.push_back(&node->second);
        return node != this->nodes.end();
    });
    return found;
}

RunTimeForecaster::Estimate RunTimeForecaster::estimateOf(const Levels& levels, Millis declared)
{
    const double logDeclared = logOf(static_cast<double>(declared));
    constexpr double defaultVariance = defaultDeviation * defaultDeviation;
    Estimate estimate { logDeclared, defaultVariance, defaultVariance };
    bool isFirst = true;
    for (const Node* node : levels) {
        const bool byDeclared = usesDeclared(*node, declared);
        const RecentMean& mean = byDeclared ? node->logRatio : node->logWork;
        if (mean.samples == 0)
            continue;
        const double logWork = byDeclared ? logDeclared + mean.mean : mean.mean;
        const double samples = std::min(mean.samples, maxMeanSamples);
        const double variance = std::max((mean.variance * samples + estimate.variance * priorSamples) / (samples + priorSamples), minVariance);
        // Without a declared time nothing is known above the queue.
        const double ownWeight = isFirst && declared <= 0 ? 1 : estimate.between / (estimate.between + variance / samples);
        estimate.logWork += ownWeight * (logWork - estimate.logWork);
        const bool isKnown = mean.samples >= minChoiceSamples;
        estimate.variance = isKnown ? std::clamp(node->squaredError.mean, minVariance, variance) : variance;
        estimate.between = isKnown ? std::max(variance - estimate.variance, minBetweenShare * variance) : variance;
        isFirst = false;
    }
    return estimate;
}

WorkHistogram RunTimeForecaster::deviationsOf(const Levels& levels)
{
    static const WorkHistogram unknown = WorkHistogram::lognormal(defaultDeviation);
    WorkHistogram result = unknown;
    double weight = defaultWeight;
    for (const Node* node : levels) {
        result = node->deviations.mixedWith(result, weight);
        weight = coarserWeight;
    }
    return result;
}

// The mixed histogram is shared by all forecasts of a group, of which there may be thousands.
std::shared_ptr<const WorkHistogram> RunTimeForecaster::recentDeviationsOf(const Levels& levels)
{
    const Node& queue = *levels.front();
    const Node& finest = *levels.back();
    const double refreshInterval = std::min(queue.updateCount, histogramRuns) * maxStaleShare;
    if (!finest.mixed || queue.updateCount - finest.mixedAtCount > refreshInterval) {
        finest.mixed = std::make_shared<const WorkHistogram>(deviationsOf(levels));
        finest.mixedAtCount = queue.updateCount;
    }
    return finest.mixed;
}

RunTimeForecast RunTimeForecaster::forecast(const RunGroup& group) const
{
    const Levels levels = this->levelsOf(group);
    if (levels.empty())
        return { static_cast<double>(group.declared), defaultDeviation };
    constexpr auto shape = static_cast<std::size_t>(Level::Shape);
    return { estimateOf(levels, group.declared).logWork, recentDeviationsOf(levels), levels.size() > shape ? levels[shape]->finishedRuns : 0 };
}

void RunTimeForecaster::addRun(const RunGroup& group, double work) { this->update(group, logOf(work), true); }

void RunTimeForecaster::addUnfinishedRun(const RunGroup& group, double atLeast)
{
    if (atLeast >= 1)
        this->update(group, logOf(atLeast), false);
}

void RunTimeForecaster::update(const RunGroup& group, double logWork, bool finished)
{
    const Levels levels = this->levelsOf(group);
    const Estimate estimate = estimateOf(levels, group.declared);
    const WorkHistogram expected = deviationsOf(levels);
    const bool isFirst = levels.empty() && group.declared <= 0;
    const double deviation = isFirst ? 0 : logWork - estimate.logWork;
    if (!finished && (isFirst || expected.share(deviation) < minInformativeShare))
        return;
    const double bound = std::max(outlierDeviations * std::sqrt(estimate.variance), minOutlier);
    const double counted = finished ? deviation : std::max(expected.meanAbove(deviation, bound), std::min(deviation, bound));
    const double limited = isFirst ? 0 : std::clamp(counted, -bound, bound);
    const bool learnsDeviation = !levels.empty() && levels.front()->finishedRuns >= minDeviationSamples;
    const double origin = isFirst ? logWork : estimate.logWork;
    ++this->updates;
    bool isChanged = false;
    std::vector<NodeKey> keys;
    forKeysOf(group, [&](const NodeKey& key) {
        keys.push_back(key);
        return true;
    });
    std::reverse(keys.begin(), keys.end()); // The finest level first, which shows whether the work has changed.
    for (const NodeKey& key : keys) {
        Node& node = this->nodes[key];
        node.updatedAt = this->updates;
        node.updateCount += 1;
        node.finishedRuns += finished ? 1 : 0;
        countOutlier(node, deviation, bound, finished);
        const bool isGroupLevel = key.level >= Level::Workspace;
        isChanged = isChanged || (isGroupLevel && std::abs(node.outliers) >= changeOutliers);
        if (isChanged && isGroupLevel) {
            node.logWork.samples = node.logRatio.samples = 0;
            node.outliers = 0;
        }
        node.squaredError.add(limited * limited, minMeanWeight);
        const double value = origin + (isChanged ? deviation : limited);
        node.logWork.add(value, minMeanWeight);
        if (group.declared > 0)
            node.logRatio.add(value - logOf(static_cast<double>(group.declared)), minMeanWeight);
        if (!learnsDeviation)
            continue;
        if (finished)
            node.deviations.add(deviation, retainedWeight);
        else
            node.deviations.addAbove(deviation, expected, retainedWeight);
    }
    while (this->nodes.size() > maxNodes)
        this->dropOldest();
}

void RunTimeForecaster::restore(const NodeKey& key, const Node& node)
{
    this->updates = std::max(this->updates, node.updatedAt);
    this->nodes[key] = node;
    if (this->nodes.size() > maxNodes)
        this->dropOldest();
}

void RunTimeForecaster::dropOldest()
{
    // A coarse level is updated with each of its groups. Of levels updated at once, the finest goes.
    const auto oldest = std::min_element(this->nodes.begin(), this->nodes.end(),
        [](const auto& a, const auto& b) { return a.second.updatedAt != b.second.updatedAt ? a.second.updatedAt < b.second.updatedAt : a.first.level > b.first.level; });
    this->nodes.erase(oldest);
}

} // namespace rattan::tasks
