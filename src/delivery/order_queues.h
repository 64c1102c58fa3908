#pragma once

// Limits the number of orders in flight to each worker, so that ten starts for one worker
// reuse its open connections one after another instead of opening ten. A worker that does not
// answer delays only its own queue.

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace rattan::delivery {

class OrderQueues {
public:
    // Sends the order. complete() must be called when the order is answered or is not to be sent.
    using SendFunction = std::function<void()>;

    explicit OrderQueues(std::size_t maxInFlight)
        : maxInFlight(maxInFlight)
    {
    }

    void add(const std::string& worker, SendFunction sendOrder)
    {
        Queue& queue = this->queues[worker];
        queue.waiting.push_back(std::move(sendOrder));
        this->sendWaiting(queue);
    }

    void complete(const std::string& worker)
    {
        Queue& queue = this->queues[worker];
        --queue.inFlight;
        this->sendWaiting(queue);
    }

private:
    struct Queue {
        std::size_t inFlight { 0 };
        std::deque<SendFunction> waiting;
    };

    void sendWaiting(Queue& queue)
    {
        while (queue.inFlight < this->maxInFlight && !queue.waiting.empty()) {
            const SendFunction sendOrder = std::move(queue.waiting.front());
            queue.waiting.pop_front();
            ++queue.inFlight;
            sendOrder();
        }
    }

    const std::size_t maxInFlight;
    std::map<std::string, Queue> queues;
};

} // namespace rattan::delivery
