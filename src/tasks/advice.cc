#include "tasks/advice.h"

#include <algorithm>

namespace rattan::tasks {

namespace {

    // The delay after a ticket was rejected, from the second rejection in a row on; it doubles up to the
    // maximum, with which a job still begins in time once tickets last.
    constexpr Millis minRejectionDelay = 100;
    constexpr Millis maxRejectionDelay = 1600;

} // namespace

const StepAdvice::Verdict* StepAdvice::find(const Incarnation& incarnation) const
{
    const auto found = this->verdicts.find(incarnation);
    return found == this->verdicts.end() ? nullptr : &found->second;
}

void StepAdvice::allow(const Incarnation& incarnation, std::string ticket, Millis now, Millis until)
{
    Verdict& verdict = this->verdicts[incarnation];
    verdict.allowed = true;
    verdict.ticket = std::move(ticket);
    verdict.receivedAt = now;
    verdict.until = until;
}

void StepAdvice::rejectTicket(const Incarnation& incarnation, Millis now)
{
    const auto found = this->verdicts.find(incarnation);
    if (found == this->verdicts.end())
        return;
    Verdict& verdict = found->second;
    if (verdict.rejectedAt == 0 || verdict.receivedAt > verdict.rejectedAt) {
        constexpr int maxDoublings = 10;
        const int doublings = std::min(++verdict.rejections - 2, maxDoublings);
        verdict.retryAt = doublings < 0 ? now : now + std::min(minRejectionDelay << doublings, maxRejectionDelay);
    }
    verdict.rejectedAt = now;
    verdict.ticket.clear();
    verdict.until = 0;
}

void StepAdvice::acceptTicket(const Incarnation& incarnation)
{
    const auto found = this->verdicts.find(incarnation);
    if (found != this->verdicts.end())
        found->second.rejections = 0;
}

bool StepAdvice::allows(const Incarnation& incarnation, Millis now, Millis delay) const
{
    const Verdict* verdict = this->find(incarnation);
    return verdict && verdict->allowed && now >= verdict->retryAt && (!this->isFailing || verdict->until >= now + delay);
}

Millis StepAdvice::nextTicketAt(const Incarnation& incarnation) const
{
    const Verdict* verdict = this->find(incarnation);
    return std::max(this->notBefore, verdict ? verdict->retryAt : 0);
}

bool StepAdvice::denies(const Incarnation& incarnation) const
{
    const Verdict* verdict = this->find(incarnation);
    return verdict && !verdict->allowed;
}

bool StepAdvice::hasTicket(const Incarnation& incarnation, Millis now, Millis delay) const
{
    const Verdict* verdict = this->find(incarnation);
    return verdict && !verdict->ticket.empty() && (verdict->receivedAt == now || verdict->until >= now + delay);
}

const std::string* StepAdvice::ticketOf(const Incarnation& incarnation) const
{
    const Verdict* verdict = this->find(incarnation);
    return verdict && !verdict->ticket.empty() ? &verdict->ticket : nullptr;
}

StepAdvice::Counts StepAdvice::count(Millis until) const
{
    Counts counts;
    for (const auto& [incarnation, verdict] : this->verdicts) {
        counts.allowed += verdict.allowed ? 1 : 0;
        counts.ticketed += verdict.allowed && verdict.until >= until ? 1 : 0;
    }
    return counts;
}

bool StepAdvice::needsRequest(const Incarnation& incarnation, Millis until) const
{
    const Verdict* verdict = this->find(incarnation);
    return !verdict || (verdict->allowed && this->isFailing && verdict->until < until);
}

} // namespace rattan::tasks
