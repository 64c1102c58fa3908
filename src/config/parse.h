#pragma once

// Parses the operators' YAML into a validated Configuration.
//
//     const ParseOutcome outcome = parse(yaml);
//     if (!outcome.configuration) {
//         for (const Fault& fault : outcome.faults)
//             fmt::print("{}\n", describe(fault));
//     }
//
// The outcome has either a configuration and no faults, or no configuration and
// all faults, of which maxFaults are listed in full. Input that is not one YAML
// document within the limits of size, depth and nodes has only its first fault.
//
// The same bytes give the same outcome on every instance: parsing depends on
// nothing but its argument, and the search that checks the guarantees is limited
// by a number of steps, not by time.
//
// The cost of hostile input is bounded: size, depth, number of nodes and lengths
// of lists are limited, and anchors and aliases are rejected. docs/CONFIG.md lists
// every key.

#include "config/configuration.h"
#include "config/fault.h"

#include <optional>
#include <string>

namespace rattan::config {

struct ParseOutcome {
    std::optional<Configuration> configuration;
    Faults faults;
};

inline constexpr std::size_t maxConfigurationBytes = 1 << 20;

ParseOutcome parse(const std::string& yaml);

} // namespace rattan::config
