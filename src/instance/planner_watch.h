#pragma once

// Detects a failed planner before its term expires. The planner sends heartbeats to the
// instances that requested them, and an instance that misses several of them considers the
// planner failed. This class only decides; its owner sends and receives the datagrams.
//
//     PlannerWatch watch;
//     watch.plannerChanged({ 7, "10.1.0.7:7000" }, now); // read from the stream of claims
//     for (const WatchMessage& message : watch.step(term, renewalFailed, now)) send(message.peer, message.text);
//     watch.handleDatagram("10.1.0.7:7000", "beat 7", now);
//     if (watch.hasPlannerFailed(now)) ...               // claim immediately
//
// Failure that this prevents: if the planner is killed, cut off or rejected by the store,
// nothing is placed for the 1.25 s after which another instance may claim, while an urgent
// job can afford about 1.5 s. A false detection costs the planner its term and has no other
// effect: workers and the store reject the lower term.
//
// Limits: a planner serves `maxWatchers` watchers and drops those that do not repeat their
// request. An instance without heartbeats waits for the end of the term. Not thread-safe.

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattan::instance {

struct WatchedPlanner {
    std::int64_t term { 0 };
    std::string peer; // IP:PORT for datagrams; empty if unknown, if no instance plans, or if it is this instance.
};

struct WatchMessage {
    std::string peer;
    std::string text;
};

class PlannerWatch {
public:
    // Short compared to the delay that an urgent job can afford.
    static constexpr Millis heartbeatInterval = 100;

    // Four heartbeats. The worst known links lose one datagram in forty.
    static constexpr Millis heartbeatTimeout = 450;

    // Enough that in most network failures one watcher reaches the store; more only add load.
    static constexpr std::size_t maxWatchers = 12;

    // Reports the newest claim. `peer` is empty if this instance holds it.
    void plannerChanged(const WatchedPlanner&, Millis now);

    void handleDatagram(const std::string& peer, const std::string& text, Millis now);

    // Returns the messages to send now. `term` is the term in which this instance plans, or 0 if
    // it does not plan. A planner that failed to renew its claim announces that its term ends.
    std::vector<WatchMessage> step(std::int64_t term, bool renewalFailed, Millis now);

    // True if the planner's heartbeats stopped, or if it announced the end of its term.
    bool hasPlannerFailed(Millis now) const;

private:
    // Watchers repeat their request at this interval, and get heartbeats for this long after it.
    static constexpr Millis watchRequestInterval = 1000;
    static constexpr Millis watcherExpiry = 3500;

    // Heartbeats that must arrive before missing ones count, since the first one may arrive while
    // the network path is still being set up.
    static constexpr int minHeartbeats = 2;

    // If the previous planner held its term for less than this, detection is disabled for the
    // same time. Taking over hundreds of workers takes a second in which heartbeats may be
    // missing. Without the delay, each new planner would be replaced in that state, and no
    // planner would ever begin to plan.
    static constexpr Millis shortTermLimit = 3000;

    WatchedPlanner planner;
    Millis claimedAt { 0 };
    Millis detectionStartsAt { 0 }; // Missing heartbeats are ignored before this time.
    int heartbeatCount { 0 };
    Millis lastHeartbeatAt { 0 };
    bool endReceived { false };
    Millis nextWatchRequestAt { 0 };
    std::map<std::string, Millis> watchers; // Time of the last request, by address.
    Millis nextHeartbeatAt { 0 };
    bool endSent { false };
};

} // namespace rattan::instance
