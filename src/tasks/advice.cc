#include "tasks/advice.h"

namespace rattan::tasks {

const std::string* StepAdvice::ticketFor(const WorkerLife& life, Millis until) const
{
    const auto found = this->verdicts.find(life);
    if (found == this->verdicts.end() || !found->second.allowed || found->second.until < until)
        return nullptr;
    return &found->second.ticket;
}

bool StepAdvice::isOpen(const WorkerLife& life, Millis until) const
{
    const auto found = this->verdicts.find(life);
    return found == this->verdicts.end() || (found->second.allowed && found->second.until < until);
}

} // namespace rattan::tasks
