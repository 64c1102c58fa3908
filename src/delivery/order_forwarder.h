#pragma once

// Carries out the orders of another instance, which plans.
//
//     OrderForwarder forwarder(jobs, port, clock, createChannel);
//     forwarder.handleOrders(orders, now);            // what the port tells
//     forwarder.handleSessionEnded(session);
//     forwarder.handleNewTerm(term);                   // the newest term that was read of
//     forwarder.step(now);                       // in each turn
//
// It decides nothing about orders: it sends each at most once, in the order of their
// arrival, and tells what the worker answered. It sends none of a term that is known to be
// over, none that lay on the way for longer than `maxTransitTime`, and no start whose job
// is not read here within `maxJobTextWait`; these are told as not sent. Not thread-safe.

#include "delivery/delivery_port.h"
#include "delivery/worker_channel.h"
#include "tasks/job_table.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace rattan::delivery {

class OrderForwarder {
public:
    // By time of day, which may differ between instances.
    static constexpr Millis maxTransitTime = 3000;
    static constexpr Millis maxJobTextWait = 300;

    // Answers that nobody is in a hurry for wait this long for others.
    static constexpr Millis maxAnswerDelay = 20;

    // A channel for the orders of one session, which are abandoned with it.
    using CreateChannel = std::function<std::unique_ptr<WorkerChannel>(std::uint64_t session)>;

    OrderForwarder(const tasks::JobTable&, DeliveryPort&, const Clock&, CreateChannel);

    void handleOrders(const OrdersReceived&, Millis now);
    void handleSessionEnded(const SessionEnded&);
    void handleNewTerm(std::int64_t term);
    void step(Millis now);

    // Whether somebody plans through this instance now.
    bool hasSessions() const { return !this->sessions.empty(); }

    // When step() wants to be called although nothing happens.
    Millis nextWake() const;

private:
    struct WaitingStart {
        NumberedCall numbered;
        Millis deadline { 0 };
    };

    struct SessionState {
        std::int64_t term { 0 };
        std::unique_ptr<WorkerChannel> channel;
        std::deque<WaitingStart> waitingForText; // Starts of jobs that are not read here yet.
        std::vector<NumberedAnswer> answers;
        Millis answerDeadline { 0 };
    };

    void forward(std::uint64_t session, const NumberedCall&, Millis now);
    void sendToWorker(std::uint64_t session, const NumberedCall&);
    void queueAnswer(std::uint64_t session, NumberedAnswer);
    bool attachJobText(tasks::StartOrder&) const;

    const tasks::JobTable& jobs;
    DeliveryPort& port;
    const Clock& clock;
    const CreateChannel createChannel;
    std::map<std::uint64_t, SessionState> sessions;
    std::int64_t newestTerm { 0 };
};

} // namespace rattan::delivery
