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
    NotLookedAt, // By no round yet.
    NotDue, // Its pause after a failure is not over.
    BehindSibling, // Another unit of its step found no place before it.
    NoAdvice, // It is not known yet where its queue's policy lets it run.
    NoIsolation, // No worker is free of all other work.
    RoomPromised, // Runs that are being stopped make room for it.
    NoRoom,
};

inline constexpr std::array<std::string_view, 7> waitReasonNames { "not looked at", "pauses after a failure", "behind a unit of its step", "no advice", "no worker for itself", "waits for stops", "no room" };

inline std::string_view nameOf(WaitReason reason) { return waitReasonNames.at(static_cast<std::size_t>(reason)); }

enum class Absence {
    None, // It takes work.
    Unlisted,
    Leaving,
    Silent,
    Resting, // Ends there could be acknowledged unread.
    Doubted, // With its failure domain.
    Distrusted, // Runs fail there.
    Unknown, // Has not answered this planner yet.
};

inline constexpr std::size_t absences = 8;
inline constexpr std::array<std::string_view, absences> absenceNames { "take work", "not listed", "leaving", "silent", "resting", "doubted", "distrusted", "not heard yet" };

inline std::string_view nameOf(Absence absence) { return absenceNames.at(static_cast<std::size_t>(absence)); }

// How many workers there are of each.
struct Attendance {
    std::array<std::int64_t, absences> counts {};

    void add(Absence absence) { ++this->counts[static_cast<std::size_t>(absence)]; }
};

// "1059 take work, 41 silent".
std::string textOf(const Attendance&);

} // namespace rattan::tasks::detail
