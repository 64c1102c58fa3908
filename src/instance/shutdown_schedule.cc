#include "instance/shutdown_schedule.h"

#include <algorithm>

namespace rattan::instance {

namespace {

    // The balancer asks once a second and acts on the second miss.
    constexpr Millis balancerNotices = 2600;

    // For an append of a request that came last; where the grace is short, the
    // balancer gets less.
    constexpr Millis lastAppend = 700;

    // A turn of the control loop, and the way of an answer to its caller's socket.
    constexpr Millis answersWritten = 300;

    // For the threads and the log to end, also with little processor time.
    constexpr Millis ending = 500;

} // namespace

StopPlan planStop(Millis grace)
{
    StopPlan plan;
    plan.closedAt = std::max<Millis>(grace - ending, 0);
    plan.answeredAt = std::max<Millis>(plan.closedAt - answersWritten, 0);
    plan.noticedAt = std::clamp<Millis>(plan.answeredAt - lastAppend, 0, balancerNotices);
    return plan;
}

} // namespace rattan::instance
