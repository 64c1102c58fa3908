#pragma once

// What the planner and the driver of one instance tell each other, as plain
// data; planner/driver_link.h carries it over Cap'n Proto RPC.

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattan::planner {

enum class OrderKind {
    StartGang,
    StopGang,
    CheckpointGang,
    ThrottleGang,
    AdoptGang,
    ReleaseOrphan,
};

struct OrderMember {
    std::string worker;
    std::string address;
    std::int64_t accelerators { 0 };
    std::int64_t cores { 0 };
    std::int64_t memoryMb { 0 };
};

struct Order {
    OrderKind kind { OrderKind::StartGang };
    std::uint64_t job { 0 };
    std::int64_t attempt { 0 };
    std::vector<OrderMember> members; // StartGang, AdoptGang, ReleaseOrphan.
    std::string payload; // StartGang: JSON for the worker.
    std::string reason;
    std::int64_t sharePercent { 100 }; // ThrottleGang.
    std::string key;
    std::string workspace;
    std::string lease; // ReleaseOrphan.
};

enum class DriverEventKind {
    GangProgress,
    GangStarted,
    GangFinished,
    GangFailed,
    GangStopped,
    GangUsage,
    EpochRefused,
};

struct DriverEvent {
    std::uint64_t number { 0 };
    DriverEventKind kind { DriverEventKind::GangProgress };
    std::uint64_t job { 0 };
    std::int64_t attempt { 0 };
    std::string worker;
    std::string reason;
    std::string result;
    std::int64_t membersReady { 0 };
    std::int64_t usedAccelerators { 0 };
    std::int64_t usedMemoryMb { 0 };
    double progress { 0 };
};

struct SurveyedLease {
    std::string lease;
    std::uint64_t job { 0 };
    std::int64_t attempt { 0 };
    std::string state;
    std::int64_t accelerators { 0 };
    std::int64_t cores { 0 };
    std::int64_t memoryMb { 0 };
    std::string key;
    std::string workspace;
    std::int64_t gangSize { 0 };
};

struct SurveyedWorker {
    std::string worker;
    std::string address;
    std::string rack;
    std::int64_t accelerators { 0 };
    std::int64_t cores { 0 };
    std::int64_t memoryMb { 0 };
    bool leaving { false };
    bool reachable { false };
    std::uint64_t epoch { 0 };
    std::vector<SurveyedLease> leases;
};

struct Survey {
    bool complete { false };
    std::vector<SurveyedWorker> workers;
};

struct DriverAnswer {
    std::string incarnation;
    std::vector<DriverEvent> events;
};

} // namespace rattan::planner
