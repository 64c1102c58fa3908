#include "instance/shutdown_schedule.h"

#include <algorithm>

namespace rattan::instance {

namespace {

    // The load balancer checks once a second and reacts to the second failed check.
    constexpr Millis balancerDetectionTime = 2600;

    // Reserved for the append of the last request. With a short grace period, the balancer's
    // share is reduced instead.
    constexpr Millis lastAppendTime = 700;

    // An iteration of the control loop, and the write of an answer to its caller's socket.
    constexpr Millis responseWriteTime = 300;

    // For the threads and the log to finish, even with little processor time.
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
