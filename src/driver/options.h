#pragma once

// Settings of rattan-driver.

#include "base/settings.h"
#include "driver/gang_types.h"

namespace rattan::driver {

struct DriverOptions {
    std::string instance;
    std::string domain;
    std::string rpcListen { "127.0.0.1:7002" };
    std::string instances { "127.0.0.1:9001" };
    std::int64_t exchangeThreads { 16 };
    std::int64_t listMs { 1000 };
    std::int64_t drainMs { 5000 };
    std::string logLevel { "info" };
    KeeperOptions keeper;
};

void declareSettings(Settings&, DriverOptions&);

// Times that contradict each other; empty if they fit together.
std::string faultOf(const DriverOptions&);

} // namespace rattan::driver
