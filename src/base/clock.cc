#include "base/clock.h"

#include <ctime>

namespace rattan {

namespace {

    Millis read(clockid_t clock)
    {
        timespec time {};
        clock_gettime(clock, &time);
        constexpr Millis millisPerSecond = 1000;
        constexpr Millis nanosPerMilli = 1000000;
        return time.tv_sec * millisPerSecond + time.tv_nsec / nanosPerMilli;
    }

} // namespace

Millis SystemClock::now() const { return read(CLOCK_BOOTTIME); }

Millis SystemClock::wall() const { return read(CLOCK_REALTIME); }

} // namespace rattan
