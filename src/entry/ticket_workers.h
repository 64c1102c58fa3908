#pragma once

// Runs requests under tickets that came from other entries.
//
// The RPC thread must not block, and a request does; so the RPC service hands
// them to these threads through a bounded ring. A full ring refuses at once.

#include "base/bounded_queue.h"

#include <functional>
#include <thread>
#include <vector>

namespace rattan::entry {

class TicketWorkers {
public:
    static constexpr std::size_t threadCount = 8;
    static constexpr std::size_t mostWaiting = 64;

    using Task = std::function<void()>;

    TicketWorkers()
        : ring(mostWaiting)
    {
        for (std::size_t i = 0; i < threadCount; ++i)
            this->threads.emplace_back([this] { this->run(); });
    }

    ~TicketWorkers() { this->stop(); }
    TicketWorkers(const TicketWorkers&) = delete;
    TicketWorkers& operator=(const TicketWorkers&) = delete;

    // False when too many wait; the task was not taken.
    bool offer(Task task) { return this->ring.tryPush(std::move(task)); }

    // Finishes what was taken.
    void stop()
    {
        this->ring.close();
        for (std::thread& thread : this->threads) {
            if (thread.joinable())
                thread.join();
        }
    }

private:
    void run()
    {
        while (auto task = this->ring.pop())
            (*task)();
    }

    BoundedQueue<Task> ring;
    std::vector<std::thread> threads;
};

} // namespace rattan::entry
