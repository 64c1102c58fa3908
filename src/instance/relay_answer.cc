#include "instance/relay_answer.h"

namespace rattan::instance {

namespace {

    bool wasDone(const CallerAnswer& answer) { return answer.outcome == Outcome::Accepted || answer.outcome == Outcome::Cancelled; }

    // What either instance did, or may have done, stays true whatever else the two say.
    // Only of what neither did may one of them know better.
    CallerAnswer reconcile(const CallerAnswer& own, const CallerAnswer& other, bool sentTwice)
    {
        if (wasDone(other))
            return other;
        if (own.outcome == Outcome::Unknown)
            return other.outcome == Outcome::State && other.configurationVersion >= own.configurationVersion ? other : own;
        // A rejection tells nothing of the transmission before it.
        if (other.outcome == Outcome::Unknown || sentTwice)
            return { .outcome = Outcome::Unknown, .message = other.message, .configurationVersion = other.configurationVersion };
        // The other may be cut off as well and go by a text that is older than the one here.
        if (other.configurationVersion < own.configurationVersion)
            return own;
        return other.outcome == Outcome::NotNow && own.outcome != Outcome::NotNow ? own : other;
    }

} // namespace

CallerAnswer answerAfterRelay(RequestKind kind, const CallerAnswer& own, const std::optional<CallerAnswer>& other, const http::Reply& reply)
{
    if (other)
        return reconcile(own, *other, reply.wasResent() && kind != RequestKind::State);
    CallerAnswer answer = own;
    if (reply.sendOutcome != http::SendOutcome::NotSent && kind != RequestKind::State)
        answer.outcome = Outcome::Unknown; // The other instance may have stored it.
    return answer;
}

} // namespace rattan::instance
