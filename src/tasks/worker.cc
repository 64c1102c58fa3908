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

bool settlesEarlierAttempts(StartAnswer answer) { return answer == StartAnswer::Started || answer == StartAnswer::OtherIncarnation || answer == StartAnswer::Superseded; }

// The first attempt may still be carried out late, also by a later incarnation. The planner
// guards against that only where it knows of an attempt without an answer, so most answers are
// reported as NoAnswer. It then sends the start again and gets the worker's actual answer.
StartAnswer answerToRepeatedStart(StartAnswer answer)
{
    return answer == StartAnswer::OtherIncarnation || answer == StartAnswer::Deposed ? answer : StartAnswer::NoAnswer;
}

std::string_view nameOf(StartAnswer answer)
{
    constexpr std::array<std::string_view, 11> names { "started", "no_answer", "not_sent", "no_room", "old", "late", "unwell",
        "refused", "no_ticket", "other_incarnation", "deposed" };
    return names.at(static_cast<std::size_t>(answer));
}

} // namespace rattan::tasks
