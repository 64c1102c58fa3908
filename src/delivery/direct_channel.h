#pragma once

// Sends orders to workers directly from this instance.
//
//     DirectChannel channel(client, protocol, group, [&](const WorkerCall&) { return election.leads(clock.now()); });
//     channel.send(call, handler);
//
// Starts and stops for one worker are sent in the order of the calls, a few at a time; polls
// are sent at once. `canSend` is called just before a start or stop is sent: the process may
// have been paused since the order was decided, and an order of a term that has ended could
// reach a worker after the orders of a planner that took over, or start a task in a failure
// domain that is being evacuated. Destroying the channel abandons
// its orders without calling their handlers. To be used on the thread of the client.

#include "delivery/order_queues.h"
#include "delivery/worker_channel.h"
#include "http/async_client.h"

#include <functional>

namespace rattan::delivery {

class DirectChannel final : public WorkerChannel {
public:
    using CanSend = std::function<bool(const WorkerCall&)>;

    DirectChannel(http::AsyncClient&, const WorkerProtocol&, int group, CanSend);
    ~DirectChannel() override;
    DirectChannel(const DirectChannel&) = delete;
    DirectChannel& operator=(const DirectChannel&) = delete;

    void send(const WorkerCall&, Handler) override;

private:
    void sendOrder(const WorkerCall&, const Handler&);
    void sendPoll(const WorkerCall&, const Handler&);

    http::AsyncClient& client;
    const WorkerProtocol& protocol;
    const int group;
    const CanSend canSend;
    OrderQueues queues;
};

} // namespace rattan::delivery
