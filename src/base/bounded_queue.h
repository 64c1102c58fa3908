#pragma once

// A bounded first-in, first-out queue between threads.
//
//     BoundedQueue<Job> queue(1024);
//     if (!queue.tryPush(job))        // full: report "overloaded"
//         return fail(ErrorCode::Overloaded, ...);
//     while (auto job = queue.pop())  // nullopt once closed and drained
//         run(*job);
//
// The queue never grows beyond its capacity: if the consumer is slow, tryPush()
// returns false or push() waits, and memory use does not grow. Thread-safe for any
// number of producers and consumers.

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

    // Returns false and leaves `value` unchanged if the queue is full or closed.
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

    // Waits while the queue is full. Returns false and leaves `value` unchanged if the queue
    // is closed.
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

    // Waits for a value. Returns nullopt once the queue is closed and drained.
    std::optional<T> pop()
    {
        std::unique_lock lock(this->mutex);
        this->notEmpty.wait(lock, [this] { return this->closed || !this->values.empty(); });
        return this->takeFirst();
    }

    // Waits for a value for at most `timeout`. Returns nullopt if none arrived, or once the
    // queue is closed and drained.
    std::optional<T> popFor(std::chrono::milliseconds timeout)
    {
        std::unique_lock lock(this->mutex);
        this->notEmpty.wait_for(lock, timeout, [this] { return this->closed || !this->values.empty(); });
        return this->takeFirst();
    }

    // Rejects further pushes and wakes all waiting threads.
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
    // Removes the first value, if any. The caller holds the mutex.
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
