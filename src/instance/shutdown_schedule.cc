#include "instance/shutdown_schedule.h"

#include <algorithm>

namespace rattan::instance {

namespace {

    // The balancer asks once a second and acts on the second miss.
    constexpr Millis balancerDetectionTime = 2600;

    // For an append of a request that came last; where the grace is short, the
    // balancer gets less.
    constexpr Millis lastAppendTime = 700;

    // A turn of the control loop, and the way of an answer to its caller's socket.
    constexpr Millis responseWriteTime = 300;

    // For the threads and the log to end, also with little processor time.
    constexpr Millis processExitTime = 500;

} // namespace

ShutdownSchedule scheduleShutdown(Millis grace)
{
    ShutdownSchedule schedule;
    schedule.closeDeadline = std::max<Millis>(grace - processExitTime, 0);
    schedule.answerDeadline = std::max<Millis>(schedule.closeDeadline - responseWriteTime, 0);
    schedule.acceptUntil = std::clamp<Millis>(schedule.answerDeadline - lastAppendTime, 0, balancerDetectionTime);
    return schedule;
}

} // namespace rattan::instance
