#pragma once

// The leases of a failure domain, held for one planner at a time.
//
// Pure: no clock, no I/O, no threads. The runtime feeds it orders, the list of
// workers, answers and time, and carries out the exchanges that it names:
//
//     keeper.advance(now);
//     while (auto ask = keeper.nextAsk(now))
//         exchanges.push(*ask);                  // later: answered() or failed()
//
// Every ask ends in exactly one call of answered() or failed(). An ask that is
// older than its `validUntil` must not be sent but failed. Orders are refused
// whole: Conflict for an epoch that is too low, Overloaded when a limit is
// reached; a planner that hears Overloaded fetches events with no orders first.
// What it does not do: decide what runs where, or remember anything on a disk.

#include "driver/event_log.h"
#include "driver/worker_book.h"

#include <memory>

namespace rattan::driver {

struct SentOp {
    GangId gang; // Job 0: a stray lease.
    std::size_t member { 0 };
    GangOp op;
};

struct WorkerAsk {
    std::string worker;
    std::string address;
    platform::WorkerExchange exchange;
    std::vector<SentOp> sent; // One for each op of the exchange.
    Millis builtAt { 0 };
    Millis validUntil { 0 };
    bool epochMatters { false };
};

class GangKeeper {
public:
    explicit GangKeeper(const KeeperOptions&);

    // From the planner.
    Result<void> take(const std::string& planner, std::uint64_t epoch, std::uint64_t acknowledged,
        const std::vector<GangOrder>&, Millis now);
    std::vector<GangEvent> events() const { return this->log.pending(); }
    std::uint64_t lastEvent() const { return this->log.nextNumber() - 1; }
    Result<Survey> survey(const std::string& planner, std::uint64_t epoch, Millis now);

    // No new gangs from now on; what runs is renewed until another driver has it.
    void drain() { this->draining = true; }

    // From the platform.
    void listWorkers(const std::vector<platform::Instance>&, Millis now);

    // Must be called at least each `scanPeriod`. Returns how long the driver
    // was suspended if it was, else 0.
    Millis advance(Millis now);
    std::optional<WorkerAsk> nextAsk(Millis now);
    void answered(const WorkerAsk&, const platform::WorkerReport&, Millis now);
    void failed(const WorkerAsk&, const Error&, Millis now);

    std::size_t gangCount() const { return this->gangs.size(); }
    std::uint64_t currentEpoch() const { return this->epoch; }
    const Gang* find(GangId) const;

    // Whether the worker's last exchange was answered; true for one never asked.
    bool isReachable(const std::string& worker);

    static constexpr Millis scanPeriod = 100;

private:
    struct Held {
        Gang gang;
        std::uint64_t finishedEvent { 0 };
    };

    Result<void> admitEpoch(const std::string& planner, std::uint64_t epoch, Millis now);
    Result<void> admitOrders(const std::vector<GangOrder>&) const;
    void apply(const GangOrder&, Millis now);
    void startGang(const GangOrder&, Millis now);
    void adoptGang(const GangOrder&, Millis now);
    void stopGang(const GangOrder&, Millis now);
    void releaseOrphan(const GangOrder&, Millis now);
    void hold(Gang, Millis now);
    void pump(GangId, Millis now);
    void forgetAcknowledged(Millis now);
    void sayUnknown(const GangOrder&);
    void refuseEpoch(std::uint64_t, const std::string& worker, Millis now);
    void startReading(Millis now);
    void doubtEpoch(Millis now);
    void proveEpoch(const WorkerAsk&, Millis now);
    void addGangOps(WorkerRecord&, WorkerAsk&, Millis now);
    bool isSweeping(Millis now) const { return this->epoch > 0 || now < this->readingUntil; }
    std::optional<std::size_t> memberAt(const Gang&, const std::string& worker) const;

    KeeperOptions options;
    WorkerBook book;
    EventLog log;
    std::map<GangId, Held> gangs;
    std::deque<GangId> recentOrder;
    std::set<GangId> recent; // Gangs that are gone: a repeated start must not revive one.
    std::string planner;
    std::uint64_t epoch { 0 };
    std::uint64_t refusedEpoch { 0 };
    bool draining { false };
    Millis provenAt { 0 }; // When a worker last accepted the epoch, all workers having been heard.
    Millis readingUntil { 0 };
    Millis lastAdvance { 0 };
    Millis nextTick { 0 };
    Millis nextScan { 0 };
    std::uint64_t tick { 0 };
};

} // namespace rattan::driver
