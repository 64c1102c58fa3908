#include "tasks/advice.h"

namespace rattan::tasks {

const std::string* StepAdvice::ticketFor(const Incarnation& incarnation, Millis until) const
{
    const auto found = this->verdicts.find(incarnation);
    if (found == this->verdicts.end() || !found->second.allowed || found->second.until < until)
        return nullptr;
    return &found->second.ticket;
}

bool StepAdvice::needsRequest(const Incarnation& incarnation, Millis until) const
{
    const auto found = this->verdicts.find(incarnation);
    return found == this->verdicts.end() || (found->second.allowed && found->second.until < until);
}

} // namespace rattan::tasks
