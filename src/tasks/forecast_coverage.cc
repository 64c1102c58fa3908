#include "tasks/forecast_coverage.h"

namespace rattan::tasks {

ForecastCoverage::Quantiles ForecastCoverage::quantilesOf(const RunTimeForecast& forecast)
{
    Quantiles result {};
    for (std::size_t i = 0; i < quantiles.size(); ++i)
        result.at(i) = forecast.quantile(quantiles.at(i));
    return result;
}

void ForecastCoverage::addRun(const Quantiles& atStart, double work)
{
    for (std::size_t i = 0; i < quantiles.size(); ++i) {
        this->counts.at(i).runs += 1;
        this->counts.at(i).within += work <= static_cast<double>(atStart.at(i)) ? 1 : 0;
    }
}

void ForecastCoverage::addUnfinishedRun(const Quantiles& atStart, double atLeast)
{
    for (std::size_t i = 0; i < quantiles.size(); ++i)
        this->counts.at(i).runs += atLeast > static_cast<double>(atStart.at(i)) ? 1 : 0;
}

double ForecastCoverage::share(std::size_t quantile) const
{
    const Count& count = this->counts.at(quantile);
    return count.runs > 0 ? count.within / count.runs : 0;
}

} // namespace rattan::tasks
