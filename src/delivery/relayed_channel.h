#pragma once

// Sends orders to workers through relays, and directly to workers that have no relay.
//
//     RelayedChannel channel(term, selector, direct, port, clock);
//     channel.send(call, handler);
//     channel.step(now);                       // at the end of each turn
//     channel.handleAnswers(answers, now);     // received from the port
//     channel.handlePeerLost(peerLost, now);   // received from the port
//     channel.handleArrivalCheck(check, now);  // received from the port
//
// Orders for one relay are sent in batches: starts and stops at the end of the turn in which
// send() was called, polls within `maxPollDelay` or with the next start or stop. Every order
// completes: by its answer, when its relay is lost, or after a timeout within which any relay
// would have reported that the worker did not answer. A timeout takes effect only after the port
// has reported everything that had arrived, since this process may have been suspended. An order
// without an answer may have been executed, or may be executed later, as on any channel. Not
// thread-safe.

#include "delivery/delivery_port.h"
#include "delivery/relay_selector.h"
#include "delivery/worker_channel.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace rattan::delivery {

class RelayedChannel final : public WorkerChannel {
public:
    // A poll waits up to this long, to be sent in one message with other orders.
    static constexpr Millis maxPollDelay = 20;

    // A check of the port without a result is requested again after this time. Orders end without
    // one if the port accepts no request any more, or after this many requests without a result.
    static constexpr Millis arrivalCheckInterval = 500;
    static constexpr int maxUnansweredChecks = 4;

    RelayedChannel(std::int64_t term, RelaySelector&, WorkerChannel& direct, DeliveryPort&, const Clock&);

    void send(const WorkerCall&, Handler) override;
    void handleAnswers(const AnswersReceived&, Millis now);
    void handlePeerLost(const PeerLost&, Millis now);
    void handleArrivalCheck(const ArrivalCheck&, Millis now);
    void step(Millis now);

    // The time at which step() must be called even if no event occurs.
    Millis nextWake() const;

private:
    struct Pending {
        std::string peer;
        WorkerCall call;
        Handler handler;
        Millis deadline { 0 };
    };

    struct OutgoingBatch {
        std::vector<std::uint32_t> ids; // Orders that have not been passed to the port yet.
        Millis sendDeadline { 0 };
    };

    void sendDirect(const WorkerCall&, const Handler&);
    void flush(const std::string& peer, OutgoingBatch&, Millis now);
    void endOverdueOrders(Millis overdueAt, Millis now);
    void complete(std::uint32_t id, const WorkerAnswer&, Millis now);

    const std::int64_t term;
    RelaySelector& selector;
    WorkerChannel& direct;
    DeliveryPort& port;
    const Clock& clock;
    std::map<std::uint32_t, Pending> pending;
    std::set<std::pair<Millis, std::uint32_t>> deadlines; // The time at which each pending order completes without an answer.
    std::map<std::string, OutgoingBatch> outgoing; // By peer.
    Millis nextArrivalCheckAt { 0 }; // When another check may be requested, or 0 if none is in progress.
    int unansweredChecks { 0 }; // Requests since the last result.
    std::uint32_t lastId { 0 };
};

} // namespace rattan::delivery
