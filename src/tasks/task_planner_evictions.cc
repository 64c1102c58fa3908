// Eviction: which units a unit may stop to free resources, and how much work they lose.

#include "tasks/eviction.h"
#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <fmt/format.h>

namespace rattan::tasks {

using namespace detail;

// The work in core-seconds that would have to be repeated if the unit were stopped. A run that
// saves its progress does so when it is stopped, and loses almost nothing.
double TaskPlanner::lostWorkOf(const Unit& unit, Millis now) const
{
    constexpr double restartSeconds = 0.3;
    const double weight = coreEquivalents(unit.step().perTask) * static_cast<double>(unit.members());
    if (unit.startedAt == 0)
        return weight * restartSeconds;
    const double ran = static_cast<double>(now - unit.startedAt + unit.inheritedWork.value_or(0)) / 1000.0;
    return weight * (unit.step().savesProgress ? restartSeconds : ran + restartSeconds);
}

// The lost work, weighted by the number of earlier evictions unless the unit saves its progress.
// Without the weight, a unit that has just restarted would always be the cheapest and would be
// evicted again.
double TaskPlanner::evictionCost(const Unit& unit, Millis now) const
{
    const double lost = this->lostWorkOf(unit, now);
    return unit.step().savesProgress ? lost : lost * static_cast<double>(1 + unit.evictionCount);
}

// The work in core-seconds that others may lose so that a unit which is not guaranteed can start
// now.
double TaskPlanner::maxLostWork(const Unit& unit) const
{
    if (unit.job->terms.priority == 0)
        return maxUrgentLostCoreSeconds;
    const double work = coreEquivalents(unit.step().perTask) * static_cast<double>(unit.members() * this->expectedRunTime(unit)) / 1000.0;
    return work * maxLostWorkFraction;
}

bool TaskPlanner::canEvict(const Candidate& candidate, Millis now)
{
    if (candidate.queueKey.isTooLate && !candidate.queueKey.guaranteed)
        return false;
    if (candidate.unit->job->terms.priority == 0)
        return true;
    const Millis evictionAllowedAt = candidate.queueKey.latestStart - evictionLeadTime;
    if (now >= evictionAllowedAt)
        return true;
    this->pacer.scheduleBy(evictionAllowedAt);
    return false;
}

bool TaskPlanner::tryEvict(Candidate& candidate, Snapshot& snapshot, const PlacementRequest& request, Millis now)
{
    Unit& unit = *candidate.unit;
    const bool guaranteed = candidate.queueKey.guaranteed;
    const std::int64_t priority = unit.job->terms.priority;
    const auto evictionCostOf = [&](const Allocation& run) { return run.guaranteed || (!guaranteed && run.priority <= priority) ? -1.0 : run.lostWork; };
    constexpr double noBound = std::numeric_limits<double>::max();
    const double bound = guaranteed ? noBound : this->maxLostWork(unit);
    const auto plan = planEviction(snapshot, request, evictionCostOf, noBound);
    if (!plan || plan->lostWork > bound) {
        this->reportEvictionRefusal(unit, plan ? EvictionRefusal::TooMuchLost : EvictionRefusal::NotEnoughResources, plan ? plan->lostWork : 0, bound);
        return false;
    }
    for (const UnitKey& victim : plan->victims) {
        Unit& stopped = this->units.at(victim);
        this->emit(PlanEventKind::UnitEvicted, victim, stopped.run, "", fmt::format("for {}, {:.0f} core-seconds lost", unit.key.job, this->lostWorkOf(stopped, now)));
        ++stopped.evictionCount;
        snapshot.markStopping(victim, stopped.workers);
        this->stopUnit(stopped, now);
    }
    snapshot.allocateAfterStops(request, plan->placement);
    return true;
}

// Reports why a unit that may evict others evicted none, whenever the reason changes. Why an
// urgent unit waited is the first question of an investigation.
void TaskPlanner::reportEvictionRefusal(Unit& unit, EvictionRefusal refusal, double cost, double bound)
{
    if (unit.reportedRefusal == refusal)
        return;
    unit.reportedRefusal = refusal;
    std::string reason = refusal == EvictionRefusal::NotEnoughResources ? "evicting all permitted runs would not free enough resources" : fmt::format("the cheapest eviction loses {:.0f} core-seconds, the limit is {:.0f}", cost, bound);
    this->emit(PlanEventKind::UnitWaits, unit.key, unit.run, "", std::move(reason));
}

} // namespace rattan::tasks
