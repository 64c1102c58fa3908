// Units of idle jobs give up their preferences (see Preference): a unit of a job that has had nothing
// running for long is placed by what it needs alone. If it borrows resources that are reserved for
// another unit, that unit takes them back when nothing else is missing for it.
//
// All preferences share one clock, which runs while the job has nothing running beside resources for
// two such units. Bounds of their own would add up, or begin anew with each run that is stopped. The
// clock begins anew after a failure and after a crash: these are new reasons for the preferences.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

namespace rattan::tasks {

using namespace detail;

// Since when the unit has been idle, for the bounds on its preferences: with its whole job, but for a
// task that runs until its job is cancelled, whose callers depend on that task.
Millis TaskPlanner::idleSinceOf(const Unit& unit) const
{
    return unit.step().longRunning ? unit.idleSince : this->jobs.at(unit.key.job).idleSince;
}

// Whether the unit has been idle for this long beside resources for two of it. If not, requests a round
// at that time; on a slow machine rounds are rare, so that the last one before counts.
bool TaskPlanner::isPassedOver(const Unit& unit, Millis duration, Millis now)
{
    const Millis idleSince = this->idleSinceOf(unit);
    if (idleSince == 0 || unit.passedOverSince < idleSince)
        return false;
    const Millis at = unit.passedOverSince + duration - std::min(this->pacer.fullPause(), duration / 2);
    if (now >= at)
        return true;
    this->pacer.scheduleBy(at);
    return false;
}

// The workers on which the last attempt of the unit would probably fail too: it failed there, and no
// run has succeeded there since. Empty if the unit has more attempts left.
std::vector<std::string> TaskPlanner::failingWorkersOf(const Unit& unit) const
{
    std::vector<std::string> failing;
    if (static_cast<std::int64_t>(unit.failedRuns.size()) + 1 < unit.job->terms.maxAttempts)
        return failing;
    for (const std::string& id : unit.excludedWorkers) {
        const auto worker = this->workers.find(id);
        if (worker != this->workers.end() && worker->second.health.hasFailedLast())
            failing.push_back(id);
    }
    return failing;
}

void TaskPlanner::restartPreferences(Unit& unit, Millis now)
{
    unit.passedOverSince = 0;
    unit.fitsCheckedAt = now;
}

// Places one unit of a job that has been passed over, giving up as few preferences as possible. The
// job's other units keep theirs. What is committed to units that wait for stops is not taken, since
// the stops take a short time.
bool TaskPlanner::tryPlaceWithoutPreferences(Candidate& candidate, Snapshot& snapshot, const PlacementRequest& request, Millis now)
{
    const Unit& unit = *candidate.unit;
    if (!this->isPassedOver(unit, maxIdleBesideReserved, now))
        return false;
    if (!unit.step().longRunning && this->hasStartingUnits(this->jobs.at(unit.key.job), now))
        return false;
    const std::vector<std::string> failingWorkers = this->failingWorkersOf(unit);
    for (const Preference last : preferences) {
        if (last != Preference::Unreserved && !this->isPassedOver(unit, maxIdleBesideUnused, now))
            return false;
        PlacementRequest relaxed = withoutPreferences(request, last);
        if (last >= Preference::OtherWorkers)
            relaxed.excludedWorkers = &failingWorkers;
        for (const bool usesReserved : { false, true }) {
            relaxed.usesReserved = usesReserved;
            ++this->round.searches;
            const auto places = snapshot.findFree(relaxed);
            if (!places)
                continue;
            this->placeCandidate(candidate, snapshot, relaxed, *places, now);
            candidate.unit->borrows = usesReserved;
            return true;
        }
    }
    return false;
}

// Whether a unit of the idle job was placed a short time ago and probably starts soon. Runs that were
// placed before may be in doubt for as long as a lease.
bool TaskPlanner::hasStartingUnits(const ActiveJob& active, Millis now) const
{
    for (auto next = this->units.lower_bound({ active.job->id, 0, 0, wholeGang }); next != this->units.end() && next->first.job == active.job->id; ++next) {
        if (next->second.state == UnitState::Running && now < next->second.placedAt + maxIdleBesideReserved)
            return true;
    }
    return false;
}

// Whether the unit may stop others to use resources that are reserved for it. Without that, a gang
// that needs most workers would never start, since jobs that wait meanwhile borrow again and
// again. Urgent units stop others by their own rules, and a unit that fits twice can borrow.
bool TaskPlanner::mayTakeBack(const Candidate& candidate, Millis now) const
{
    const Unit& unit = *candidate.unit;
    return unit.terms->priority > 0 && unit.fitsTwiceSince == 0 && now >= candidate.latestStarts.inTime;
}

// Stops only units that were placed in reserved resources while this one waited for them.
bool TaskPlanner::tryTakeBack(Candidate& candidate, Snapshot& snapshot, const PlacementRequest& request, Millis now)
{
    const Unit& unit = *candidate.unit;
    const std::int64_t priority = unit.terms->priority;
    const auto lostWorkIfTaken = [&](const Allocation& run) { return run.borrowed && !run.guaranteed && run.priority >= priority && run.placedAt >= unit.waitingSince ? run.lostWork : -1.0; };
    const auto plan = planEviction(snapshot, request, lostWorkIfTaken, this->maxLostWork(candidate, now) / maxLostWorkFraction);
    if (!plan || plan->victims.empty())
        return false; // Without victims, the unit can't start there for another reason.
    this->evict(*plan, unit, snapshot, request, now);
    return true;
}

} // namespace rattan::tasks
