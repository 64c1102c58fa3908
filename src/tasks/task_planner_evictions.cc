// Which runs a unit may stop to get room, and what they lose.

#include "tasks/eviction.h"
#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <fmt/format.h>

namespace rattan::tasks {

using namespace detail;

// What would have to be done again, in core-seconds. A run that saves its
// progress does so when it is stopped, and loses next to nothing.
double TaskPlanner::lostWork(const Unit& unit, Millis now) const
{
    constexpr double restartSeconds = 0.3;
    const double weight = coreEquivalents(unit.step().perTask) * static_cast<double>(unit.members());
    if (unit.startedAt == 0)
        return weight * restartSeconds;
    const double ran = static_cast<double>(now - unit.startedAt + unit.inheritedWork.value_or(0)) / 1000.0;
    return weight * (unit.step().savesProgress ? restartSeconds : ran + restartSeconds);
}

// As a choice of whom to stop counts it: else the same unit, begun anew each time, would
// always be the cheapest.
double TaskPlanner::evictionCost(const Unit& unit, Millis now) const
{
    const double lost = this->lostWork(unit, now);
    return unit.step().savesProgress ? lost : lost * static_cast<double>(1 + unit.evictionCount);
}

// Core-seconds of others' work that may be thrown away so that a unit which is
// not guaranteed begins now.
double TaskPlanner::worthLosing(const Unit& unit) const
{
    if (unit.job->terms.priority == 0)
        return mostLostWork;
    const double work = coreEquivalents(unit.step().perTask) * static_cast<double>(unit.members() * this->expectedRun(unit)) / 1000.0;
    return work * mostLostShare;
}

bool TaskPlanner::mayEvict(const Candidate& candidate, Millis now)
{
    if (candidate.queueKey.isTooLate && !candidate.queueKey.guaranteed)
        return false;
    if (candidate.unit->job->terms.priority == 0)
        return true;
    const Millis patientUntil = candidate.queueKey.latestStart - evictionLead;
    if (now >= patientUntil)
        return true;
    this->pacer.scheduleBy(patientUntil);
    return false;
}

bool TaskPlanner::tryEvict(Candidate& candidate, Snapshot& snapshot, const PlacementRequest& request, Millis now)
{
    Unit& unit = *candidate.unit;
    const bool guaranteed = candidate.queueKey.guaranteed;
    const std::int64_t priority = unit.job->terms.priority;
    const auto lost = [&](const Allocation& run) { return run.guaranteed || (!guaranteed && run.priority <= priority) ? -1.0 : run.lostWork; };
    constexpr double noBound = std::numeric_limits<double>::max();
    const double bound = guaranteed ? noBound : this->worthLosing(unit);
    const auto plan = planEviction(snapshot, request, lost, noBound);
    if (!plan || plan->lostWork > bound) {
        this->tellRefusal(unit, plan ? EvictionRefusal::TooMuchLost : EvictionRefusal::NoRoom, plan ? plan->lostWork : 0, bound);
        return false;
    }
    for (const UnitKey& victim : plan->victims) {
        Unit& stopped = this->units.at(victim);
        this->emit(PlanEventKind::UnitEvicted, victim, stopped.run, "", fmt::format("for {}, {:.0f} core-seconds lost", unit.key.job, this->lostWork(stopped, now)));
        ++stopped.evictionCount;
        snapshot.markStopping(victim, stopped.workers);
        this->stopUnit(stopped, now);
    }
    snapshot.allocateAfterStops(request, plan->placement);
    return true;
}

// An urgent unit that waits is the first thing asked about afterwards.
void TaskPlanner::tellRefusal(Unit& unit, EvictionRefusal refusal, double cost, double bound)
{
    if (unit.reportedRefusal == refusal)
        return;
    unit.reportedRefusal = refusal;
    std::string why = refusal == EvictionRefusal::NoRoom ? "no runs that it may stop make room" : fmt::format("the cheapest choice loses {:.0f} core-seconds, {:.0f} are allowed", cost, bound);
    this->emit(PlanEventKind::UnitWaits, unit.key, unit.run, "", std::move(why));
}

} // namespace rattan::tasks
