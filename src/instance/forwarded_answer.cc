#include "instance/forwarded_answer.h"

namespace rattan::instance {

namespace {

    bool isDone(const CallerAnswer& answer) { return answer.outcome == Outcome::Accepted || answer.outcome == Outcome::Cancelled; }

    // An operation that either instance executed, or may have executed, determines the answer,
    // whatever the other answer is. If neither executed it, the answer of the better
    // informed instance is used.
    CallerAnswer mergeAnswers(const CallerAnswer& ownAnswer, const CallerAnswer& peerAnswer, bool wasResent)
    {
        if (isDone(peerAnswer))
            return peerAnswer;
        if (ownAnswer.outcome == Outcome::Unknown)
            return peerAnswer.outcome == Outcome::State && peerAnswer.configurationVersion >= ownAnswer.configurationVersion ? peerAnswer : ownAnswer;
        // A rejection of the second transmission does not show the outcome of the first one.
        if (peerAnswer.outcome == Outcome::Unknown || wasResent)
            return { .outcome = Outcome::Unknown, .message = peerAnswer.message, .configurationVersion = peerAnswer.configurationVersion };
        // The other instance may also be cut off from the store, with an older configuration.
        if (peerAnswer.configurationVersion < ownAnswer.configurationVersion)
            return ownAnswer;
        return peerAnswer.outcome == Outcome::NotNow && ownAnswer.outcome != Outcome::NotNow ? ownAnswer : peerAnswer;
    }

} // namespace

CallerAnswer mergeForwardedAnswer(RequestKind kind, const CallerAnswer& ownAnswer, const std::optional<CallerAnswer>& peerAnswer, const http::Reply& reply)
{
    if (peerAnswer)
        return mergeAnswers(ownAnswer, *peerAnswer, reply.wasResent() && kind != RequestKind::State);
    CallerAnswer answer = ownAnswer;
    if (reply.sendOutcome != http::SendOutcome::NotSent && kind != RequestKind::State)
        answer.outcome = Outcome::Unknown; // The other instance may have stored it.
    return answer;
}

} // namespace rattan::instance
