#include "instance/caller_protocol.h"

#include <array>

namespace rattan::instance {

std::string_view nameOf(Outcome outcome)
{
    constexpr std::array<std::string_view, 12> names { "accepted", "state", "cancelled", "pending", "no_such_queue", "no_such_job",
        "unknown_key", "malformed", "too_large", "no_such_method", "not_now", "unknown" };
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace rattan::instance
