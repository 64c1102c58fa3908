#pragma once

// A thread that calls a function repeatedly, with a fixed delay between the end of one
// call and the start of the next, until it is stopped.
//
//     PeriodicThread thread;
//     thread.start(500ms, [this] { this->poll(); });
//     thread.stop();        // returns after a call in progress has ended
//
// The first call comes without a delay. Only the owner calls start() and
// stop(); stop() may be called more than once.

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace rattan {

class PeriodicThread {
public:
    ~PeriodicThread() { this->stop(); }

    void start(std::chrono::milliseconds delay, std::function<void()> callback)
    {
        this->thread = std::thread([this, delay, callback = std::move(callback)] {
            std::unique_lock lock(this->mutex);
            while (!this->stopping) {
                lock.unlock();
                callback();
                lock.lock();
                this->wake.wait_for(lock, delay, [this] { return this->stopping; });
            }
        });
    }

    void stop()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->stopping = true;
        }
        this->wake.notify_all();
        if (this->thread.joinable())
            this->thread.join();
    }

private:
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping { false };
    std::thread thread;
};

} // namespace rattan
