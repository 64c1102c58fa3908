#include "tasks/step_duration.h"

#include <algorithm>

namespace rattan::tasks {

Millis countedDuration(const StepDuration& duration)
{
    constexpr double minCores = 0.01;
    constexpr double maxSlowdown = 4; // By other processes on the machine.
    const double cores = std::clamp(duration.cores, minCores, 1.0); // One thread does the work.
    const auto explained = static_cast<Millis>(static_cast<double>(duration.processorTime) * maxSlowdown / cores);
    return std::min(duration.elapsed, std::max(explained, maxUnexplainedDuration));
}

} // namespace rattan::tasks
