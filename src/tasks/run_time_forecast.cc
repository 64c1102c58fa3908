#include "tasks/run_time_forecast.h"

#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <cmath>
#include <utility>

namespace rattan::tasks {

namespace {

    constexpr double minChance = 1e-9;

    // Sums of weights in single precision are not more accurate than this.
    constexpr double minKnownShare = 1e-4;

    Millis workOf(double logWork)
    {
        constexpr double maxLogWork = 40; // Representable as milliseconds.
        return std::max<Millis>(std::llround(std::exp(std::min(logWork, maxLogWork))), 1);
    }

} // namespace

RunTimeForecast::RunTimeForecast(double median, double deviation)
    : logWork(std::log(std::max(median, 1.0)))
    , deviation(deviation)
{
}

RunTimeForecast::RunTimeForecast(double logWork, std::shared_ptr<const WorkHistogram> ratios, double samples)
    : logWork(logWork)
    , sampleCount(samples)
    , ratios(std::move(ratios))
{
}

double RunTimeForecast::cumulative(double work) const
{
    if (work <= 0)
        return 0;
    const double logRatio = std::log(work) - this->logWork;
    return this->ratios ? this->ratios->share(logRatio) : boost::math::cdf(boost::math::normal(0, this->deviation), logRatio);
}

Millis RunTimeForecast::quantile(double p) const
{
    const double share = std::clamp(p, minChance, 1 - minChance);
    return workOf(this->logWork + (this->ratios ? this->ratios->quantile(share) : boost::math::quantile(boost::math::normal(0, this->deviation), share)));
}

bool RunTimeForecast::exceedsAllKnown(double ended) const { return ended >= 1 - (this->ratios ? minKnownShare : minChance); }

Millis RunTimeForecast::remaining(double p, Millis elapsed) const
{
    const double ended = this->cumulative(static_cast<double>(elapsed));
    if (this->exceedsAllKnown(ended))
        return std::max<Millis>(std::llround(static_cast<double>(elapsed) * p / std::max(1 - p, minChance)), 1);
    return std::max<Millis>(this->quantile(ended + p * (1 - ended)) - elapsed, 1);
}

double RunTimeForecast::chanceOfEnd(Millis elapsed, Millis within) const
{
    const double ended = this->cumulative(static_cast<double>(elapsed));
    if (this->exceedsAllKnown(ended))
        return static_cast<double>(within) / static_cast<double>(std::max<Millis>(elapsed + within, 1));
    return (this->cumulative(static_cast<double>(elapsed + within)) - ended) / (1 - ended);
}

} // namespace rattan::tasks
