#pragma once

// Executes the orders of another instance that plans: sends them to workers and returns the
// workers' answers.
//
//     OrderForwarder forwarder(jobs, port, clock, createChannel);
//     forwarder.handleOrders(orders, now);         // received from the port
//     forwarder.handleSessionEnded(session);       // received from the port
//     forwarder.handleNewTerm(term);               // the newest term that this instance has read
//     forwarder.step(now);                         // in each turn
//
// It makes no decisions about orders: it sends each at most once, in the order of receipt, and
// returns the worker's answer. Only a start whose job record has not been read here yet is
// overtaken by later orders. Orders that were in transit for longer than `maxTransitTime`, and
// starts whose job record is not read within `maxJobTextWait`, are not sent and are answered as
// such. Orders of a term that is known to have ended are not sent either: step() ends the
// sessions of that term without further answers. Not thread-safe.

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
    // Measured by wall-clock time, which may differ between instances.
    static constexpr Millis maxTransitTime = 3000;

    // Measured from the receipt of the start.
    static constexpr Millis maxJobTextWait = 300;

    // Answers that are not urgent wait up to this long, to be sent together with others.
    static constexpr Millis maxAnswerDelay = 20;

    // Creates the channel for the orders of one session. Destroying the channel abandons them.
    using CreateChannel = std::function<std::unique_ptr<WorkerChannel>(std::uint64_t session)>;

    OrderForwarder(const tasks::JobTable&, DeliveryPort&, const Clock&, CreateChannel);

    void handleOrders(const OrdersReceived&, Millis now);
    void handleSessionEnded(const SessionEnded&);
    void handleNewTerm(std::int64_t term);
    void step(Millis now);

    // Whether another instance has a session open here.
    bool hasSessions() const { return !this->sessions.empty(); }

    // The time at which step() must be called even if no event occurs.
    Millis nextWake() const;

private:
    struct WaitingStart {
        NumberedCall numbered;
        Millis deadline { 0 };
    };

    struct SessionState {
        std::int64_t term { 0 };
        std::unique_ptr<WorkerChannel> channel;
        std::deque<WaitingStart> waitingForText; // Starts of jobs whose records have not been read here yet.
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
