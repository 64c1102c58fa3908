#pragma once

// A limit on the memory that many owners take together, in bytes.
//
//     MemoryBudget budget(32 << 20);
//     if (!budget.tryReserve(bytes))  // used up: refuse the request
//     budget.release(bytes);          // exactly what was reserved
//
// It counts and allocates nothing. Thread-safe.

#include <algorithm>
#include <atomic>
#include <cstddef>

namespace rattan::http {

class MemoryBudget {
public:
    explicit MemoryBudget(std::size_t limit)
        : limit(limit)
    {
    }

    // Fails if more than the limit would be reserved, unless nothing is: one owner that needs more
    // than the limit is served alone instead of never.
    bool tryReserve(std::size_t bytes)
    {
        std::size_t before = this->reserved;
        do {
            if (before > 0 && bytes > this->limit - std::min(before, this->limit))
                return false;
        } while (!this->reserved.compare_exchange_weak(before, before + bytes));
        return true;
    }

    // Returns how many bytes remain reserved.
    std::size_t release(std::size_t bytes) { return this->reserved -= bytes; }

    std::size_t used() const { return this->reserved; }

private:
    const std::size_t limit;
    std::atomic<std::size_t> reserved { 0 };
};

} // namespace rattan::http
