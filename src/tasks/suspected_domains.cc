#include "tasks/suspected_domains.h"

namespace rattan::tasks {

void SuspectedDomains::addSilentWorker(const std::string& domain, const std::string& worker, Millis now)
{
    Domain& state = this->domains[domain];
    const bool isOtherWorker = !state.silentWorker.empty() && state.silentWorker != worker;
    const bool isAnswering = now - state.answeredAt < maxAnswerPause;
    if (isOtherWorker && !isAnswering && now - state.silentAt <= correlationWindow)
        state.suspectedAt = now;
    state.silentWorker = worker;
    state.silentAt = now;
}

bool SuspectedDomains::isSuspected(const std::string& domain, Millis lastAnswerAt, Millis now) const
{
    const auto found = this->domains.find(domain);
    if (found == this->domains.end() || found->second.suspectedAt == 0)
        return false;
    return lastAnswerAt <= found->second.suspectedAt && now - found->second.suspectedAt < suspicionDuration;
}

} // namespace rattan::tasks
