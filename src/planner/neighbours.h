#pragma once

// What the planner knows of the other instances and of the configuration in
// force. Any thread may call it.

#include "config/ledger.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattan::planner {

struct InstanceReport {
    std::string instance;
    std::string incarnation;
    std::string domain;
    std::string plannerAddress;
    std::string entryAddress;
    std::uint64_t configVersion { 0 };
    bool leaving { false };
    bool driverReady { false };
    bool activePlanner { false };
    std::uint64_t epoch { 0 };
    Millis age { 0 };
};

class Neighbours {
public:
    virtual ~Neighbours() = default;

    virtual config::Version textInForce() const = 0;

    // RPC address of the planner that decides for this domain; empty if unknown.
    virtual std::string activePlanner() const = 0;
    virtual bool ownIsActive() const = 0;

    virtual InstanceReport own() const = 0;
    virtual std::vector<InstanceReport> known() const = 0;
    virtual void heard(const InstanceReport& from, const std::vector<InstanceReport>& known) = 0;
};

} // namespace rattan::planner
