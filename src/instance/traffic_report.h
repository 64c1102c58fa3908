#pragma once

// Tells what an instance's calls move, by purpose: as metrics, and as a log line for
// each of the busiest purposes.
//
//     TrafficReport report(metrics);
//     report.publish(client.traffic(), now);        // as often as one likes
//
// Without it a machine whose link is full looks like a slow network: calls time out,
// and nothing says which ones fill it. Not thread-safe.

#include "base/metrics.h"
#include "http/async_client.h"

#include <map>
#include <string_view>

namespace rattan::instance {

class TrafficReport {
public:
    explicit TrafficReport(Metrics& metrics)
        : metrics(metrics)
    {
    }

    void publish(const std::map<std::string_view, http::Traffic>&, Millis now);

private:
    void log(const std::map<std::string_view, http::Traffic>&, Millis since, Millis now);

    Metrics& metrics;
    std::map<std::string_view, http::Traffic> lastLogged; // As of the last line.
    Millis lastLoggedAt { 0 };
};

} // namespace rattan::instance
