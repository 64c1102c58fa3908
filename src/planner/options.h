#pragma once

// Settings of rattan-planner.

#include "base/settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattan::planner {

struct PlannerOptions {
    std::string instance;
    std::string domain;
    std::string rpcListen { "127.0.0.1:7001" };
    std::string rpcAnnounce; // Where peers reach this planner; empty: rpcListen.
    std::string entryAddress; // Of this instance's entry, told to peers.
    std::string driver { "127.0.0.1:7002" };
    std::string log { "127.0.0.1:9000" };
    std::string instances { "127.0.0.1:9001" };
    std::vector<std::string> peers; // Planners to greet first.
    std::int64_t retentionSeconds { 3600 };
    std::int64_t logTimeoutMs { 2000 };
    std::int64_t turnMs { 50 };
    std::int64_t surveyMs { 1000 };
    std::int64_t seed { 1 };
    std::string logLevel { "info" };
};

void declareSettings(Settings&, PlannerOptions&);

} // namespace rattan::planner
