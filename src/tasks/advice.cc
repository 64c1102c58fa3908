#include "tasks/advice.h"

namespace rattan::tasks {

const StepAdvice::Verdict* StepAdvice::find(const Incarnation& incarnation) const
{
    const auto found = this->verdicts.find(incarnation);
    return found == this->verdicts.end() ? nullptr : &found->second;
}

void StepAdvice::dropTicket(const Incarnation& incarnation)
{
    const auto found = this->verdicts.find(incarnation);
    if (found == this->verdicts.end())
        return;
    found->second.ticket.clear();
    found->second.receivedAt = found->second.until = 0;
}

bool StepAdvice::allows(const Incarnation& incarnation, Millis until) const
{
    const Verdict* verdict = this->find(incarnation);
    return verdict && verdict->allowed && (!this->isFailing || verdict->until >= until);
}

bool StepAdvice::denies(const Incarnation& incarnation) const
{
    const Verdict* verdict = this->find(incarnation);
    return verdict && !verdict->allowed;
}

bool StepAdvice::hasTicket(const Incarnation& incarnation, Millis now, Millis delay) const
{
    const Verdict* verdict = this->find(incarnation);
    return verdict && verdict->allowed && (verdict->receivedAt == now || verdict->until >= now + delay);
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
