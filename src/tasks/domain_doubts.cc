#include "tasks/domain_doubts.h"

namespace rattan::tasks {

void DomainDoubts::wentSilent(const std::string& domain, const std::string& worker, Millis now)
{
    Domain& state = this->domains[domain];
    const bool another = !state.silentWorker.empty() && state.silentWorker != worker;
    if (another && now - state.silentAt <= together)
        state.doubtedAt = now;
    state.silentWorker = worker;
    state.silentAt = now;
}

bool DomainDoubts::covers(const std::string& domain, Millis heardAt, Millis now) const
{
    const auto found = this->domains.find(domain);
    if (found == this->domains.end() || found->second.doubtedAt == 0)
        return false;
    return heardAt <= found->second.doubtedAt && now - found->second.doubtedAt < lasts;
}

} // namespace rattan::tasks
