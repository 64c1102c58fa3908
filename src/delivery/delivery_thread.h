#pragma once

// Carries orders and answers between instances by Cap'n Proto RPC, on a thread of its own.
//
//     DeliveryThread delivery("10.1.0.7:7000", [&] { client.wake(); });
//     if (auto error = attemptVoid([&] { return delivery.start(); })) ...
//     delivery.send({ .peer = "10.2.0.9:7000", .term = 7, .calls = ... });
//     while (auto event = delivery.next()) ...             // after each wake, and in each turn
//     delivery.stop();
//
// Sessions are opened by the first batch for a peer and term, and end with PeerLost when
// the peer cannot be reached, closes, or does not take a batch within half a second; the
// next batch opens another. All other methods are for one other thread, which never waits.

#include "base/bounded_queue.h"
#include "base/error.h"
#include "delivery/delivery_port.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <variant>

namespace rattan::delivery {

class DeliveryThread final : public DeliveryPort {
public:
    DeliveryThread(std::string address, std::function<void()> wake);
    ~DeliveryThread() override;
    DeliveryThread(const DeliveryThread&) = delete;
    DeliveryThread& operator=(const DeliveryThread&) = delete;

    // Unavailable when the address cannot be taken; nothing is carried then.
    Result<void> start();
    void stop();

    bool send(OrderBatch) override;
    bool answer(AnswerBatch) override;
    void keepOnly(std::int64_t term) override;

    std::optional<DeliveryEvent> next();

    // Whether the thread has ended although nobody stopped it; nothing is taken then.
    bool hasFailed() const { return this->failed; }

    // With the port that was chosen for port 0.
    const std::string& address() const { return this->listenAddress; }

private:
    struct Loop;

    struct KeepOnly {
        std::int64_t term { 0 };
    };

    using Command = std::variant<OrderBatch, AnswerBatch, KeepOnly>;

    bool push(Command);
    void run(const std::function<void(unsigned port, std::string problem)>& started);

    std::string listenAddress;
    std::function<void()> wakeOther;
    BoundedQueue<Command> commands;
    BoundedQueue<DeliveryEvent> events;
    int waker { -1 }; // An eventfd that ends the thread's wait.
    std::atomic<bool> stopping { false };
    std::atomic<bool> failed { false };
    std::thread thread;
};

} // namespace rattan::delivery
