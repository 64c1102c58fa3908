#pragma once

// A worker as the driver sees it: leases under epochs, one exchange at a time.
//
//     WorkerExchange ask { .holder = incarnation, .epoch = 7 };
//     ask.ops.push_back({ .kind = WorkerOpKind::Renew, .lease = "41.1", .ttl = 6000 });
//     const Attempt<WorkerReport> report = attempt([&] { return workers.exchange(address, ask, timeout); });
//
// One exchange carries every operation for a worker and brings back all of its
// leases, so the cost of control grows with the workers and not with the tasks.
// A worker that has seen a higher epoch refuses with Conflict. HttpWorkers is
// the adapter for docs/STANDINS.md. Thread-safe.

#include "base/clock.h"
#include "base/json.h"
#include "http/client.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattan::platform {

enum class WorkerOpKind {
    Reserve,
    Start,
    Renew,
    Checkpoint,
    Throttle,
    Stop,
};

std::string_view nameOf(WorkerOpKind);

struct WorkerOp {
    WorkerOpKind kind { WorkerOpKind::Renew };
    std::string lease;
    std::int64_t accelerators { 0 }; // Reserve.
    std::int64_t cores { 0 }; // Reserve.
    std::int64_t memoryMb { 0 }; // Reserve.
    Millis ttl { 0 }; // Reserve, Start, Renew.
    Json note; // Reserve.
    Json payload; // Start.
    std::int64_t sharePercent { 100 }; // Throttle.
};

struct WorkerExchange {
    std::string holder;
    std::uint64_t epoch { 0 };
    std::vector<WorkerOp> ops;
};

enum class LeaseState {
    Reserved,
    Running,
    Checkpointing,
    Done,
    Failed,
    Lapsed,
};

std::string_view nameOf(LeaseState);

struct WorkerOpResult {
    bool ok { false };
    std::string code; // As in docs/STANDINS.md; empty when ok.
    std::string message;
};

struct WorkerLease {
    std::string lease;
    std::uint64_t epoch { 0 };
    LeaseState state { LeaseState::Reserved };
    std::int64_t accelerators { 0 };
    std::int64_t cores { 0 };
    std::int64_t memoryMb { 0 };
    Millis remaining { 0 };
    Json note;
    double progress { 0 };
    double savedProgress { 0 };
    std::string result;
    std::string failure;
    std::int64_t usedAccelerators { 0 };
    std::int64_t usedMemoryMb { 0 };
};

struct WorkerReport {
    std::string worker;
    std::string incarnation;
    std::string rack;
    std::string domain;
    std::uint64_t epoch { 0 };
    bool leaving { false };
    std::int64_t accelerators { 0 };
    std::int64_t cores { 0 };
    std::int64_t memoryMb { 0 };
    std::vector<WorkerOpResult> results; // One for each op, in order.
    std::vector<WorkerLease> leases;
};

class Workers {
public:
    virtual ~Workers() = default;

    virtual Result<WorkerReport> exchange(const std::string& address, const WorkerExchange&,
        std::chrono::milliseconds timeout)
        = 0;
};

// Each worker's address belongs to one of a few clients, so that its connection
// is found again: with one client for all, any of its handles may be idle, and
// every handle would come to keep, and search, a connection to every worker.
class HttpWorkers final : public Workers {
public:
    Result<WorkerReport> exchange(const std::string& address, const WorkerExchange&,
        std::chrono::milliseconds timeout) override;

private:
    static constexpr std::size_t clientCount = 16;
    static constexpr http::ClientOptions clientOptions { .maxIdleHandles = 4, .maxConnectionsPerHandle = 512 };

    struct WorkerClient {
        http::Client client { clientOptions };
    };

    std::array<WorkerClient, clientCount> clients;
};

// The wire forms, shared with the stand-in and fuzzed.
Json toJson(const WorkerExchange&);
Result<WorkerExchange> parseExchange(const Json&);
Json toJson(const WorkerReport&);
Result<WorkerReport> parseReport(const Json&, const std::string& peer);

} // namespace rattan::platform
