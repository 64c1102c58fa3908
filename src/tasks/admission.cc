#include "tasks/admission.h"

#include "base/json.h"

#include <algorithm>
#include <functional>

namespace rattan::tasks {

namespace {

    constexpr std::string_view keyPrefix = "load/";
    constexpr Millis minDrain = 1000;
    constexpr Millis maxRetryDelay = 60000;

} // namespace

std::optional<Millis> forecastDrain(const QueueBacklog& backlog, bool wasExceeded)
{
    // Waiting work beside free resources waits for another reason, such as a label.
    // During an excess, resources of tasks that end together are free until the next round.
    const double minUsedShare = wasExceeded ? 0.5 : 0.9;
    // An excess ends only when the backlog is clearly smaller, so that it doesn't end and begin
    // again with each job.
    constexpr double endShare = 0.9;
    const auto slack = static_cast<double>(backlog.usefulSlack);
    const double end = slack * endShare;
    if (backlog.usedShare < minUsedShare || backlog.waitMillis <= (wasExceeded ? end : slack))
        return std::nullopt;
    return std::max(minDrain, static_cast<Millis>(backlog.waitMillis - end));
}

Millis retryDelayOf(const QueueLoad& load, std::string_view id)
{
    constexpr std::size_t places = 1000;
    const auto place = static_cast<Millis>(std::hash<std::string_view>()(id) % places);
    const Millis drain = std::clamp(load.drain, minDrain, maxRetryDelay / 2);
    return drain + drain * place / static_cast<Millis>(places);
}

std::string loadKeyOf(std::string_view queue) { return std::string(keyPrefix) + std::string(queue); }

std::optional<std::string> queueOfLoadKey(std::string_view key)
{
    if (!key.starts_with(keyPrefix))
        return std::nullopt;
    return std::string(key.substr(keyPrefix.size()));
}

std::string encodeLoad(const QueueLoad& load) { return Json { { "drain", load.drain }, { "at", load.writtenAt }, { "service", load.service } }.dump(); }

std::optional<QueueLoad> decodeLoad(std::string_view value)
{
    const Json json = Json::parse(value, nullptr, false);
    const auto isNumber = [&](const char* name) { return json.contains(name) && json.at(name).is_number_integer(); };
    if (!json.is_object() || !isNumber("drain") || !isNumber("at"))
        return std::nullopt;
    const auto service = json.find("service");
    return QueueLoad { json.at("drain").get<Millis>(), json.at("at").get<Millis>(), service != json.end() && service->is_string() ? service->get<std::string>() : "" };
}

} // namespace rattan::tasks
