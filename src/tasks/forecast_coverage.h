#pragma once

// Counts how often runs end within the quantiles that were forecast when they started. The shares
// of a calibrated forecast are close to the probabilities of the quantiles.
//
//     ForecastCoverage coverage;
//     const auto atStart = ForecastCoverage::quantilesOf(forecast);
//     coverage.addRun(atStart, work);
//     coverage.share(1);                 // of the runs that ended within the 90% quantile
//
// Not thread-safe.

#include "tasks/run_time_forecast.h"

#include <array>
#include <cstddef>

namespace rattan::tasks {

class ForecastCoverage {
public:
    static constexpr std::array<double, 3> quantiles { 0.5, 0.9, 0.99 };

    using Quantiles = std::array<Millis, quantiles.size()>;

    static Quantiles quantilesOf(const RunTimeForecast&);

    void addRun(const Quantiles& atStart, double work);

    // Counts for the quantiles that the run has exceeded; whether it would have ended within the
    // others is unknown.
    void addUnfinishedRun(const Quantiles& atStart, double atLeast);

    // The number of counted runs, and the share of them that ended within the quantile.
    double runs(std::size_t quantile) const { return this->counts.at(quantile).runs; }
    double share(std::size_t quantile) const;

private:
    struct Count {
        double runs { 0 };
        double within { 0 };
    };

    std::array<Count, quantiles.size()> counts;
};

} // namespace rattan::tasks
