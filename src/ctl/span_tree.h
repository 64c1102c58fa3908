#pragma once

// The spans of one trace as an indented tree.

#include "base/json.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattan::ctl {

struct SpanView {
    std::string span;
    std::string parent;
    std::string name;
    std::string program;
    std::int64_t startMs { 0 };
    std::int64_t durationMs { 0 };
    std::vector<std::string> notes; // "key=value"
};

SpanView parseSpan(const Json&);

// A line for each span, children under their parents by start time. A span
// whose parent is not among them, or that stands in a cycle, becomes a root.
// The same span twice is shown once.
std::vector<std::string> treeOf(std::vector<SpanView>);

} // namespace rattan::ctl
