#pragma once

// Why work waits, for the log: why the last round that considered a unit did not place it, and
// why workers were not available to that round.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rattan::tasks::detail {

enum class WaitReason {
    NotConsidered, // No round has considered the unit yet.
    InRetryDelay, // The delay after a failure has not passed.
    BehindSibling, // An earlier unit of the same step could not be placed.
    NoAdvice, // The workers that the queue's policy allows are not known yet.
    NoWorkerForIsolation, // The unit must run alone, and every worker has other runs.
    AwaitsStops, // Runs that are being stopped will free its resources.
    NotEnoughResources, // No workers have enough free resources.
};

inline constexpr std::array<std::string_view, 7> waitReasonNames { "not looked at", "pauses after a failure", "behind a unit of its step", "no advice", "no worker for itself", "waits for stops", "no room" };

inline std::string_view nameOf(WaitReason reason) { return waitReasonNames.at(static_cast<std::size_t>(reason)); }

// Whether a worker can be given work, and if not, why.
enum class WorkerAvailability {
    Available,
    Unlisted,
    Leaving,
    Silent, // The last call had no answer.
    EndsUnread, // It has more ends than one report lists. Each start would delay the acknowledgement that makes it list the others.
    Resting, // A late poll could still acknowledge ends there that were never read.
    Doubted, // Its whole failure domain may be cut off.
    Quarantined, // Two runs in a row failed there or one stalled.
    Evacuated, // Operators have asked to start nothing in its failure domain, or their requests are unknown.
    NotPolled, // It has not answered a poll of this term yet.
};

inline constexpr std::size_t availabilityCount = 10;
inline constexpr std::array<std::string_view, availabilityCount> availabilityNames { "take work", "not listed", "leaving", "silent", "ends not read", "resting", "doubted", "distrusted", "evacuated", "not heard yet" };

inline std::string_view nameOf(WorkerAvailability availability) { return availabilityNames.at(static_cast<std::size_t>(availability)); }

// The number of workers of each availability.
struct AvailabilityCounts {
    std::array<std::int64_t, availabilityCount> counts {};

    void add(WorkerAvailability availability) { ++this->counts[static_cast<std::size_t>(availability)]; }
};

// Formats the counts that are not zero, such as "1059 take work, 41 silent".
std::string textOf(const AvailabilityCounts&);

} // namespace rattan::tasks::detail
