// Use of resources that are reserved for units which cannot start yet. A job that has had nothing
// running for long borrows them; when nothing but borrowed resources is missing for the unit that
// holds a reservation, it takes them back.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <limits>

namespace rattan::tasks {

using namespace detail;

// A reservation is worth less than the progress of a job that has had nothing running for long
// while its unit fits twice in unused resources. One unit is enough: the others respect the
// reservations. What is committed to units that wait for stops is not taken, since the stops take
// a short time.
bool TaskPlanner::tryPlaceInReserved(Candidate& candidate, Snapshot& snapshot, const PlacementRequest& request, Millis now)
{
    const ActiveJob& active = this->jobs.at(candidate.unit->key.job);
    if (active.fitsTwiceSince == 0 || now < active.fitsTwiceSince + maxIdleBesideReserved || !request.isolatedJob.empty() || this->hasPlacedUnits(active))
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

// Stops only units that were placed in reserved resources while this one waited for them, if it
// would be late otherwise. Without that, a gang that needs most workers would wait for ever, as
// jobs that wait for it to begin borrow again and again. A unit that fits twice can borrow itself.
bool TaskPlanner::tryReclaim(Candidate& candidate, Snapshot& snapshot, const PlacementRequest& request, Millis now)
{
    const Unit& unit = *candidate.unit;
    const std::int64_t priority = unit.job->terms.priority;
    if (priority == 0 || now < candidate.latestStarts.inTime || this->jobs.at(unit.key.job).fitsTwiceSince > 0)
        return false; // An urgent unit stops others by its own rules.
    const auto evictionCostOf = [&](const Allocation& run) { return run.borrowed && !run.guaranteed && run.priority >= priority && run.placedAt >= unit.waitingSince ? run.lostWork : -1.0; };
    const auto plan = planEviction(snapshot, request, evictionCostOf, std::numeric_limits<double>::max());
    if (!plan || plan->lostWork > this->maxLostWork(candidate, now) / maxLostWorkFraction)
        return false;
    this->evict(*plan, unit, snapshot, request, now);
    return true;
}

} // namespace rattan::tasks
