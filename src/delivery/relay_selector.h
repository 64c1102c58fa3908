#pragma once

// Which instance carries the orders to which worker.
//
//     RelaySelector selector({ .cores = 0.5, .megabitsPerSecond = 200 });
//     selector.addOffer({ "10.1.0.9:7000", "sapporo-a", { 0.12, 20 } }, now);
//     selector.setWorkers(locations);                    // whenever the list has changed
//     if (const auto relay = selector.relayFor(worker, now)) ...   // empty: from here
//     selector.markRouteFailed(worker, now);                 // no answer came that way
//     selector.markRelayLost(peer, now);
//
// The load this answers: one planner beside a thousand workers, whose polls and starts
// fill its link and its processor until it cannot renew its term. While it can serve all
// workers itself, nothing is passed on, since a relay makes each start a hop longer.
//
// A relay is chosen by what it has and by where it is: of each failure domain the
// strongest instances, as many as its workers need; workers of a domain without any go
// to those of the others. A worker keeps its relay while that is there (rendezvous
// hashing). A worker that gave no answer through its relay is reached from here for a
// while, and through the relay again after that, since either way may be cut.
// Not thread-safe.

#include "base/clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattan::delivery {

// What a machine has for this work.
struct MachineCapacity {
    double cores { 0 };
    double megabitsPerSecond { 0 }; // A second, of its link.

    // Workers that it can serve while it plans, and while it serves callers.
    double workersAsPlanner() const;
    double workersAsRelay() const;
};

struct RelayOffer {
    std::string peer; // IP:PORT
    std::string domain; // Failure domain.
    MachineCapacity capacity;
};

struct WorkerLocation {
    std::string id;
    std::string domain;
};

class RelaySelector {
public:
    explicit RelaySelector(MachineCapacity plannerCapacity)
        : plannerCapacity(plannerCapacity)
    {
    }

    void addOffer(const RelayOffer&, Millis now);
    void markRelayLost(const std::string& peer, Millis now);
    void setWorkers(std::vector<WorkerLocation>);
    void markRouteFailed(const std::string& worker, Millis now);

    std::optional<std::string> relayFor(const std::string& worker, Millis now);

    // The relays in use.
    std::size_t activeRelayCount() const { return this->activePeers.size(); }

private:
    struct Offer {
        RelayOffer offer;
        Millis receivedAt { 0 };
        Millis avoidedUntil { 0 };
    };

    struct WorkerEntry {
        std::string domain;
        std::optional<std::string> relay; // Empty: from here.
        Millis directUntil { 0 };
    };

    void reassignIfChanged(Millis now);
    void assignRelays(const std::vector<const RelayOffer*>& usable);
    std::vector<const RelayOffer*> usableOffers(Millis now) const;
    static std::optional<std::string> selectByHash(const std::string& worker, const std::vector<const RelayOffer*>&);

    const MachineCapacity plannerCapacity;
    std::map<std::string, Offer> offers; // By peer.
    std::map<std::string, WorkerEntry> workers; // By id.
    std::vector<std::string> candidatePeers; // Peers that could serve, when the choice was made.
    std::vector<std::string> activePeers; // Peers that some worker is served by.
    Millis nextReassignment { 0 }; // Relays are chosen anew then.
    bool needsReassignment { true };
};

} // namespace rattan::delivery
