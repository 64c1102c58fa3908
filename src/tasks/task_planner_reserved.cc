// Use of resources that are reserved for units which cannot start yet. A job that has had nothing
// running for long borrows them; when nothing but borrowed resources is missing for the unit that
// holds a reservation, it takes them back.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

namespace rattan::tasks {

using namespace detail;

// Places one unit of a job that has had nothing running for long while the unit fits twice in
// unused resources. The job's other units respect the reservations. What is committed to units
// that wait for stops is not taken, since the stops take a short time.
bool TaskPlanner::tryPlaceInReserved(Candidate& candidate, Snapshot& snapshot, const PlacementRequest& request, Millis now)
{
    const Unit& unit = *candidate.unit;
    const ActiveJob& active = this->jobs.at(unit.key.job);
    if (active.idleSince == 0 || unit.fitsTwiceSince < active.idleSince || now < unit.fitsTwiceSince + maxIdleBesideReserved)
        return false;
    if (!request.isolatedJob.empty() || this->hasPlacedUnits(active))
        return false;
    PlacementRequest anywhere = request;
    anywhere.usesReserved = true;
    ++this->round.searches;
    const auto places = snapshot.findFree(anywhere);
    if (!places)
        return false;
    this->placeCandidate(candidate, snapshot, anywhere, *places, now);
    candidate.unit->borrows = true;
    return true;
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
