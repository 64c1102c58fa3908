#pragma once

// Which instance carries the orders to which worker.
//
//     RelayRoster roster({ .cores = 0.5, .megabits = 200 });
//     roster.offered({ "10.1.0.9:7000", "sapporo-a", { 0.12, 20 } }, now);
//     roster.setWorkers(places);                       // whenever the list has changed
//     if (const auto relay = roster.routeOf(worker, now)) ...   // empty: from here
//     roster.routeFailed(worker, now);                 // no answer came that way
//     roster.relayLost(peer, now);
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
struct Strength {
    double cores { 0 };
    double megabits { 0 }; // A second, of its link.

    // Workers that it can serve while it plans, and while it serves callers.
    double asPlanner() const;
    double asRelay() const;
};

struct RelayOffer {
    std::string peer; // IP:PORT
    std::string domain; // Failure domain.
    Strength strength;
};

struct WorkerPlace {
    std::string id;
    std::string domain;
};

class RelayRoster {
public:
    explicit RelayRoster(Strength own)
        : own(own)
    {
    }

    void offered(const RelayOffer&, Millis now);
    void relayLost(const std::string& peer, Millis now);
    void setWorkers(std::vector<WorkerPlace>);
    void routeFailed(const std::string& worker, Millis now);

    std::optional<std::string> routeOf(const std::string& worker, Millis now);

    // The relays in use.
    std::size_t relays() const { return this->chosen.size(); }

private:
    struct Offer {
        RelayOffer offer;
        Millis heardAt { 0 };
        Millis avoidedUntil { 0 };
    };

    struct WorkerRoute {
        std::string domain;
        std::optional<std::string> relay; // Empty: from here.
        Millis directUntil { 0 };
    };

    void chooseIfChanged(Millis now);
    void choose(const std::vector<const RelayOffer*>& usable);
    std::vector<const RelayOffer*> usable(Millis now) const;
    static std::optional<std::string> hashed(const std::string& worker, const std::vector<const RelayOffer*>&);

    const Strength own;
    std::map<std::string, Offer> offers; // By peer.
    std::map<std::string, WorkerRoute> workers; // By id.
    std::vector<std::string> candidates; // Peers that could serve, when the choice was made.
    std::vector<std::string> chosen; // Peers that some worker is served by.
    Millis chooseAt { 0 }; // Chosen anew then.
    bool isStale { true };
};

} // namespace rattan::delivery
