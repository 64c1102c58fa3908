#pragma once

// Metrics: counters, gauges and distributions, exported in the Prometheus text format.
//
//     Metrics metrics;
//     metrics.count("rattan_requests_total", { { "outcome", "done" } });
//     metrics.observe("rattan_request_seconds", {}, seconds);
//     const std::string page = metrics.prometheusText();
//
// A distribution keeps its count, its sum and estimates of the 0.5, 0.9 and 0.99
// quantiles, in constant memory (the extended P-square estimator of
// Boost.Accumulators). At most maxSeries combinations of name and labels are kept;
// updates of further ones are dropped and counted in rattan_metrics_dropped_total.
// Thread-safe.

#include <sstream> // Needed by Boost.Accumulators, which does not include it.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace rattan {

using Labels = std::vector<std::pair<std::string, std::string>>;

class Metrics {
public:
    static constexpr std::size_t maxSeries = 2000;

    // Adds to a counter.
    void count(const std::string& name, const Labels& labels = {}, double increment = 1);
    // Sets a gauge.
    void set(const std::string& name, const Labels& labels, double value);
    // Adds a value to a distribution.
    void observe(const std::string& name, const Labels& labels, double value);

    // The current value of a counter or gauge, or zero if it was never set.
    double value(const std::string& name, const Labels& labels = {}) const;

    std::string prometheusText() const;

private:
    using Quantiles = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::extended_p_square_quantile>>;
    using Key = std::pair<std::string, std::string>; // Name and formatted labels.

    // Whether an update may be applied: the series exists, or there is room for a new one.
    // Counts the update as dropped otherwise.
    bool admitSeries(const Key&, bool exists);

    mutable std::mutex mutex;
    std::map<Key, double> counters;
    std::map<Key, double> gauges;
    std::map<Key, Quantiles> distributions;
    std::uint64_t dropped { 0 };
};

} // namespace rattan
