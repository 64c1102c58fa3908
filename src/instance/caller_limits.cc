#include "instance/caller_limits.h"

#include <algorithm>

namespace rattan::instance {

namespace {

    constexpr std::int64_t bytesPerMegabyte = 1 << 20;
    constexpr std::int64_t connectionBytes = 64 << 10; // Of its thread, buffer and small body.
    constexpr std::int64_t minConnections = 16;
    constexpr std::int64_t maxConnections = 400;
    constexpr std::int64_t shares = 8; // Of the machine's memory.
    constexpr std::int64_t connectionShares = 2;
    constexpr std::int64_t bodyShares = 1;
    constexpr std::int64_t jobShares = 3;
    constexpr std::int64_t descriptorShare = 4; // The others are for the store, workers, other instances and files.
    constexpr std::int64_t spareShare = 8;

} // namespace

CallerLimits callerLimits(const InstanceSettings& settings)
{
    const std::int64_t memory = settings.memoryMegabytes * bytesPerMegabyte;
    CallerLimits limits;
    limits.maxConnections = std::clamp(std::min(memory * connectionShares / shares / connectionBytes, settings.maxDescriptors / descriptorShare), minConnections, maxConnections);
    limits.spareConnections = limits.maxConnections / spareShare;
    limits.bodyBudgetBytes = static_cast<std::size_t>(memory * bodyShares / shares);
    limits.maxJobBytes = static_cast<std::size_t>(memory * jobShares / shares);
    return limits;
}

} // namespace rattan::instance
