#pragma once

// What is wrong with an operators' text, and where. A text is refused with all
// of its faults at once, so that it takes one round to mend it.

#include <string>
#include <vector>

namespace rattan::config {

// A place in the text, both counted from 1; zero when the fault has no one place.
struct Position {
    int line { 0 };
    int column { 0 };
};

struct Fault {
    Position at;
    std::string path; // For example "workspaces[2].guarantees[0].accelerators".
    std::string message; // What is wrong.
    std::string accepted; // What would be taken instead; may be empty.
};

using Faults = std::vector<Fault>;

// More faults than this are counted in a last one and not listed.
inline constexpr std::size_t maxFaults = 100;

// "line 12, column 5: workspaces[2].name: ... (accepted: ...)"
std::string describe(const Fault&);

} // namespace rattan::config
