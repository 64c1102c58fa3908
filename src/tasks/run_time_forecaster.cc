#include "tasks/run_time_forecaster.h"

#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <cmath>

namespace rattan::tasks {

namespace {

    constexpr double defaultDeviation = 0.5; // Of the logarithm of the work of an unknown group; a factor of 1.6.
    constexpr double minChance = 1e-9;

} // namespace

RunTimeForecast::RunTimeForecast(double median, double deviation)
    : logMedian(std::log(std::max(median, 1.0)))
    , deviation(deviation)
{
}

double RunTimeForecast::cumulative(double work) const
{
    return work <= 0 ? 0 : boost::math::cdf(boost::math::normal(this->logMedian, this->deviation), std::log(work));
}

Millis RunTimeForecast::quantile(double p) const
{
    const double logWork = boost::math::quantile(boost::math::normal(this->logMedian, this->deviation), std::clamp(p, minChance, 1 - minChance));
    return std::max<Millis>(static_cast<Millis>(std::exp(logWork)), 1);
}

Millis RunTimeForecast::remaining(double p, Millis elapsed) const
{
    const double ended = this->cumulative(static_cast<double>(elapsed));
    return std::max<Millis>(this->quantile(ended + p * (1 - ended)) - elapsed, 1);
}

double RunTimeForecast::chanceOfEnd(Millis elapsed, Millis within) const
{
    const double ended = this->cumulative(static_cast<double>(elapsed));
    if (ended >= 1 - minChance)
        return 0;
    return (this->cumulative(static_cast<double>(elapsed + within)) - ended) / (1 - ended);
}

void RunTimeForecaster::addRun(const RunGroup&, double) { }

void RunTimeForecaster::addUnfinishedRun(const RunGroup&, double) { }

RunTimeForecast RunTimeForecaster::forecast(const RunGroup& group) const { return { static_cast<double>(group.declared), defaultDeviation }; }

} // namespace rattan::tasks
