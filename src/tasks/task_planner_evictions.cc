// Eviction: which units a unit may stop to free resources, and how much work they lose.

#include "tasks/eviction.h"
#include "tasks/planner_limits.h"
#include "tasks/preemption.h"
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

void TaskPlanner::updatePaths(ActiveJob& active, Millis now) const
{
    constexpr Millis interval = 1000;
    if (active.pathsAt > 0 && now < active.pathsAt + interval)
        return;
    active.pathsAt = now;
    active.paths = pathsOf(*active.job, [&](const Step& step) { return this->runTimes.forecast(active.job->terms.queue, step.estimate).work; });
}

Deadlines TaskPlanner::deadlinesOf(const Unit& unit) const
{
    const Job& job = *unit.job;
    const Millis waitingSince = (job.repeats > 0 ? job.dueAt(unit.key.occurrence) : job.acceptedAt) - this->wallOffset;
    return tasks::deadlinesOf(job.terms, this->jobs.at(unit.key.job).paths.whole, waitingSince);
}

double TaskPlanner::stopWeightOf(const Unit& unit, Millis now) const
{
    const JobPaths& paths = this->jobs.at(unit.key.job).paths;
    if (unit.step().longRunning || paths.after.empty())
        return 1; // It has no end by which it could be late, or it was adopted in this turn.
    const Deadlines deadlines = this->deadlinesOf(unit);
    const Millis after = paths.after[static_cast<std::size_t>(unit.key.step)];
    return stopWeight(valueOfEnd(deadlines, this->expectedEnd(unit, now) + after), valueOfEnd(deadlines, now + this->expectedRunTime(unit) + after));
}

// The lost work, weighted by what the result is worth, and by the number of earlier evictions
// unless the unit saves its progress. Without the latter, a unit that has just restarted would
// always be the cheapest and would be evicted again.
double TaskPlanner::evictionCost(const Unit& unit, Millis now) const
{
    const double lost = this->lostWorkOf(unit, now) * this->stopWeightOf(unit, now);
    return unit.step().savesProgress ? lost : lost * static_cast<double>(1 + unit.evictionCount);
}

// The work in core-seconds that others may lose so that a unit which is not guaranteed can start
// now.
double TaskPlanner::maxLostWork(const Candidate& candidate, Millis now) const
{
    const Unit& unit = *candidate.unit;
    if (unit.terms->priority == 0)
        return maxUrgentLostCoreSeconds * (now > candidate.latestStarts.inTime ? lateValue : 1);
    const double work = coreEquivalents(unit.step().perTask) * static_cast<double>(unit.members() * this->expectedRunTime(unit)) / 1000.0;
    return work * maxLostWorkFraction;
}

bool TaskPlanner::canEvict(const Candidate& candidate, Millis now)
{
    if (candidate.queueKey.isTooLate && !candidate.queueKey.guaranteed)
        return false;
    if (candidate.unit->terms->priority == 0)
        return true;
    const Millis evictionAllowedAt = candidate.queueKey.latestStart - evictionLeadTime;
    if (now >= evictionAllowedAt)
        return true;
    this->pacer.scheduleBy(evictionAllowedAt);
    return false;
}

// False if the unit can wait for runs that end by themselves. See preemption.h.
bool TaskPlanner::mustStopOthers(const Candidate& candidate, const std::optional<Snapshot::Reservation>& reservation, Millis now)
{
    PreemptionInputs inputs;
    inputs.guaranteed = candidate.queueKey.guaranteed;
    inputs.hasStartBound = inputs.guaranteed && candidate.unit->step().dependsOn.empty();
    inputs.waitingSince = candidate.waitingSince;
    inputs.latestStarts = candidate.latestStarts;
    inputs.expectedRunTime = this->expectedRunTime(*candidate.unit);
    if (reservation)
        inputs.freeAt = reservation->at;
    inputs.now = now;
    const PreemptionChoice choice = choosePreemption(inputs);
    if (!choice.stopNow)
        this->pacer.scheduleBy(choice.reconsiderAt);
    return choice.stopNow;
}

bool TaskPlanner::tryEvict(Candidate& candidate, Snapshot& snapshot, const PlacementRequest& request, Millis now)
{
    Unit& unit = *candidate.unit;
    const bool guaranteed = candidate.queueKey.guaranteed;
    const std::int64_t priority = unit.terms->priority;
    const auto evictionCostOf = [&](const Allocation& run) {
        if (run.guaranteed || (!guaranteed && (run.priority <= priority || run.stops >= maxStopsPerUnit)))
            return -1.0;
        return run.borrowed && priority == 0 ? 0.0 : run.lostWork; // The workers were kept for urgent units.
    };
    constexpr double noBound = std::numeric_limits<double>::max();
    const double bound = guaranteed ? noBound : this->maxLostWork(candidate, now);
    const auto plan = planEviction(snapshot, request, evictionCostOf, noBound);
    if (!plan || plan->lostWork > bound) {
        this->reportEvictionRefusal(unit, plan ? EvictionRefusal::TooMuchLost : EvictionRefusal::NotEnoughResources, plan ? plan->lostWork : 0, bound);
        return false;
    }
    this->evict(*plan, unit, snapshot, request, now);
    return true;
}

void TaskPlanner::evict(const EvictionPlan& plan, const Unit& unit, Snapshot& snapshot, const PlacementRequest& request, Millis now)
{
    for (const UnitKey& victim : plan.victims) {
        Unit& stopped = this->units.at(victim);
        this->emit(PlanEventKind::UnitEvicted, victim, stopped.run, "", fmt::format("for {}, {:.0f} core-seconds lost", unit.key.job, this->lostWorkOf(stopped, now)));
        ++stopped.evictionCount;
        snapshot.markStopping(victim, stopped.workers);
        this->stopUnit(stopped, now);
    }
    snapshot.allocateAfterStops(request, plan.placement);
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
