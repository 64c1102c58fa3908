#pragma once

// What is known of one entry instance, as InstanceState in src/rpc/rattan.capnp.

#include "base/clock.h"

#include <cstdint>
#include <string>

namespace rattan::peers {

struct InstanceReport {
    std::string instance;
    std::string incarnation; // A new one each time the process starts.
    std::string domain;
    std::string plannerAddress;
    std::string entryAddress;
    std::uint64_t configVersion { 0 };
    bool leaving { false };
    bool driverReady { false };
    bool activePlanner { false };
    std::uint64_t epoch { 0 };
    Millis age { 0 }; // Since the instance itself said this.
};

} // namespace rattan::peers
