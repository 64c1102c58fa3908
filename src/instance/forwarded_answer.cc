#include "instance/forwarded_answer.h"

namespace rattan::instance {

namespace {

    bool isDone(const CallerAnswer& answer) { return answer.outcome == Outcome::Accepted || answer.outcome == Outcome::Cancelled; }

    // What either instance did, or may have done, stays true whatever else the two say.
    // Only of what neither did may one of them know better.
    CallerAnswer mergeAnswers(const CallerAnswer& ownAnswer, const CallerAnswer& peerAnswer, bool wasResent)
    {
        if (isDone(peerAnswer))
            return peerAnswer;
        if (ownAnswer.outcome == Outcome::Unknown)
            return peerAnswer.outcome == Outcome::State && peerAnswer.configurationVersion >= ownAnswer.configurationVersion ? peerAnswer : ownAnswer;
        // A rejection tells nothing of the transmission before it.
        if (peerAnswer.outcome == Outcome::Unknown || wasResent)
            return { .outcome = Outcome::Unknown, .message = peerAnswer.message, .configurationVersion = peerAnswer.configurationVersion };
        // The other may be cut off as well and go by a text that is older than the one here.
        if (peerAnswer.configurationVersion < ownAnswer.configurationVersion)
            return ownAnswer;
        return peerAnswer.outcome == Outcome::NotNow && ownAnswer.outcome != Outcome::NotNow ? ownAnswer : peerAnswer;
    }

} // namespace

CallerAnswer mergeForwardedAnswer(RequestKind kind, const CallerAnswer& ownAnswer, const std::optional<CallerAnswer>& peerAnswer, const http::Reply& reply)
{
    if (peerAnswer)
        return mergeAnswers(ownAnswer, *peerAnswer, reply.isRepeat() && kind != RequestKind::State);
    CallerAnswer answer = ownAnswer;
    if (reply.sent != http::Sent::Nothing && kind != RequestKind::State)
        answer.outcome = Outcome::Unknown; // The other instance may have stored it.
    return answer;
}

} // namespace rattan::instance
