#pragma once

// Decides whether the load balancer should send new connections to this instance, by what the
// instance can do for a caller. Pure logic: no clock, I/O or threads.
//
//     Readiness readiness;
//     readiness.peerAnswered("east-b", false, now);     // a peer does not reach the store either
//     readiness.step({ .isLoaded = true, .reachesStore = false, .hasCurrentConfiguration = true }, now);
//     if (!readiness.isReady()) ...                     // answer the balancer's check with an error
//
// What happens in each case:
//   starting, stopping         Leaves at once.
//   cut off alone or with its  Leaves as soon as the store counts as unreachable, since instances
//   domain, or rejected by     elsewhere can serve its callers.
//   the store
//   store away for all         Stays: its callers could only be sent to instances that can't serve
//                              them either. Shown by an answer of a peer in another domain.
//   store reachable again      Returns at once. An instance that left several times in a short time
//                              returns only after the store was reachable for a while, which
//                              doubles with each time, so that a flapping link keeps it out.
//   overloaded                 Stays: each queue is admitted by itself, and all instances decide alike.
//
// A peer that refuses a request for another reason than the store, such as an overload, counts as
// one that does not reach it. This instance then stays although it could leave, and its callers
// get that peer's refusal.

#include "base/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace rattan::instance {

enum class ReadinessState {
    Starting,
    Stopping,
    Ready,
    StoreUnreachable, // Instances elsewhere may reach it.
    StoreAway, // Instances of other domains do not reach it either.
    Returning, // The store is reachable again, but has not been for long enough.
    ConfigurationOutdated, // API keys can't be checked.
};

std::string_view nameOf(ReadinessState);

class Readiness {
public:
    struct Condition {
        bool isLoaded { false }; // Configuration and jobs have been read.
        bool isStopping { false };
        bool reachesStore { false };
        bool hasCurrentConfiguration { false };
    };

    explicit Readiness(std::string ownDomain)
        : ownDomain(std::move(ownDomain))
    {
    }

    // Reports the answer of another instance to a forwarded request: its failure domain, and whether
    // the answer shows that it reaches the store.
    void peerAnswered(const std::string& domain, bool reachesStore, Millis now);

    // Returns whether the state changed.
    bool step(const Condition&, Millis now);

    ReadinessState state() const { return this->current; }
    bool isReady() const { return this->current == ReadinessState::Ready || this->current == ReadinessState::StoreAway; }

private:
    ReadinessState decide(const Condition&, Millis now);
    bool isStoreAwayElsewhere(Millis now) const;
    Millis returnDelay(Millis now) const;

    // How long an answer of a peer counts. A caller's attempts are about this far apart, so an
    // instance with callers gets answers more often.
    static constexpr Millis peerAnswerValidity = 3000;

    // A link that is lost again within this time is flapping.
    static constexpr Millis flapWindow = 20000;
    static constexpr Millis firstReturnDelay = 1000;
    static constexpr Millis maxReturnDelay = 8000;

    struct PeerAnswer {
        bool reachesStore { false };
        Millis at { 0 };
    };

    const std::string ownDomain;
    ReadinessState current { ReadinessState::Starting };
    std::map<std::string, PeerAnswer> peerAnswers; // The last one by failure domain, without the own one.
    Millis reachableSince { -1 }; // Negative while the store is unreachable.
    Millis lostAt { 0 }; // When the store last became unreachable.
    int leaves { 0 }; // Because of the store, each within `flapWindow` of the loss before it.
};

} // namespace rattan::instance
