#include "instance/traffic_report.h"

#include "instance/events.h"

#include <algorithm>
#include <string>
#include <vector>

namespace rattan::instance {

namespace {

    constexpr Millis logEvery = 5000;
    constexpr std::size_t mostPurposesLogged = 4;

    struct Moved {
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
    for (const auto& [purpose, sum] : traffic) {
        const std::string label(purpose);
        this->metrics.set("rattan_calls", { { "purpose", label } }, static_cast<double>(sum.calls));
        this->metrics.set("rattan_call_connections", { { "purpose", label } }, static_cast<double>(sum.connections));
        this->metrics.set("rattan_call_bytes", { { "purpose", label }, { "way", "sent" } }, static_cast<double>(sum.bytesSent));
        this->metrics.set("rattan_call_bytes", { { "purpose", label }, { "way", "received" } }, static_cast<double>(sum.bytesReceived));
    }
    if (this->loggedAt == 0)
        this->loggedAt = now;
    if (now < this->loggedAt + logEvery)
        return;
    this->log(traffic, this->loggedAt, now);
    this->loggedAt = now;
}

void TrafficReport::log(const std::map<std::string_view, http::Traffic>& traffic, Millis since, Millis now)
{
    std::vector<Moved> moved;
    for (const auto& [purpose, sum] : traffic) {
        const http::Traffic fresh = difference(sum, this->logged[purpose]);
        if (fresh.calls > 0)
            moved.push_back({ purpose, fresh });
    }
    this->logged = traffic;
    std::sort(moved.begin(), moved.end(), [](const Moved& a, const Moved& b) { return a.bytes() > b.bytes(); });
    moved.resize(std::min(moved.size(), mostPurposesLogged));
    for (const Moved& row : moved)
        logEvent(events::traffic, { { "purpose", row.purpose }, { "over_ms", now - since }, { "calls", row.traffic.calls }, { "connections", row.traffic.connections }, { "bytes_sent", row.traffic.bytesSent }, { "bytes_received", row.traffic.bytesReceived } });
}

} // namespace rattan::instance
