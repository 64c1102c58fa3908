#pragma once

// Which workspaces use more than their share of the resources beyond guarantees.
//
// It answers an overload in which a large workspace has so many jobs that those of small ones
// wait behind them. The shares are equal for all workspaces that use or wait for anything.

#include <cstddef>
#include <map>
#include <string_view>

namespace rattan::tasks {

class FairShares {
public:
    // The names must outlive the object.
    void addUse(std::string_view workspace, double amount);
    void addWaiting(std::string_view workspace) { this->used.try_emplace(workspace, 0); }

    bool exceedsShare(std::string_view workspace) const;

private:
    std::map<std::string_view, double> used;
    double total { 0 };
};

} // namespace rattan::tasks
