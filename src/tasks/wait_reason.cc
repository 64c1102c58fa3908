#include "tasks/wait_reason.h"

#include <fmt/format.h>

namespace rattan::tasks {

std::string detail::textOf(const AvailabilityCounts& workerCounts)
{
    std::string text;
    for (std::size_t i = 0; i < availabilityCount; ++i) {
        if (workerCounts.counts[i] > 0)
            text += fmt::format("{}{} {}", text.empty() ? "" : ", ", workerCounts.counts[i], availabilityNames[i]);
    }
    return text.empty() ? "no workers" : text;
}

} // namespace rattan::tasks
