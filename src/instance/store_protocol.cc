#include "instance/store_protocol.h"

#include <array>

namespace rattan::instance {

std::string_view nameOf(Stream stream)
{
    constexpr std::array<std::string_view, 5> names { "configuration", "workers", "jobs", "claims", "plans" };
    return names.at(static_cast<std::size_t>(stream));
}

std::string_view nameOf(AppendStatus status)
{
    constexpr std::array<std::string_view, 6> names { "appended", "elsewhere", "fenced", "wrong_number", "not_done", "unknown" };
    return names.at(static_cast<std::size_t>(status));
}

} // namespace rattan::instance
