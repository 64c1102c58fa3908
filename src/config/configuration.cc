#include "config/configuration.h"

#include <array>

namespace rattan::config {

std::string_view nameOf(Urgency urgency)
{
    static constexpr std::array<std::string_view, 3> names { "urgent", "ordinary", "patient" };
    return names[static_cast<std::size_t>(urgency)];
}

std::string_view nameOf(Adjacency adjacency)
{
    static constexpr std::array<std::string_view, 3> names { "worker", "rack", "domain" };
    return names[static_cast<std::size_t>(adjacency)];
}

} // namespace rattan::config
