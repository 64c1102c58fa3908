#pragma once

// A bounded queue that joins two threads.
//
//     BoundedRing<Job> ring(1024);
//     if (!ring.tryPush(job))        // full: the caller answers "overloaded"
//         return fail(ErrorCode::Overloaded, ...);
//     while (auto job = ring.pop())  // empty optional once closed and drained
//         run(*job);
//
// It never grows past its capacity, so a slow consumer shows up as a refused
// tryPush, or as a push that waits, and not as memory. Any number of threads may
// push and pop.

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace rattan {

template <typename T>
class BoundedRing {
public:
    explicit BoundedRing(std::size_t capacity)
        : capacity(capacity)
    {
    }

    // False when the ring is full or closed; the value is then untouched.
    bool tryPush(T&& value)
    {
        {
            const std::lock_guard lock(this->mutex);
            if (this->closed || this->values.size() >= this->capacity)
                return false;
            this->values.push_back(std::move(value));
        }
        this->ready.notify_one();
        return true;
    }

    // Waits for room; false once the ring is closed.
    bool push(T&& value)
    {
        {
            std::unique_lock lock(this->mutex);
            this->room.wait(lock, [this] { return this->closed || this->values.size() < this->capacity; });
            if (this->closed)
                return false;
            this->values.push_back(std::move(value));
        }
        this->ready.notify_one();
        return true;
    }

    // Waits for a value; empty once the ring is closed and drained.
    std::optional<T> pop()
    {
        std::unique_lock lock(this->mutex);
        this->ready.wait(lock, [this] { return this->closed || !this->values.empty(); });
        return this->take();
    }

    // Waits at most this long; empty when nothing came.
    std::optional<T> popFor(std::chrono::milliseconds limit)
    {
        std::unique_lock lock(this->mutex);
        this->ready.wait_for(lock, limit, [this] { return this->closed || !this->values.empty(); });
        return this->take();
    }

    // Refuses further pushes and wakes every waiting pop.
    void close()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->closed = true;
        }
        this->ready.notify_all();
        this->room.notify_all();
    }

    bool isClosed() const
    {
        const std::lock_guard lock(this->mutex);
        return this->closed;
    }

    std::size_t size() const
    {
        const std::lock_guard lock(this->mutex);
        return this->values.size();
    }

private:
    std::optional<T> take()
    {
        if (this->values.empty())
            return std::nullopt;
        std::optional<T> value(std::move(this->values.front()));
        this->values.pop_front();
        this->room.notify_one();
        return value;
    }

    const std::size_t capacity;
    mutable std::mutex mutex;
    std::condition_variable ready;
    std::condition_variable room;
    std::deque<T> values;
    bool closed { false };
};

} // namespace rattan
