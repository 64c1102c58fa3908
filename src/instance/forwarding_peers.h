#pragma once

// Chooses the instance to which requests are forwarded while this one cannot reach the store.
//
//     ForwardingPeers peers("10.1.0.7:8287");
//     peers.plannerSeen("10.2.0.9:8287"); // holds, or held, the newest claim
//     if (const auto peer = peers.choose(now)) ...
//     peers.markUnreachable(*peer, now);
//
// Designed for a store that rejects a third of the instances and serves the others. The
// planning instance renewed its claim within the last second, so it reached the store then.
// Previous planners are the next choice. Not thread-safe.

#include "base/clock.h"

#include <deque>
#include <optional>
#include <set>
#include <string>

namespace rattan::instance {

class ForwardingPeers {
public:
    explicit ForwardingPeers(std::string ownAddress)
        : ownAddress(std::move(ownAddress))
    {
    }

    void plannerSeen(const std::string& address);

    // The reachable instance that planned most recently, or nothing. Never this instance, and none
    // of `asked`.
    std::optional<std::string> choose(Millis now, const std::set<std::string>& asked = {}) const;

    void markUnreachable(const std::string& address, Millis now);
    void markReachable(const std::string& address);

private:
    // Planners change a few times an hour, so three are enough. With more, a request could be
    // sent to many unreachable ones in a row.
    static constexpr std::size_t maxPeers = 3;

    // An unreachable peer is avoided for this long. Cuts last seconds, and each try delays a
    // caller by a connection attempt.
    static constexpr Millis peerRetryDelay = 2000;

    struct Peer {
        std::string address;
        Millis avoidedUntil { 0 };
    };

    const std::string ownAddress;
    std::deque<Peer> peers; // Newest planner first.
};

} // namespace rattan::instance
