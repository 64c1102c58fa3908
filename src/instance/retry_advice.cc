#include "instance/retry_advice.h"

#include <algorithm>
#include <functional>

namespace rattan::instance {

namespace {

    constexpr Millis second = 1000;
    constexpr Millis minDelay = second;
    constexpr Millis maxDelay = 4 * second; // An urgent job is of use for about three times this long.
    constexpr Millis outageGrowth = 2; // Each attempt meets an outage that is about three times as old as at the previous one.
    constexpr Millis attemptTime = 500; // An append at a slow store, and the way there and back.

    // From 0 to less than `range`, by the job.
    Millis spreadOf(std::string_view job, Millis range)
    {
        return static_cast<Millis>(std::hash<std::string_view>()(job) % static_cast<std::size_t>(range));
    }

} // namespace

void RetryAdvice::setStoreAway(bool away, Millis now)
{
    if (!away)
        this->awaySince = -1;
    else if (this->awaySince < 0)
        this->awaySince = now;
}

Millis RetryAdvice::delay(const RefusedRequest& request, Millis now) const
{
    Millis delay = minDelay;
    if (request.cause == RefusalCause::StoreUnreachable && this->awaySince >= 0) {
        delay = std::clamp(outageGrowth * (now - this->awaySince), minDelay, maxDelay);
        delay += spreadOf(request.job, delay / 2);
    }
    if (request.timeLeft > 0)
        delay = std::min(delay, request.timeLeft - attemptTime);
    return std::max((delay + second / 2) / second * second, minDelay);
}

} // namespace rattan::instance
