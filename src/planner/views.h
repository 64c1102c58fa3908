#pragma once

// What the planner reports, as plain data; planner/view_messages.h puts it into
// the RPC messages that carry the meaning of each field.

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattan::planner {

struct JobReport {
    std::string key;
    std::string workspace;
    std::string jobClass;
    std::string state;
    std::string reason;
    std::int64_t members { 0 };
    std::int64_t membersReady { 0 };
    std::int64_t accelerators { 0 };
    std::int64_t attempt { 0 };
    Millis submittedWall { 0 };
    Millis endedWall { 0 };
    std::vector<std::string> workers;
    std::string waitsFor;
    std::string result;
};

struct WorkspaceReport {
    std::string workspace;
    std::int64_t guaranteed { 0 };
    std::int64_t used { 0 };
    std::int64_t borrowed { 0 };
    std::int64_t queuedUrgent { 0 };
    std::int64_t queuedOrdinary { 0 };
    std::int64_t queuedPatient { 0 };
    std::int64_t running { 0 };
};

struct RackReport {
    std::string rack;
    std::int64_t workers { 0 };
    std::int64_t accelerators { 0 };
    std::int64_t free { 0 };
    std::int64_t quarantined { 0 };
};

struct DomainReport {
    std::string domain;
    std::uint64_t textVersion { 0 };
    std::uint64_t epoch { 0 };
    bool deciding { false };
    double fragmentation { 0 };
    std::vector<WorkspaceReport> workspaces;
    std::vector<RackReport> racks;
    std::vector<std::string> quarantined;
};

} // namespace rattan::planner
