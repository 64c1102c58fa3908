#include "tasks/fair_shares.h"

namespace rattan::tasks {

void FairShares::addUse(std::string_view workspace, double amount)
{
    this->used[workspace] += amount;
    this->total += amount;
}

bool FairShares::exceedsShare(std::string_view workspace) const
{
    const auto found = this->used.find(workspace);
    return found != this->used.end() && found->second * static_cast<double>(this->used.size()) > this->total;
}

} // namespace rattan::tasks
