#pragma once

// Which other instance is asked when this one cannot serve for want of the store.
//
//     RelayPeers peers("10.1.0.7:8287");
//     peers.planned("10.2.0.9:8287");             // it holds, or held, the newest claim
//     if (const auto peer = peers.choose(now)) ...
//     peers.failed(*peer, now);                   // it could not be reached
//
// The load this answers: the store turns a third of the instances away and serves the
// others. An instance that plans has renewed its claim within the last second, so it
// surely reached the store then; those that planned before it come next. Not
// thread-safe.

#include "base/clock.h"

#include <deque>
#include <optional>
#include <string>

namespace rattan::instance {

class ForwardingPeers {
public:
    explicit ForwardingPeers(std::string ownAddress)
        : ownAddress(std::move(ownAddress))
    {
    }

    void plannerSeen(const std::string& address);

    // The instance that planned last, of those that can be reached; never this one.
    std::optional<std::string> choose(Millis now) const;

    void markUnreachable(const std::string& address, Millis now);
    void markReachable(const std::string& address);

private:
    // Planners change a few times an hour, so three say enough; with more, a request
    // would be offered to many dead ones in a row.
    static constexpr std::size_t maxPeers = 3;

    // A peer out of reach is not asked again for this long: cuts last seconds, and each
    // try costs a caller the time of a connection attempt.
    static constexpr Millis peerRetryDelay = 2000;

    struct Peer {
        std::string address;
        Millis avoidedUntil { 0 };
    };

    const std::string ownAddress;
    std::deque<Peer> peers; // The newest first.
};

} // namespace rattan::instance
