#pragma once

// A bounded queue that joins two threads.
//
//     BoundedQueue<Job> queue(1024);
//     if (!queue.tryPush(job))        // full: the caller answers "overloaded"
//         return fail(ErrorCode::Overloaded, ...);
//     while (auto job = queue.pop())  // empty optional once closed and drained
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
class BoundedQueue {
public:
    explicit BoundedQueue(std::size_t capacity)
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
        this->notEmpty.notify_one();
        return true;
    }

    // Waits for room; false once the ring is closed.
    bool push(T&& value)
    {
        {
            std::unique_lock lock(this->mutex);
            this->notFull.wait(lock, [this] { return this->closed || this->values.size() < this->capacity; });
            if (this->closed)
                return false;
            this->values.push_back(std::move(value));
        }
        this->notEmpty.notify_one();
        return true;
    }

    // Waits for a value; empty once the ring is closed and drained.
    std::optional<T> pop()
    {
        std::unique_lock lock(this->mutex);
        this->notEmpty.wait(lock, [this] { return this->closed || !this->values.empty(); });
        return this->takeFirst();
    }

    // Waits at most this long; empty when nothing came.
    std::optional<T> popFor(std::chrono::milliseconds timeout)
    {
        std::unique_lock lock(this->mutex);
        this->notEmpty.wait_for(lock, timeout, [this] { return this->closed || !this->values.empty(); });
        return this->takeFirst();
    }

    // Refuses further pushes and wakes every waiting pop.
    void close()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->closed = true;
        }
        this->notEmpty.notify_all();
        this->notFull.notify_all();
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
    std::optional<T> takeFirst()
    {
        if (this->values.empty())
            return std::nullopt;
        std::optional<T> value(std::move(this->values.front()));
        this->values.pop_front();
        this->notFull.notify_one();
        return value;
    }

    const std::size_t capacity;
    mutable std::mutex mutex;
    std::condition_variable notEmpty;
    std::condition_variable notFull;
    std::deque<T> values;
    bool closed { false };
};

} // namespace rattan
