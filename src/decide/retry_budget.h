#pragma once

// Limits retries to a share of the starts, so that a fault that hits many jobs
// at once is not multiplied by all of them trying again together. A retry
// beyond the budget is put off, never dropped.

#include "decide/types.h"

#include <algorithm>
#include <map>

namespace rattan::decide::detail {

class RetryBudget {
public:
    explicit RetryBudget(double share)
        : share(share)
    {
    }

    void started(WorkspaceId workspace)
    {
        this->domain.add(this->share);
        this->workspaces[workspace].add(this->share);
    }

    // False when either budget is used up.
    bool tryRetry(WorkspaceId workspace)
    {
        Tokens& own = this->workspaces[workspace];
        if (own.left < 1 || this->domain.left < 1)
            return false;
        own.left -= 1;
        this->domain.left -= 1;
        return true;
    }

    // Some retries are always allowed again after a while, or a quiet workspace
    // whose budget is used up would never see its last job through.
    void refill()
    {
        this->domain.add(1);
        for (auto& [workspace, tokens] : this->workspaces)
            tokens.add(1);
    }

private:
    static constexpr double most = 20;

    struct Tokens {
        double left { 10 };
        void add(double by) { this->left = std::min(most, this->left + by); }
    };

    double share;
    Tokens domain;
    std::map<WorkspaceId, Tokens> workspaces;
};

} // namespace rattan::decide::detail
