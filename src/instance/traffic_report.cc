#include "instance/traffic_report.h"

#include "instance/events.h"

#include <algorithm>
#include <string>
#include <vector>

namespace rattan::instance {

namespace {

    constexpr Millis logInterval = 5000;
    constexpr std::size_t maxPurposesLogged = 4;

    struct PurposeTraffic {
        std::string_view purpose;
        http::Traffic traffic;

        std::uint64_t bytes() const { return this->traffic.bytesSent + this->traffic.bytesReceived; }
    };

    http::Traffic difference(const http::Traffic& now, const http::Traffic& before)
    {
        return { now.calls - before.calls, now.connections - before.connections, now.bytesSent - before.bytesSent, now.bytesReceived - before.bytesReceived };
    }

} // namespace

void TrafficReport::publish(const std::map<std::string_view, http::Traffic>& traffic, Millis now)
{
    for (const auto& [purpose, total] : traffic) {
        const std::string label(purpose);
        this->metrics.set("rattan_calls", { { "purpose", label } }, static_cast<double>(total.calls));
        this->metrics.set("rattan_call_connections", { { "purpose", label } }, static_cast<double>(total.connections));
        this->metrics.set("rattan_call_bytes", { { "purpose", label }, { "way", "sent" } }, static_cast<double>(total.bytesSent));
        this->metrics.set("rattan_call_bytes", { { "purpose", label }, { "way", "received" } }, static_cast<double>(total.bytesReceived));
    }
    if (this->lastLoggedAt == 0)
        this->lastLoggedAt = now;
    if (now < this->lastLoggedAt + logInterval)
        return;
    this->log(traffic, this->lastLoggedAt, now);
    this->lastLoggedAt = now;
}

void TrafficReport::log(const std::map<std::string_view, http::Traffic>& traffic, Millis since, Millis now)
{
    std::vector<PurposeTraffic> trafficByPurpose;
    for (const auto& [purpose, total] : traffic) {
        const http::Traffic sinceLastLog = difference(total, this->lastLogged[purpose]);
        if (sinceLastLog.calls > 0)
            trafficByPurpose.push_back({ purpose, sinceLastLog });
    }
    this->lastLogged = traffic;
    std::sort(trafficByPurpose.begin(), trafficByPurpose.end(), [](const PurposeTraffic& a, const PurposeTraffic& b) { return a.bytes() > b.bytes(); });
    trafficByPurpose.resize(std::min(trafficByPurpose.size(), maxPurposesLogged));
    for (const PurposeTraffic& entry : trafficByPurpose)
        logEvent(events::traffic, { { "purpose", entry.purpose }, { "over_ms", now - since }, { "calls", entry.traffic.calls }, { "connections", entry.traffic.connections }, { "bytes_sent", entry.traffic.bytesSent }, { "bytes_received", entry.traffic.bytesReceived } });
}

} // namespace rattan::instance
