#pragma once

// Notices that the planner is gone before its term runs out: the planner sends a
// heartbeat to whoever asked for it, and whoever misses a few takes it as gone. Decides
// only; datagrams are carried by the caller.
//
//     PlannerWatch watch;
//     watch.claimed({ 7, "10.1.0.7:7000" }, now);           // read of the log of claims
//     for (const WatchMessage& message : watch.step(leads, now)) send(message.peer, message.text);
//     watch.received("10.1.0.7:7000", "beat 7", now);
//     if (watch.plannerGone(now)) ...                        // claim at once
//
// What goes wrong without it: where the planner is killed, cut off or turned away by
// the store, nothing is placed for the 1.25 s after which its claim may be followed; an
// urgent job has about 1.5 s to spare. A planner that is taken as gone and is not loses
// its term to the one that follows and nothing else: workers and the store refuse the
// lower term, whoever was too early.
//
// Limits: a planner serves `mostWatchers`, and forgets those that do not ask again; an
// instance that gets no heartbeat waits for the term as if there were none. Not
// thread-safe.

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattan::instance {

struct WatchedPlanner {
    std::int64_t term { 0 };
    std::string peer; // IP:PORT where it takes datagrams; empty: unknown, or nobody plans.
};

struct WatchMessage {
    std::string peer;
    std::string text;
};

class PlannerWatch {
public:
    // Short against what an urgent job has to spare.
    static constexpr Millis heartbeatInterval = 100;

    // Four heartbeats; one datagram in forty is lost on the worst links that we know of.
    static constexpr Millis heartbeatTimeout = 450;

    // Enough that one of them reaches the store in most cuts; more only cost.
    static constexpr std::size_t maxWatchers = 12;

    // The newest claim; of this instance itself, peer is empty.
    void plannerChanged(const WatchedPlanner&, Millis now);

    void received(const std::string& peer, const std::string& text, Millis now);

    // What to send now. `term` is the one that this instance plans in, 0 if it does not.
    // A planner that failed to renew its claim is about to lose it, and says so.
    std::vector<WatchMessage> step(std::int64_t term, bool renewalFailed, Millis now);

    // The planner has sent heartbeats and no more, or has said that it gives up.
    bool hasPlannerFailed(Millis now) const;

private:
    // Watchers ask this often, and are served for this long after they asked.
    static constexpr Millis watchRequestInterval = 1000;
    static constexpr Millis watcherExpiry = 3500;

    // Heartbeats before silence means anything: the first may come while the path is
    // being set up.
    static constexpr int minHeartbeats = 2;

    // A planner that follows one that led for less than this is let alone for as long:
    // taking over beside hundreds of workers takes a second in which heartbeats may fail
    // to come, and one that is taken as gone meanwhile would be followed by the next in
    // the same state, so that nobody ever gets to plan.
    static constexpr Millis shortTermLimit = 3000;

    WatchedPlanner planner;
    Millis claimedAt { 0 };
    Millis detectionStartsAt { 0 }; // Before then silence says nothing.
    int heartbeatCount { 0 };
    Millis lastHeartbeatAt { 0 };
    bool endReceived { false };
    Millis nextWatchRequestAt { 0 };
    std::map<std::string, Millis> watchers; // And when they asked last.
    Millis nextHeartbeatAt { 0 };
    bool endSent { false };
};

} // namespace rattan::instance
