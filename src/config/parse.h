#pragma once

// From the operators' YAML to a checked Text.
//
//     const ParseOutcome outcome = parse(yaml);
//     if (!outcome.configuration) {
//         for (const Fault& fault : outcome.faults)
//             fmt::print("{}\n", describe(fault));
//     }
//
// Either there is a text and no fault, or no text and every fault. The same
// bytes give the same outcome on every instance: nothing but the argument is
// looked at, and the search behind the guarantee check counts steps, not time.
//
// A hostile text costs little: it is bounded in size, depth, nodes and list
// lengths, and anchors and aliases are refused. docs/CONFIG.md lists every key.

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
