#pragma once

// What a changed text would do to the guarantees, before it is published.
//
// For each workspace and failure domain: what is guaranteed now and then, what
// is in use, and what the workspace could at once claim back. Where the claims
// of workspaces that gain exceed what is free, the rest would be reclaimed from
// workspaces that use more than their new guarantee. It is an upper bound: only
// a workspace that has jobs waiting claims anything.

#include "config/configuration.h"
#include "ctl/domain_status.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattan::ctl {

struct GuaranteeChange {
    std::string workspace;
    std::int64_t before { 0 }; // Accelerators in each failure domain.
    std::int64_t after { 0 };
};

struct Reclaim {
    std::string domain;
    std::string workspace; // From which it would be taken.
    std::int64_t most { 0 }; // Accelerators.
};

struct TextPlan {
    std::vector<GuaranteeChange> changes; // Only those that differ.
    std::vector<Reclaim> reclaims;
};

std::int64_t guaranteedAccelerators(const config::Workspace&);

TextPlan planFor(const config::Configuration& before, const config::Configuration& after, const std::vector<DomainStatus>&);

} // namespace rattan::ctl
