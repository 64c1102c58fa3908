#include "tasks/worker.h"

#include <array>

namespace rattan::tasks {

std::string_view nameOf(RunEnd end)
{
    constexpr std::array<std::string_view, 6> names { "done", "failed", "stopped", "lapsed", "broken", "alone" };
    return names.at(static_cast<std::size_t>(end));
}

std::string_view nameOf(WorkerFault fault)
{
    constexpr std::array<std::string_view, 4> names { "no_answer", "not_sent", "other_incarnation", "deposed" };
    return names.at(static_cast<std::size_t>(fault));
}

bool settlesEarlierTries(StartAnswer answer) { return answer == StartAnswer::Started || answer == StartAnswer::OtherIncarnation || answer == StartAnswer::Old; }

std::string_view nameOf(StartAnswer answer)
{
    constexpr std::array<std::string_view, 11> names { "started", "no_answer", "not_sent", "no_room", "old", "late", "unwell",
        "refused", "no_ticket", "other_incarnation", "deposed" };
    return names.at(static_cast<std::size_t>(answer));
}

} // namespace rattan::tasks
