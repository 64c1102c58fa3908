#pragma once

// How much of an instance's memory callers may use. Pure: the same settings give the same limits.
//
//     const CallerLimits limits = callerLimits(settings);
//
// Of the machine's memory, two eighths are for connections, one for bodies, which exist twice for a
// moment, and three for the jobs that are kept. The rest is for the instance's own work. See "What
// callers may use" in docs/PLATFORM.md.

#include "instance/settings.h"

#include <cstddef>
#include <cstdint>

namespace rattan::instance {

struct CallerLimits {
    std::int64_t maxConnections { 400 };
    std::int64_t spareConnections { 50 }; // Of these, kept for new connections.
    std::size_t bodyBudgetBytes { 0 }; // Of all bodies above 8 KB together.
    std::size_t maxJobBytes { 0 }; // Of all jobs together, as the job table counts them.
};

CallerLimits callerLimits(const InstanceSettings&);

} // namespace rattan::instance
