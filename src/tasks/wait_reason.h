#pragma once

// Why work waits, for the log: what kept a unit from a place in the last round that looked
// at it, and what kept workers out of that round.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rattan::tasks::detail {

enum class WaitReason {
    NotConsidered, // By no round yet.
    InRetryDelay, // Its pause after a failure is not over.
    BehindSibling, // Another unit of its step found no place before it.
    NoAdvice, // It is not known yet where its queue's policy lets it run.
    NoWorkerForIsolation, // No worker is free of all other work.
    AwaitsStops, // Runs that are being stopped make room for it.
    NoRoom,
};

inline constexpr std::array<std::string_view, 7> waitReasonNames { "not looked at", "pauses after a failure", "behind a unit of its step", "no advice", "no worker for itself", "waits for stops", "no room" };

inline std::string_view nameOf(WaitReason reason) { return waitReasonNames.at(static_cast<std::size_t>(reason)); }

enum class WorkerAvailability {
    Available, // It takes work.
    Unlisted,
    Leaving,
    Silent,
    Resting, // Ends there could be acknowledged unread.
    Doubted, // With its failure domain.
    Distrusted, // Runs fail there.
    NotPolled, // Has not answered this planner yet.
};

inline constexpr std::size_t availabilityCount = 8;
inline constexpr std::array<std::string_view, availabilityCount> availabilityNames { "take work", "not listed", "leaving", "silent", "resting", "doubted", "distrusted", "not heard yet" };

inline std::string_view nameOf(WorkerAvailability availability) { return availabilityNames.at(static_cast<std::size_t>(availability)); }

// How many workers there are of each.
struct AvailabilityCounts {
    std::array<std::int64_t, availabilityCount> counts {};

    void add(WorkerAvailability availability) { ++this->counts[static_cast<std::size_t>(availability)]; }
};

// "1059 take work, 41 silent".
std::string textOf(const AvailabilityCounts&);

} // namespace rattan::tasks::detail
