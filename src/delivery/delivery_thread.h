#pragma once

// Exchanges orders and answers between instances by Cap'n Proto RPC, on a thread of its own.
//
//     DeliveryThread delivery("10.1.0.7:7000", [&] { client.wake(); });
//     if (auto error = attemptVoid([&] { return delivery.start(); })) ...
//     delivery.send({ .peer = "10.2.0.9:7000", .term = 7, .calls = ... });
//     while (auto event = delivery.next()) ...             // after each wake, and in each turn
//     delivery.stop();
//
// The first batch for a peer and term opens a session. The session ends with PeerLost if the
// peer cannot be reached, closes the connection, or does not acknowledge a batch within half
// a second; the next batch opens a new session. The methods are to be called from one thread,
// which never waits for the network. `wake` is called on the thread of the DeliveryThread.

#include "base/bounded_queue.h"
#include "base/error.h"
#include "delivery/delivery_port.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <variant>

namespace kj {
class Timer;
}

namespace rattan::delivery {

class DeliveryThread final : public DeliveryPort {
public:
    // Timeouts are measured with the timer, or with that of the thread's event loop if it is null.
    // The timer must outlive the thread and is used on it only.
    DeliveryThread(std::string address, std::function<void()> wake, kj::Timer* timer = nullptr);
    ~DeliveryThread() override;
    DeliveryThread(const DeliveryThread&) = delete;
    DeliveryThread& operator=(const DeliveryThread&) = delete;

    // Fails with Unavailable if the address cannot be bound; nothing is sent or received then.
    Result<void> start();
    void stop();

    bool send(OrderBatch) override;
    bool answer(AnswerBatch) override;
    bool checkArrivals(ArrivalCheck) override;
    void closeOtherTerms(std::int64_t term) override;

    std::optional<DeliveryEvent> next();

    // True if the thread has ended without a call of stop(); nothing is accepted then.
    bool hasFailed() const { return this->failed; }

    // The address that is listened on; port 0 is replaced by the port that the system assigned.
    const std::string& address() const { return this->listenAddress; }

private:
    struct EventLoop;

    struct CloseOtherTerms {
        std::int64_t term { 0 };
    };

    using Command = std::variant<OrderBatch, AnswerBatch, ArrivalCheck, CloseOtherTerms>;

    bool push(Command);
    void run(const std::function<void(unsigned port, std::string problem)>& started);

    std::string listenAddress;
    std::function<void()> wakeOwner;
    kj::Timer* const timer;
    BoundedQueue<Command> commands;
    BoundedQueue<DeliveryEvent> events;
    int wakeFd { -1 }; // An eventfd that wakes the thread.
    std::atomic<bool> stopping { false };
    std::atomic<bool> failed { false };
    std::thread thread;
};

} // namespace rattan::delivery
