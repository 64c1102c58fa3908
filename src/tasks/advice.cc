#include "tasks/advice.h"

namespace rattan::tasks {

const std::string* StepAdvice::ticketFor(const Incarnation& incarnation, Millis until) const
{
    const auto found = this->verdicts.find(incarnation);
    if (found == this->verdicts.end() || !found->second.allowed || found->second.until < until)
        return nullptr;
    return &found->second.ticket;
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
    const auto found = this->verdicts.find(incarnation);
    return found == this->verdicts.end() || (found->second.allowed && found->second.until < until);
}

} // namespace rattan::tasks
