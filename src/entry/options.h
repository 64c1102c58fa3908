#pragma once

// The settings of rattan-entry. declareSettings names each one once; flags,
// environment variables and docs/SETTINGS.md all come from there.

#include "base/settings.h"

#include <cstdint>
#include <string>

namespace rattan::entry {

struct EntryOptions {
    std::string instance;
    std::string domain;
    std::string listen { "127.0.0.1:0" };
    std::string rpcListen { "127.0.0.1:0" };
    std::string planner;
    std::string log;
    std::string instances;
    std::string operatorTokenSha256;
    std::string otlp;
    std::string logLevel { "info" };
    std::int64_t bodyLimit { 2097152 };
    std::int64_t bodyMemory { 67108864 };
    std::int64_t connectionLimit { 512 };
    std::int64_t waitingLimit { 256 };
    std::int64_t deadlineLimitMs { 60000 };
    std::int64_t claimWindowMs { 600000 };
    std::int64_t claimsKept { 50000 };
    std::int64_t ticketsKept { 20000 };
    std::int64_t ticketTtlMs { 600000 };
    std::int64_t retryPercent { 10 };
    std::int64_t stopNoticeMs { 500 };
    std::int64_t stopGraceMs { 10000 };
};

void declareSettings(Settings&, EntryOptions&);

} // namespace rattan::entry
