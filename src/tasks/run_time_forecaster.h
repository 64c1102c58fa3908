#pragma once

// Forecasts the work of a run as a distribution, learned from runs that ended. Work is the run
// time on a worker of nominal speed, in milliseconds; divide it by a worker's speed to get the
// run time there.
//
//     RunTimeForecaster forecaster;
//     forecaster.addRun(group, 2300);                  // a run that ended
//     forecaster.addUnfinishedRun(group, 900);         // a run that was stopped after this work
//     const RunTimeForecast forecast = forecaster.forecast(group);
//     forecast.quantile(0.9);                          // 9 of 10 runs need at most this work
//     forecast.remaining(0.5, 4000);                   // the median of what is left after this work
//     forecast.chanceOfEnd(4000, 1000);                // of an end within the next 1000 ms of work
//
// Runs are learned at four levels: the queue, with the shape, with the workspace, and with the
// declared time. A level with few runs relies on the one above it. Later runs count more than
// earlier ones. It holds at most maxNodes levels of groups, each below 1 KB, and drops the one
// that was not updated for the longest time. Not thread-safe.

#include "tasks/job.h"
#include "tasks/run_time_forecast.h"
#include "tasks/run_times.h"

#include <boost/container/static_vector.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace rattan::tasks {

// Runs that are expected to take similar times.
struct RunGroup {
    std::string queue;
    std::string workspace;
    std::int64_t members { 1 };
    std::int64_t accelerators { 0 }; // Of each member.
    Millis declared { 0 }; // The run time that the caller declared, or 0.

    auto operator<=>(const RunGroup&) const = default; // NOLINT(modernize-use-nullptr)
};

class RunTimeForecaster {
public:
    // 10 workspaces with 8 shapes and 5 declared times of 1 queue are 490. It is less than 0.5 MB.
    static constexpr std::size_t maxNodes = 512;

    void addRun(const RunGroup&, double work);
    void addUnfinishedRun(const RunGroup&, double atLeast);

    // The declared time, with a wide deviation, if there is no run of the queue.
    RunTimeForecast forecast(const RunGroup&) const;

    enum class Level {
        Queue,
        Shape,
        Workspace,
        Declared,
    };

    // The part of a RunGroup that a level distinguishes. The rest has default values.
    struct NodeKey {
        Level level { Level::Queue };
        std::string queue;
        std::string workspace;
        std::int64_t members { 0 };
        std::int64_t accelerators { 0 };
        std::int64_t declaredClass { 0 }; // Declared times that differ by up to 25% are one class.

        auto operator<=>(const NodeKey&) const = default; // NOLINT(modernize-use-nullptr)
    };

    struct Node {
        RecentMean logWork; // Of the logarithm of the work.
        RecentMean logRatio; // Of the logarithm of the ratio of the work to the declared time.
        RecentMean squaredError; // Of the estimates of its groups.
        double finishedRuns { 0 };
        double updateCount { 0 };
        int outliers { 0 }; // Consecutive runs far above (or, if negative, below) the forecast.
        WorkHistogram deviations; // Of the logarithm of the work from the estimate at that time.
        std::int64_t updatedAt { 0 }; // The number of earlier updates of the forecaster.
        mutable std::shared_ptr<const WorkHistogram> mixed; // With the levels above, as of an earlier update.
        mutable double mixedAtCount { 0 }; // The update count of the queue at that time.
    };

    // For the record that hands the estimates over to the next planner.
    const std::map<NodeKey, Node>& all() const { return this->nodes; }
    void restore(const NodeKey&, const Node&);

private:
    // The estimated location of the logarithm of the work of a group.
    struct Estimate {
        double logWork { 0 };
        double variance { 0 }; // Of runs.
        double between { 0 }; // Of the locations of groups at the next finer level.
    };

    // The known levels of a group, from the coarsest to the finest.
    using Levels = boost::container::static_vector<const Node*, 4>;

    template <typename Visit>
    static void forKeysOf(const RunGroup&, Visit);
    Levels levelsOf(const RunGroup&) const;
    static Estimate estimateOf(const Levels&, Millis declared);
    static WorkHistogram deviationsOf(const Levels&);
    static std::shared_ptr<const WorkHistogram> recentDeviationsOf(const Levels&);
    void update(const RunGroup&, double logWork, bool finished);
    void dropOldest();

    std::map<NodeKey, Node> nodes;
    std::int64_t updates { 0 };
};

} // namespace rattan::tasks
