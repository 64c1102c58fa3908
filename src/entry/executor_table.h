#pragma once

// The executors of this failure domain as one entry sees them, and the choice
// among them.
//
//     table.update(list, now);
//     if (const auto id = table.choose("booking", tried, now, random)) {
//         table.begin(*id);
//         ...                                     // forward the request
//         table.finish(*id, ForwardFate::Answered, latency, now);
//     }
//
// Entries share no state. What keeps their sum within an executor's slots is
// that each of E live entries of the domain uses at most ceil(slots / E) of
// them, so together they use at most slots + E - 1; the rest is answered 429 by
// the executor and tried elsewhere. Of two random candidates the one with the
// smaller product of requests in flight and smoothed latency is taken.
//
// An executor that fails several times in a row is ejected and gets probes
// only; at most half of a service's executors are ejected at once. Pure: time
// and randomness are arguments. Not thread-safe.

#include "base/clock.h"
#include "platform/executor.h"
#include "platform/instance_list.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rattan::entry {

struct ExecutorState {
    platform::Instance instance;
    std::int64_t inFlight { 0 };
    double latencyMs { 20 }; // Smoothed.
    int failuresInRow { 0 };
    Millis backoffUntil { 0 }; // After a refusal.
    bool ejected { false };
    Millis probeAt { 0 }; // While ejected.
    Millis ejectedFor { 0 };
};

// What is known of one service as a whole.
struct ServiceLoad {
    std::int64_t executors { 0 }; // That take new work.
    std::int64_t share { 0 }; // Slots this entry may use of them.
    double latencyMs { 0 }; // Mean of the smoothed latencies.
};

struct Probe {
    std::string id;
    std::string address;
};

class ExecutorTable {
public:
    static constexpr int failuresToEject = 3;
    static constexpr Millis firstEjection = 1000;
    static constexpr Millis longestEjection = 30000;
    static constexpr Millis refusalBackoff = 50;

    explicit ExecutorTable(std::string domain);

    // Takes a new list; executors that are gone or leaving get nothing new.
    void update(const std::vector<platform::Instance>&, Millis now);

    std::optional<std::string> choose(const std::string& service, const std::set<std::string>& excluded, Millis now,
        std::mt19937_64& random) const;

    void begin(const std::string& id);

    // Returns true if this made the executor ejected.
    bool finish(const std::string& id, platform::ForwardFate, Millis latency, Millis now);

    // Ejected executors whose time for a probe has come.
    std::vector<Probe> probes(Millis now) const;
    void probed(const std::string& id, bool healthy, Millis now);

    ServiceLoad load(const std::string& service) const;
    const ExecutorState* find(const std::string& id) const;
    std::int64_t liveEntries() const { return this->entries; }

private:
    std::int64_t shareOf(const ExecutorState&) const;
    bool mayEject(const std::string& service) const;

    std::string domain;
    std::int64_t entries { 1 };
    std::map<std::string, ExecutorState> executors; // By id.
};

} // namespace rattan::entry
