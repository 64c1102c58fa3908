#pragma once

// Reports the traffic of an instance's calls by purpose: as metrics, and as a log line for each
// of the busiest purposes.
//
//     TrafficReport report(metrics);
//     report.publish(client.traffic(), now); // at any interval
//
// Without it, a saturated link looks like a slow network: calls time out, and nothing shows
// which calls use the bandwidth. Not thread-safe.

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
    std::map<std::string_view, http::Traffic> lastLogged; // Totals at the time of the last log lines.
    Millis lastLoggedAt { 0 };
};

} // namespace rattan::instance
