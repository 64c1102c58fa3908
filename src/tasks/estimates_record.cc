#include "tasks/estimates_record.h"

#include "base/json.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>
#include <vector>

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

    using Forecasts = std::vector<std::pair<RunTimeForecaster::NodeKey, RunTimeForecaster::Node>>;

    // The histograms of queues only: finer ones are five times as large, and begin as that of
    // their queue.
    Json deviationsJson(const RunTimeForecaster::NodeKey& key, const WorkHistogram& deviations)
    {
        constexpr double minWeight = 0.05; // Of 500; hundreds of bins with less would be rounded anyway.
        constexpr double digits = 10;
        Json bins = Json::array();
        for (std::size_t i = 0; i < WorkHistogram::binCount && key.level == RunTimeForecaster::Level::Queue; ++i) {
            if (deviations.weights().at(i) >= minWeight)
                bins.push_back(Json::array({ i, std::round(deviations.weights().at(i) * digits) / digits }));
        }
        return bins;
    }

    Json rowOf(const RunTimeForecaster::NodeKey& key, const RunTimeForecaster::Node& node)
    {
        return Json::array({ static_cast<int>(key.level), key.queue, key.workspace, key.members, key.accelerators, key.declaredClass, meanJson(node.logWork), meanJson(node.logRatio), meanJson(node.squaredError),
            node.finishedRuns, node.updateCount, deviationsJson(key, node.deviations) });
    }

    Json forecastsJson(const RunTimeForecaster& forecaster)
    {
        std::vector<const std::pair<const RunTimeForecaster::NodeKey, RunTimeForecaster::Node>*> entries;
        for (const auto& entry : forecaster.all())
            entries.push_back(&entry);
        std::sort(entries.begin(), entries.end(), [](const auto* a, const auto* b) { return a->first.level != b->first.level ? a->first.level < b->first.level : a->second.updatedAt > b->second.updatedAt; });
        Json rows = Json::array();
        std::size_t size = 2;
        for (const auto* entry : entries) {
            Json row = rowOf(entry->first, entry->second);
            size += row.dump().size() + 1;
            if (size > maxForecastsSize)
                break;
            rows.push_back(std::move(row));
        }
        return rows;
    }

    bool isValid(const RecentMean& mean)
    {
        constexpr double maxLog = 50;
        constexpr double maxVariance = 1000;
        constexpr double maxSamples = 1e15;
        return std::abs(mean.mean) <= maxLog && mean.variance >= 0 && mean.variance <= maxVariance && mean.samples >= 0 && mean.samples <= maxSamples;
    }

    // Throws Json::exception.
    std::optional<Forecasts> forecastsOf(const Json& rows)
    {
        constexpr double maxWeight = 1e6;
        if (!rows.is_array() || rows.size() > RunTimeForecaster::maxNodes)
            return std::nullopt;
        Forecasts forecasts;
        for (const Json& row : rows) {
            const int level = row.at(0).get<int>();
            if (level < 0 || level > static_cast<int>(RunTimeForecaster::Level::Declared))
                return std::nullopt;
            const RunTimeForecaster::NodeKey key { static_cast<RunTimeForecaster::Level>(level), row.at(1).get<std::string>(), row.at(2).get<std::string>(), row.at(3).get<std::int64_t>(), row.at(4).get<std::int64_t>(), row.at(5).get<std::int64_t>() };
            RunTimeForecaster::Node node;
            node.logWork = meanOf(row.at(6));
            node.logRatio = meanOf(row.at(7));
            node.squaredError = meanOf(row.at(8));
            node.finishedRuns = row.at(9).get<double>();
            node.updateCount = row.at(10).get<double>();
            if (!isValid(node.logWork) || !isValid(node.logRatio) || !isValid(node.squaredError) || node.finishedRuns < 0 || node.updateCount < node.finishedRuns)
                return std::nullopt;
            for (const Json& bin : row.at(11)) {
                const auto index = bin.at(0).get<std::int64_t>();
                const double weight = bin.at(1).get<double>();
                if (index < 0 || index >= static_cast<std::int64_t>(WorkHistogram::binCount) || !(weight >= 0 && weight <= maxWeight))
                    return std::nullopt;
                node.deviations.restore(static_cast<std::size_t>(index), weight);
            }
            node.updatedAt = static_cast<std::int64_t>(rows.size() - forecasts.size()); // Rows of one level are the newest first.
            forecasts.emplace_back(key, node);
        }
        return forecasts;
    }

    void restoreForecasts(const Json& record, RunTimeForecaster& forecaster)
    {
        const auto field = record.find("forecasts");
        if (field == record.end())
            return; // Of an earlier build.
        try {
            for (const auto& [key, node] : forecastsOf(*field).value_or(Forecasts {}))
                forecaster.restore(key, node);
        } catch (const Json::exception&) {
            return; // Damaged, or the format of another version.
        }
    }

} // namespace

std::string encodeEstimates(const RunTimes& runTimes, const WorkerSpeeds& speeds, const RunTimeForecaster& forecaster)
{
    Json queues = Json::object();
    for (const auto& [name, queue] : runTimes.all())
        queues[name] = Json::array({ meanJson(queue.logWork), meanJson(queue.logRatio) });
    Json workers = Json::object();
    for (const auto& [id, estimate] : speeds.all())
        workers[id] = Json::array({ rounded(estimate.logSpeed), rounded(estimate.weight) });
    Json record { { "queues", std::move(queues) }, { "speeds", std::move(workers) }, { "forecasts", forecastsJson(forecaster) } };
    if (speeds.areHeterogeneous())
        record["heterogeneous_speeds"] = heterogeneousJson(speeds.heterogeneous());
    return record.dump();
}

void restoreEstimates(std::string_view record, RunTimes& runTimes, WorkerSpeeds& speeds, RunTimeForecaster& forecaster)
{
    const Json json = Json::parse(record, nullptr, false);
    if (!json.is_object())
        return;
    restoreForecasts(json, forecaster);
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
