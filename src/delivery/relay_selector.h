#pragma once

// Selects the relays, that is, the instances that forward the planner's orders, and assigns
// each worker to one of them.
//
//     RelaySelector selector({ .cores = 0.5, .megabitsPerSecond = 200 });
//     selector.addOffer({ "10.1.0.9:7000", "sapporo-a", { 0.12, 20 } }, now);
//     selector.setWorkers(locations);                  // after each change of the list
//     if (const auto relay = selector.relayFor(worker, now)) ...   // empty: send directly
//     selector.markRouteFailed(worker, now);           // no answer on the route in use
//     selector.markRelayLost(peer, now);
//
// Relays are needed where one planner serves a thousand workers, whose polls and starts
// saturate its link and its processor until it cannot renew its term. A planner that can serve
// all workers itself uses no relays, since a relay adds a hop to each start.
//
// Relays are selected by capacity and failure domain: in each domain the instances with the
// highest capacity, as many as its workers need. Workers of a domain without relays are
// assigned to those of other domains. A worker keeps its relay as long as that is available
// (rendezvous hashing). A worker that does not answer through its relay is reached directly
// for a while and then through the relay again, since either route may be interrupted.
// Not thread-safe.

#include "base/clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattan::delivery {

// The resources that an instance has for sending orders to workers.
struct MachineCapacity {
    double cores { 0 };
    double megabitsPerSecond { 0 }; // Of its network link.

    // The number of workers that it can serve as the planner, and as a relay that also serves
    // callers.
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

    // The number of relays that have workers assigned.
    std::size_t activeRelayCount() const { return this->activePeers.size(); }

private:
    struct Offer {
        RelayOffer offer;
        Millis receivedAt { 0 };
        Millis avoidedUntil { 0 };
    };

    struct WorkerEntry {
        std::string domain;
        std::optional<std::string> relay; // Empty if orders are sent directly.
        Millis directUntil { 0 };
    };

    void reassignIfChanged(Millis now);
    void assignRelays(const std::vector<const RelayOffer*>& usable);
    std::vector<const RelayOffer*> usableOffers(Millis now) const;
    static std::optional<std::string> selectByHash(const std::string& worker, const std::vector<const RelayOffer*>&);

    const MachineCapacity plannerCapacity;
    std::map<std::string, Offer> offers; // By peer.
    std::map<std::string, WorkerEntry> workers; // By id.
    std::vector<std::string> candidatePeers; // Peers that could be selected at the last assignment.
    std::vector<std::string> activePeers; // Peers that have workers assigned.
    Millis nextReassignment { 0 }; // The time of the next check for changes.
    bool needsReassignment { true };
};

} // namespace rattan::delivery
