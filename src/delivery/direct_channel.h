#pragma once

// Sends orders to workers from this instance.
//
//     DirectChannel channel(client, protocol, group, [&] { return election.leads(clock.now()); });
//     channel.send(call, handler);
//
// Starts and stops for one worker go out a few at a time, in the order in which they
// came; polls go out at once. `canSend` is asked just before an order leaves: the machine
// may have stood still since it was decided, and an order of a term that is over could
// reach a worker after those of a planner that took over. Orders are abandoned, without a
// call of their handlers, when the channel is destroyed. On the thread of the client.

#include "delivery/order_queues.h"
#include "delivery/worker_channel.h"
#include "http/async_client.h"

#include <functional>

namespace rattan::delivery {

class DirectChannel final : public WorkerChannel {
public:
    using CanSend = std::function<bool()>;

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
