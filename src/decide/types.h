#pragma once

// Words that events, actions and views of the decisions share.

#include "base/clock.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace rattan::decide {

using JobId = std::uint64_t;
using WorkerId = std::uint32_t;
using WorkspaceId = std::uint32_t;
using RackId = std::uint32_t;
using ClassId = std::uint32_t;

// Within what the members of a gang, or the accelerators of a guaranteed shape,
// have to lie. Ordered from the tightest to the widest.
enum class Adjacency {
    Worker,
    Rack,
    Domain,
};

// Ordered: a smaller value goes first.
enum class Urgency {
    Urgent,
    Ordinary,
    Patient,
};

inline constexpr std::size_t urgencyCount = 3;

// Amounts of one worker, or of one member of a gang.
struct Amounts {
    std::int64_t accelerators { 0 };
    std::int64_t cores { 0 };
    std::int64_t memoryMb { 0 };

    bool operator==(const Amounts&) const = default;
};

// `count` pieces of `accelerators` each, every piece within one worker, rack or
// the failure domain of this Decider.
struct GuaranteedShape {
    std::int64_t count { 1 };
    std::int64_t accelerators { 1 };
    Adjacency within { Adjacency::Worker };

    bool operator==(const GuaranteedShape&) const = default;
};

struct WorkspaceRule {
    WorkspaceId workspace { 0 };
    std::vector<GuaranteedShape> guarantees;
    std::int64_t mostAccelerators { 0 }; // Running at once; 0: no limit.
};

// What one member of a gang takes on one worker. A gang with several members on
// a worker has several placements there.
struct Placement {
    WorkerId worker { 0 };
    std::int64_t accelerators { 0 };
    std::int64_t cores { 0 };
    std::int64_t memoryMb { 0 };

    bool operator==(const Placement&) const = default;
};

enum class FailureReason {
    StartFailed, // A worker could not start a member; others may have started.
    ReserveRefused, // A worker refused to reserve; nothing was started.
    MemberLost, // A member died or its worker vanished.
    LeaseLapsed, // Renewals did not get through in time.
    Other,
};

enum class StopReason {
    Cancelled, // By its caller.
    Reclaimed, // A guarantee needs the accelerators.
    Preempted, // More urgent or overdue work needs them.
    Moved, // To free a shape for others, or off a leaving worker.
    Overuse, // Still above what it asked for after being throttled.
    Incomplete, // Found without all its members.
    Unanswered, // An earlier action was not answered in time.
    Unknown, // Found running, but the job is over or never existed.
};

enum class Outcome {
    Done,
    Failed,
    Cancelled,
    Refused, // Can never run here; was never started.
};

// By what right a gang holds its accelerators.
enum class Right {
    Guaranteed, // Within a guaranteed shape of its workspace.
    Borrowed, // Can be evicted in bounded time.
    Firm, // Cannot be evicted; lies outside every guarantee.
};

enum class Policy {
    FirstFit, // Baseline: strictly first come, first fit.
    Backfill, // Baseline: best fit with conservative backfill by declared times.
    Guaranteed, // The policy of rattanrock.
};

std::string_view nameOf(Adjacency);
std::string_view nameOf(Urgency);
std::string_view nameOf(FailureReason);
std::string_view nameOf(StopReason);
std::string_view nameOf(Outcome);
std::string_view nameOf(Right);
std::string_view nameOf(Policy);

} // namespace rattan::decide
