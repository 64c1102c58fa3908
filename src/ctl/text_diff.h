#pragma once

// What differs between two operators' texts, in terms of their meaning: order
// and spelling do not count, and items are matched by their names.

#include "config/configuration.h"

#include <string>
#include <vector>

namespace rattan::ctl {

struct Difference {
    enum class Kind {
        Added,
        Removed,
        Changed,
    };

    Kind kind { Kind::Changed };
    std::string path; // For example "workspaces.guides.guarantees".
    std::string before; // Empty when added.
    std::string after; // Empty when removed.
};

std::string_view nameOf(Difference::Kind);

// Sorted by path.
std::vector<Difference> differencesBetween(const config::Configuration& before, const config::Configuration& after);

// "2 x 16 accelerators, one rack each", joined by " + "; "none" for no shape.
std::string describeShapes(const std::vector<config::GuaranteedShape>&);

// "+ path: after", "- path: before" or "~ path: before -> after".
std::string describe(const Difference&);

} // namespace rattan::ctl
