#pragma once

// Every flag of rattanctl. Which command takes which is in ctl/commands.cc.

#include "base/clock.h"
#include "base/settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattan::ctl {

struct Options {
    // Of every command.
    std::vector<std::string> entries { "127.0.0.1:8080" };
    std::string token;
    std::string colour { "auto" };
    std::int64_t timeoutMs { 15000 };
    bool json { false };

    // Of some.
    std::int64_t amends { -1 }; // -1: the version in force.
    std::string author;
    std::string key;
    std::string ticket;
    std::string body;
    std::int64_t deadlineMs { 0 }; // 0: the operation's own.
    std::string jobClass;
    std::int64_t members { 1 };
    std::int64_t accelerators { 1 };
    std::int64_t cores { 1 };
    std::int64_t memoryMb { 1024 };
    std::string adjacent { "domain" };
    std::int64_t runMs { 60000 };
    std::string payload;
    std::int64_t count { 1 };
    std::int64_t limit { 100 };
    std::int64_t intervalMs { 1000 };
    std::int64_t forMs { 0 }; // 0: no end.
    std::string logs; // Files, separated by commas; empty: ask an entry.
};

// The flags of every command, then those of one group of commands.
void declareCommonSettings(Settings&, Options&);
void declarePublishSettings(Settings&, Options&);
void declareJobSettings(Settings&, Options&);
void declareRequestSettings(Settings&, Options&);
void declareTicketSettings(Settings&, Options&);
void declareListSettings(Settings&, Options&);
void declareWatchSettings(Settings&, Options&);
void declareExplainSettings(Settings&, Options&);

// All of them; docs/SETTINGS.md is held against this.
void declareSettings(Settings&, Options&);

} // namespace rattan::ctl
