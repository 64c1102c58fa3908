#pragma once

// Retries as a share of traffic: each first try earns a part of a retry, each
// retry spends a whole one. When an executor pool fails, retries then add at
// most that share to the load instead of multiplying it. Thread-safe.

#include <algorithm>
#include <cstdint>
#include <mutex>

namespace rattan::entry {

class RetryBudget {
public:
    // Retries that may be saved up in quiet times.
    static constexpr double most = 20;

    explicit RetryBudget(std::int64_t percent)
        : earned(static_cast<double>(percent) / 100)
        , left(percent > 0 ? most : 0)
    {
    }

    void firstTry()
    {
        const std::lock_guard lock(this->mutex);
        this->left = std::min(this->left + this->earned, most);
    }

    // False when the budget is used up; the caller then gives up at once.
    bool spend()
    {
        const std::lock_guard lock(this->mutex);
        if (this->left < 1)
            return false;
        this->left -= 1;
        return true;
    }

private:
    const double earned;
    std::mutex mutex;
    double left;
};

} // namespace rattan::entry
