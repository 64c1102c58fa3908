// Use of resources that a unit needs but prefers not to use, or that are reserved for units which
// cannot start yet. A unit of a job that has had nothing running for long takes them; when nothing but
// borrowed resources is missing for the unit that holds a reservation, it takes them back.
//
// All preferences share one clock, which runs while the job has nothing running beside resources for
// two such units. Bounds of their own would add up, or begin anew with each run that is stopped.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

namespace rattan::tasks {

using namespace detail;

// Since when the unit has been idle, for the bounds on its preferences: with its whole job, but for a
// task that runs until its job is cancelled, whose callers depend on that task.
Millis TaskPlanner::idleSinceOf(const Unit& unit) const
{
    return unit.step().longRunning ? unit.waitingSince : this->jobs.at(unit.key.job).idleSince;
}

bool TaskPlanner::isPassedOver(const Unit& unit, Millis duration, Millis now) const
{
    const Millis idleSince = this->idleSinceOf(unit);
    return idleSince > 0 && unit.passedOverSince >= idleSince && now >= unit.passedOverSince + duration;
}

// Places one unit of a job that has been passed over, giving up as few preferences as possible. The
// job's other units keep theirs. What is committed to units that wait for stops is not taken, since
// the stops take a short time.
bool TaskPlanner::tryPlaceWithoutPreferences(Candidate& candidate, Snapshot& snapshot, const PlacementRequest& request, Millis now)
{
    const Unit& unit = *candidate.unit;
    if (!this->isPassedOver(unit, maxIdleBesideReserved, now))
        return false;
    if (!unit.step().longRunning && this->hasPlacedUnits(this->jobs.at(unit.key.job)))
        return false;
    for (const Preference last : preferences) {
        if (last != Preference::Unreserved && !this->isPassedOver(unit, maxIdleBesideUnused, now))
            return false;
        const PlacementRequest relaxed = withoutPreferences(request, last);
        ++this->round.searches;
        if (const auto places = snapshot.findFree(relaxed)) {
            this->placeCandidate(candidate, snapshot, relaxed, *places, now);
            candidate.unit->borrows = true;
            return true;
        }
    }
    return false;
}

bool TaskPlanner::hasPlacedUnits(const ActiveJob& active) const
{
    for (auto next = this->units.lower_bound({ active.job->id, 0, 0, wholeGang }); next != this->units.end() && next->first.job == active.job->id; ++next) {
        if (next->second.state == UnitState::Running)
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
    return unit.job->terms.priority > 0 && unit.fitsTwiceSince == 0 && now >= candidate.latestStarts.inTime;
}

// Stops only units that were placed in reserved resources while this one waited for them.
bool TaskPlanner::tryTakeBack(Candidate& candidate, Snapshot& snapshot, const PlacementRequest& request, Millis now)
{
    const Unit& unit = *candidate.unit;
    const std::int64_t priority = unit.job->terms.priority;
    const auto lostWorkIfTaken = [&](const Allocation& run) { return run.borrowed && !run.guaranteed && run.priority >= priority && run.placedAt >= unit.waitingSince ? run.lostWork : -1.0; };
    const auto plan = planEviction(snapshot, request, lostWorkIfTaken, this->maxLostWork(candidate, now) / maxLostWorkFraction);
    if (!plan || plan->victims.empty())
        return false; // Without victims, the unit can't start there for another reason.
    this->evict(*plan, unit, snapshot, request, now);
    return true;
}

} // namespace rattan::tasks
