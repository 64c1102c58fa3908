#include "instance/forwarded_answer.h"

namespace rattan::instance {

namespace {

    // This instance's answer, or a refusal if a newer configuration has become known since.
    CallerAnswer currentAnswer(const CallerAnswer& ownAnswer, std::int64_t newestVersion)
    {
        if (ownAnswer.configurationVersion >= newestVersion || ownAnswer.outcome == Outcome::Unknown)
            return ownAnswer;
        return { .outcome = Outcome::NotNow, .retryAfter = ownAnswer.retryAfter, .message = "a newer configuration is in force elsewhere", .configurationVersion = newestVersion };
    }

    // An operation that either instance executed, or may have executed, determines the answer,
    // whatever the other answer is. If neither executed it, the answer of the better
    // informed instance is used.
    CallerAnswer mergeAnswers(const CallerAnswer& ownAnswer, const CallerAnswer& peerAnswer, std::int64_t newestVersion, bool wasResent)
    {
        if (isDone(peerAnswer))
            return peerAnswer;
        // The other instance may also be cut off from the store, with an older configuration.
        const bool isOutdated = peerAnswer.configurationVersion < newestVersion;
        if (ownAnswer.outcome == Outcome::Unknown)
            return peerAnswer.outcome == Outcome::State && !isOutdated ? peerAnswer : ownAnswer;
        // A rejection of the second transmission does not show the outcome of the first one.
        if (peerAnswer.outcome == Outcome::Unknown || wasResent)
            return { .outcome = Outcome::Unknown, .message = peerAnswer.message, .configurationVersion = peerAnswer.configurationVersion };
        if (isOutdated || (peerAnswer.outcome == Outcome::NotNow && ownAnswer.outcome != Outcome::NotNow))
            return currentAnswer(ownAnswer, newestVersion);
        return peerAnswer;
    }

} // namespace

bool isDone(const CallerAnswer& answer) { return answer.outcome == Outcome::Accepted || answer.outcome == Outcome::Cancelled; }

CallerAnswer mergeForwardedAnswer(const ForwardedRequest& request, const CallerAnswer& ownAnswer, const std::optional<CallerAnswer>& peerAnswer, const http::Reply& reply)
{
    if (peerAnswer)
        return mergeAnswers(ownAnswer, *peerAnswer, request.newestConfigurationVersion, reply.wasResent() && request.kind != RequestKind::State);
    CallerAnswer answer = currentAnswer(ownAnswer, request.newestConfigurationVersion);
    if (reply.sendOutcome != http::SendOutcome::NotSent && request.kind != RequestKind::State)
        answer.outcome = Outcome::Unknown; // The other instance may have stored it.
    return answer;
}

} // namespace rattan::instance
