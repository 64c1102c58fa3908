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
    return Json { { "queues", std::move(queues) }, { "speeds", std::move(workers) } }.dump();
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
    } catch (const Json::exception&) {
        return; // The format of another version; the entries read so far are valid.
    }
}

} // namespace rattan::tasks
