#include "tasks/estimates_record.h"

#include "base/json.h"

#include <cmath>

namespace rattan::tasks {

namespace {

    // Three decimal places exceed the accuracy of any estimate.
    double rounded(double value)
    {
        constexpr double digits = 1000;
        return std::round(value * digits) / digits;
    }

    Json meanJson(const RecentMean& mean) { return Json::array({ rounded(mean.mean), rounded(mean.variance), mean.samples }); }

    // Only on heterogeneous sites, because elsewhere it would double the record without any use.
    Json heterogeneousJson(const SpeedEstimator& estimator)
    {
        Json workers = Json::object();
        for (const auto& [id, estimate] : estimator.all())
            workers[id] = Json::array({ rounded(estimate.logSpeed), std::lround(estimate.information) });
        return { { "variance", rounded(estimator.siteVariance()) }, { "workers", std::move(workers) } };
    }

    void restoreHeterogeneous(const Json& json, SpeedEstimator& estimator)
    {
        for (const auto& [id, row] : json.at("workers").items())
            estimator.restore(id, row.at(0).get<double>(), row.at(1).get<double>());
        estimator.restoreSite(json.at("variance").get<double>());
    }

    RecentMean meanOf(const Json& row) { return { row.at(0).get<double>(), row.at(1).get<double>(), row.at(2).get<double>() }; }

} // namespace

std::string encodeEstimates(const RunTimes& runTimes, const WorkerSpeeds& speeds)
{
    Json queues = Json::object();
    for (const auto& [name, queue] : runTimes.all())
        queues[name] = Json::array({ meanJson(queue.logWork), meanJson(queue.logRatio) });
    Json workers = Json::object();
    for (const auto& [id, estimate] : speeds.all())
        workers[id] = Json::array({ rounded(estimate.logSpeed), rounded(estimate.weight) });
    Json record { { "queues", std::move(queues) }, { "speeds", std::move(workers) } };
    if (speeds.areHeterogeneous())
        record["heterogeneous_speeds"] = heterogeneousJson(speeds.heterogeneous());
    return record.dump();
}

void restoreEstimates(std::string_view record, RunTimes& runTimes, WorkerSpeeds& speeds)
{
    const Json json = Json::parse(record, nullptr, false);
    if (!json.is_object())
        return;
    try {
        for (const auto& [name, row] : json.at("queues").items())
            runTimes.restore(name, { meanOf(row.at(0)), meanOf(row.at(1)) });
        for (const auto& [id, row] : json.at("speeds").items())
            speeds.restore(id, { row.at(0).get<double>(), row.at(1).get<double>() });
        if (const auto found = json.find("heterogeneous_speeds"); found != json.end())
            restoreHeterogeneous(*found, speeds.heterogeneous());
    } catch (const Json::exception&) {
        return; // The format of another version; the entries read so far are valid.
    }
}

} // namespace rattan::tasks
