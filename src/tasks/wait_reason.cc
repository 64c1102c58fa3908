#include "tasks/wait_reason.h"

#include <fmt/format.h>

namespace rattan::tasks {

std::string detail::textOf(const Attendance& attendance)
{
    std::string text;
    for (std::size_t i = 0; i < absences; ++i) {
        if (attendance.counts[i] > 0)
            text += fmt::format("{}{} {}", text.empty() ? "" : ", ", attendance.counts[i], absenceNames[i]);
    }
    return text.empty() ? "no workers" : text;
}

} // namespace rattan::tasks
