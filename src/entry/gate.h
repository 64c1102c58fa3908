#pragma once

// Admission: a request gets a slot at an executor, waits for one, or is refused
// at once.
//
//     Attempt<Slot> slot = attempt([&] { return gate.acquire({ "booking", Urgency::Ordinary, deadline, tried }); });
//     ...
//     gate.release(*slot, fate, latency);
//
// The number of waiting requests is bounded: patient ones may fill half of the
// places, ordinary ones three quarters, urgent ones all, and one that finds no
// place takes that of the youngest less urgent one, which is then refused. A
// request whose expected wait takes more than half of the time it has is refused
// too, with the time after which asking again makes sense; a queue full of requests that are
// too old when their turn comes would spend all slots on nothing. The most
// urgent waits least, but one free slot in sixteen goes to the least urgent, so
// that patient requests still progress. Thread-safe; acquire blocks.

#include "base/clock.h"
#include "base/error.h"
#include "config/configuration.h"
#include "entry/executor_table.h"
#include "entry/rate_meter.h"

#include <array>
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rattan::entry {

struct SlotRequest {
    std::string service;
    config::Urgency urgency { config::Urgency::Ordinary };
    Millis deadline { 0 }; // On the gate's clock.
    std::set<std::string> excluded; // Executors already tried.
};

struct Slot {
    std::string executor;
    std::string address;
};

class Gate {
public:
    static constexpr std::uint64_t leastUrgentEvery = 16;

    Gate(std::string domain, std::size_t waitingLimit, const Clock&);

    // Overloaded or Unavailable, at once or after half of the time at the latest;
    // in each case nothing was dispatched.
    Result<Slot> acquire(const SlotRequest&);
    void release(const Slot&, platform::ForwardFate, Millis latency);

    void update(const std::vector<platform::Instance>&);
    std::vector<Probe> probes() const;
    void probed(const std::string& executor, bool healthy);

    std::size_t waiting() const;

    // Whether the instance list has ever been read.
    bool listed() const;
    ServiceLoad load(const std::string& service) const;

private:
    struct Waiter {
        SlotRequest request;
        std::condition_variable changed;
        std::optional<Slot> slot;
        bool refused { false };
    };
    using Waiters = std::list<Waiter>;

    std::optional<Slot> take(const SlotRequest&);
    void serveWaiters();
    bool serveOne(bool leastUrgentFirst);
    std::optional<Error> admit(const SlotRequest&);
    bool displaceFor(config::Urgency);
    Millis expectedWait(const SlotRequest&) const;
    double rateLeftFor(const SlotRequest&) const;
    double capacityOf(const std::string& service) const; // Requests a second.
    std::size_t countWaiting(const std::string& service, config::Urgency least, config::Urgency most) const;
    Error overloaded(const SlotRequest&, const std::string& why) const;

    const std::size_t waitingLimit;
    const Clock& clock;
    mutable std::mutex mutex;
    ExecutorTable table;
    Waiters waiters; // In order of arrival.
    std::mt19937_64 random;
    std::uint64_t served { 0 };
    bool listRead { false };

    // Slots given to each urgency, by service; services come from the list.
    std::map<std::string, std::array<RateMeter, 3>> given;
};

} // namespace rattan::entry
