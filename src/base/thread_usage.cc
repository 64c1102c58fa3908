#include "base/thread_usage.h"

#include <sys/resource.h>

namespace rattan {

ThreadUsage ThreadUsage::current()
{
    constexpr Millis millisPerSecond = 1000;
    constexpr Millis microsPerMilli = 1000;
    rusage usage {};
    if (getrusage(RUSAGE_THREAD, &usage) != 0)
        return {};
    // Added before the division: either part is rounded by the kernel, and only their sum is exact.
    const Millis seconds = usage.ru_utime.tv_sec + usage.ru_stime.tv_sec;
    const Millis micros = usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
    return { .processorTime = seconds * millisPerSecond + micros / microsPerMilli, .involuntarySwitches = usage.ru_nivcsw, .majorFaults = usage.ru_majflt };
}

ThreadUsage ThreadUsage::operator-(const ThreadUsage& earlier) const
{
    return { .processorTime = this->processorTime - earlier.processorTime, .involuntarySwitches = this->involuntarySwitches - earlier.involuntarySwitches, .majorFaults = this->majorFaults - earlier.majorFaults };
}

} // namespace rattan
