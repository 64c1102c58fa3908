#pragma once

// Sends orders to workers through other instances, and from here where none serves them.
//
//     RelayedChannel channel(term, selector, direct, port, clock);
//     channel.send(call, handler);
//     channel.step(now);                       // at the end of each turn
//     channel.handleAnswers(answers, now);           // what the port tells
//     channel.handlePeerLost(peerLost, now);
//
// Orders for one relay go out together: starts and stops at the end of the turn in which
// they were sent, polls within `maxPollDelay` or with the next of those. Every order ends:
// by its answer, when its relay is lost, or after a time in which any relay would have told
// that the worker gave none. Such an order may have been carried out, or may be later, as
// with any order without an answer. Not thread-safe.

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
    // A poll waits this long for others to share a message with.
    static constexpr Millis maxPollDelay = 20;

    RelayedChannel(std::int64_t term, RelaySelector&, WorkerChannel& direct, DeliveryPort&, const Clock&);

    void send(const WorkerCall&, Handler) override;
    void handleAnswers(const AnswersReceived&, Millis now);
    void handlePeerLost(const PeerLost&, Millis now);
    void step(Millis now);

    // When step() wants to be called although nothing happens.
    Millis nextWake() const;

private:
    struct Pending {
        std::string peer;
        WorkerCall call;
        Handler handler;
        Millis deadline { 0 };
    };

    struct OutgoingBatch {
        std::vector<std::uint32_t> ids; // Not handed to the port yet.
        Millis sendDeadline { 0 };
    };

    void sendDirect(const WorkerCall&, const Handler&);
    void flush(const std::string& peer, OutgoingBatch&, Millis now);
    void complete(std::uint32_t id, const WorkerAnswer&, Millis now);

    const std::int64_t term;
    RelaySelector& selector;
    WorkerChannel& direct;
    DeliveryPort& port;
    const Clock& clock;
    std::map<std::uint32_t, Pending> pending;
    std::set<std::pair<Millis, std::uint32_t>> deadlines; // When each pending order ends without an answer.
    std::map<std::string, OutgoingBatch> outgoing; // By peer.
    std::uint32_t lastId { 0 };
};

} // namespace rattan::delivery
