#include "ctl/text_plan.h"

#include <algorithm>
#include <map>

namespace rattan::ctl {

namespace {

    using Guarantees = std::map<std::string, std::int64_t>;

    Guarantees guaranteesOf(const config::Configuration& text)
    {
        Guarantees guarantees;
        for (const config::Workspace& workspace : text.workspaces)
            guarantees[workspace.name] = guaranteedAccelerators(workspace);
        return guarantees;
    }

    std::int64_t amountIn(const Guarantees& guarantees, const std::string& workspace)
    {
        const auto found = guarantees.find(workspace);
        return found == guarantees.end() ? 0 : found->second;
    }

    std::int64_t usedBy(const DomainStatus& domain, const std::string& workspace)
    {
        for (const WorkspaceStatus& one : domain.workspaces) {
            if (one.name == workspace)
                return one.used;
        }
        return 0;
    }

    // What workspaces that gain could claim beyond what they have today.
    std::int64_t newClaims(const std::vector<GuaranteeChange>& changes, const DomainStatus& domain)
    {
        std::int64_t claims = 0;
        for (const GuaranteeChange& change : changes) {
            const std::int64_t held = std::max(change.before, usedBy(domain, change.workspace));
            claims += std::max<std::int64_t>(change.after - held, 0);
        }
        return claims;
    }

    void planDomain(const std::vector<GuaranteeChange>& changes, const Guarantees& after, const DomainStatus& domain, std::vector<Reclaim>& reclaims)
    {
        const std::int64_t wanted = newClaims(changes, domain) - domain.free();
        if (wanted <= 0)
            return;
        for (const WorkspaceStatus& one : domain.workspaces) {
            const std::int64_t over = one.used - amountIn(after, one.name);
            if (over > 0)
                reclaims.push_back({ domain.name, one.name, std::min(over, wanted) });
        }
    }

} // namespace

std::int64_t guaranteedAccelerators(const config::Workspace& workspace)
{
    std::int64_t sum = 0;
    for (const config::GuaranteedShape& shape : workspace.guarantees)
        sum += shape.count * shape.accelerators;
    return sum;
}

TextPlan planFor(const config::Configuration& before, const config::Configuration& after, const std::vector<DomainStatus>& domains)
{
    const Guarantees old = guaranteesOf(before);
    const Guarantees fresh = guaranteesOf(after);
    Guarantees all = old;
    all.insert(fresh.begin(), fresh.end());
    TextPlan plan;
    for (const auto& [workspace, unused] : all) {
        const GuaranteeChange change { workspace, amountIn(old, workspace), amountIn(fresh, workspace) };
        if (change.before != change.after)
            plan.changes.push_back(change);
    }
    for (const DomainStatus& domain : domains)
        planDomain(plan.changes, fresh, domain, plan.reclaims);
    return plan;
}

} // namespace rattan::ctl
