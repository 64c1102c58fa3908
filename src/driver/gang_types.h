#pragma once

// What the planner asks of the driver and what it is told, as plain data. The
// fields follow src/rpc/rattan.capnp; driver/service.h converts.

#include "base/clock.h"
#include "base/json.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace rattan::driver {

// One attempt at running one job; names the lease at each of its workers.
struct GangId {
    std::uint64_t job { 0 };
    std::uint32_t attempt { 0 };

    bool operator==(const GangId&) const = default;
    bool operator<(const GangId& other) const { return std::tie(this->job, this->attempt) < std::tie(other.job, other.attempt); }
};

// "<job>.<attempt>", for example "41.1".
std::string leaseName(GangId);
std::optional<GangId> parseLeaseName(std::string_view);

// What a gang has at one worker.
struct GangMember {
    std::string worker;
    std::string address;
    std::int64_t accelerators { 0 };
    std::int64_t cores { 0 };
    std::int64_t memoryMb { 0 };
};

// In the order of Order.Kind in the schema.
enum class OrderKind {
    StartGang,
    StopGang,
    CheckpointGang, // Save, then stop.
    ThrottleGang,
    AdoptGang,
    ReleaseOrphan,
};

struct GangOrder {
    OrderKind kind { OrderKind::StartGang };
    GangId id;
    std::vector<GangMember> members;
    Json payload;
    std::string reason;
    std::int64_t sharePercent { 100 };
    std::string key;
    std::string workspace;
    std::string lease; // ReleaseOrphan.
};

// In the order of DriverEvent.Kind in the schema.
enum class GangEventKind {
    Progress,
    Started,
    Finished,
    Failed,
    Stopped,
    Usage,
    EpochRefused,
};

std::string_view nameOf(GangEventKind);

struct GangEvent {
    std::uint64_t number { 0 };
    GangEventKind kind { GangEventKind::Progress };
    GangId id;
    std::string worker;
    // Of a failure: a code (reserve_refused, start_failed, task_failed,
    // member_lost, lease_lapsed), a colon and a text for people.
    std::string reason;
    std::string result;
    std::uint32_t membersReady { 0 };
    std::int64_t usedAccelerators { 0 };
    std::int64_t usedMemoryMb { 0 };
    double progress { 0 };
};

// Times of the protocol with the workers. docs/GANGS.md derives from them how
// long a gang that lost a member may go on.
struct KeeperOptions {
    Millis period { 1000 }; // Between two exchanges with a worker.
    Millis lease { 4000 }; // Lifetime of a renewed lease.
    Millis reply { 500 }; // Longest wait for a worker's answer.
    Millis reserveLimit { 2000 }; // For all members to reserve.
    Millis startLimit { 2000 }; // For all members to start.
    Millis saveLimit { 600000 }; // For all members to checkpoint.
    Millis clockMargin { 200 }; // How far worker clocks drift in a lease.
    Millis usagePeriod { 5000 }; // Between two usage events of a gang.
    Millis forgetLimit { 60000 }; // For the planner to take note of an end.
    std::size_t mostGangs { 32768 };
    std::size_t mostMembers { 4096 }; // Of one gang.
    std::size_t mostEvents { 1024 };
    std::size_t probesAtOnce { 2 }; // Exchanges with silent workers.

    // A reservation outlives the wait for the others, and not by much, so that
    // two half-reserved gangs free each other's resources.
    Millis reservation() const { return this->reserveLimit + this->reply; }

    // A worker that has not accepted our epoch may still take a renewal that an
    // earlier owner sent just before it was refused elsewhere, as late as the
    // end of the lease that it extends. After such a silence nothing runs there.
    Millis foreignSilence() const { return 2 * this->lease + this->reply + this->clockMargin; }
};

} // namespace rattan::driver
