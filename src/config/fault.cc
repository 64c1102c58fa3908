#include "config/fault.h"

#include <fmt/format.h>

namespace rattan::config {

std::string describe(const Fault& fault)
{
    std::string text;
    if (fault.at.line > 0)
        text = fmt::format("line {}, column {}: ", fault.at.line, fault.at.column);
    if (!fault.path.empty())
        text += fault.path + ": ";
    text += fault.message;
    if (!fault.accepted.empty())
        text += fmt::format(" (accepted: {})", fault.accepted);
    return text;
}

} // namespace rattan::config
