#pragma once

// The faults of a rejected configuration and their positions. All faults are
// reported together, so that operators can correct them in one pass.

#include <string>
#include <vector>

namespace rattan::config {

// A position in the YAML text, counted from 1; both are 0 when a fault has no single position.
struct Position {
    int line { 0 };
    int column { 0 };
};

struct Fault {
    Position at;
    std::string path; // For example "workspaces[2].guarantees[0].accelerators".
    std::string message; // What is wrong.
    std::string accepted; // The values that are valid here; may be empty.
};

using Faults = std::vector<Fault>;

// The number of faults listed in full; one more fault states how many were omitted.
inline constexpr std::size_t maxFaults = 100;

// Formats a fault, for example "line 12, column 5: workspaces[2].name: ... (accepted: ...)".
std::string describe(const Fault&);

} // namespace rattan::config
