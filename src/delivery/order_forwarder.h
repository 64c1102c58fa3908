#pragma once

// Carries out the orders of another instance, which plans.
//
//     OrderCarrier carrier(jobs, port, clock, makeChannel);
//     carrier.arrived(orders, now);            // what the port tells
//     carrier.ended(session);
//     carrier.claimed(term);                   // the newest term that was read of
//     carrier.step(now);                       // in each turn
//
// It decides nothing about orders: it sends each at most once, in the order of their
// arrival, and tells what the worker answered. It sends none of a term that is known to be
// over, none that lay on the way for longer than `longestOnTheWay`, and no start whose job
// is not read here within `longestForText`; these are told as not sent. Not thread-safe.

#include "delivery/delivery_port.h"
#include "delivery/worker_channel.h"
#include "tasks/job_table.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace rattan::delivery {

class OrderCarrier {
public:
    // By time of day, which may differ between instances.
    static constexpr Millis longestOnTheWay = 3000;
    static constexpr Millis longestForText = 300;

    // Answers that nobody is in a hurry for wait this long for others.
    static constexpr Millis longestHeld = 20;

    // A channel for the orders of one session, which are abandoned with it.
    using MakeChannel = std::function<std::unique_ptr<WorkerChannel>(std::uint64_t session)>;

    OrderCarrier(const tasks::JobTable&, DeliveryPort&, const Clock&, MakeChannel);

    void arrived(const OrdersArrived&, Millis now);
    void ended(const SessionEnded&);
    void claimed(std::int64_t term);
    void step(Millis now);

    // Whether somebody plans through this instance now.
    bool isUsed() const { return !this->sessions.empty(); }

    // When step() wants to be called although nothing happens.
    Millis nextWake() const;

private:
    struct Waiting {
        NumberedCall numbered;
        Millis until { 0 };
    };

    struct SessionState {
        std::int64_t term { 0 };
        std::unique_ptr<WorkerChannel> channel;
        std::deque<Waiting> untilRead; // Starts of jobs that are not read here yet.
        std::vector<NumberedAnswer> answers;
        Millis answerBy { 0 };
    };

    void carry(std::uint64_t session, const NumberedCall&, Millis now);
    void sendOn(std::uint64_t session, const NumberedCall&);
    void tell(std::uint64_t session, NumberedAnswer);
    bool giveText(tasks::StartOrder&) const;

    const tasks::JobTable& jobs;
    DeliveryPort& port;
    const Clock& clock;
    const MakeChannel makeChannel;
    std::map<std::uint64_t, SessionState> sessions;
    std::int64_t newestTerm { 0 };
};

} // namespace rattan::delivery
