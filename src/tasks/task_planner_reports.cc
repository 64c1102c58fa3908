// Events that explain decisions afterwards: one for each that is rare, counts for what is
// routine.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace rattan::tasks {

using namespace detail;

void TaskPlanner::emit(PlanEventKind kind, const UnitKey& key, std::int64_t run, std::string worker, std::string detail)
{
    if (++this->eventCounts[kind] <= mostPlanEvents)
        this->events.push_back({ kind, key.job, fmt::format("{}.{}.{}", key.occurrence, key.step, key.index), run, std::move(worker), std::move(detail) });
}

void TaskPlanner::reportPlaced(const Unit& unit, Millis now)
{
    const std::int64_t priority = unit.job->terms.priority;
    if (unit.key.index != wholeGang && unit.run == 1 && priority > 0) {
        ++this->tasksPlaced[{ unit.key.job, unit.key.occurrence, unit.key.step }];
        return;
    }
    const bool guaranteed = this->jobs.at(unit.key.job).guaranteed;
    this->emit(PlanEventKind::UnitPlaced, unit.key, unit.run, unit.workers.front().id,
        fmt::format("waited {} ms, {} members, priority {}{}, declared {} ms", now - unit.waitingSince, unit.workers.size(), priority, guaranteed ? ", guaranteed" : "", unit.step().estimate));
}

void TaskPlanner::reportRoutine()
{
    for (const auto& [step, count] : std::exchange(this->tasksPlaced, {}))
        this->emit(PlanEventKind::TasksPlaced, { step.job, step.occurrence, step.step, 0 }, 1, "", fmt::format("{} tasks", count));
    if (const std::int64_t count = std::exchange(this->unitsDone, 0); count > 0)
        this->emit(PlanEventKind::UnitsDone, {}, 0, "", fmt::format("{} units", count));
}

void TaskPlanner::reportWait(Candidate& candidate, const Snapshot& snapshot, const PlacementRequest& request, Millis now)
{
    Unit& unit = *candidate.unit;
    if (!candidate.queueKey.guaranteed || now - std::max(unit.waitingSince, unit.waitReportedAt) < guaranteeWaitReported)
        return;
    unit.waitReportedAt = now;
    const Snapshot::Offered offered = snapshot.offered(request);
    std::int64_t stops = 0;
    const PlacedRun* oldest = nullptr;
    const std::string* worker = nullptr;
    for (const auto& [id, state] : this->workers) {
        for (const auto& [run, placedRun] : state.placedRuns) {
            if (!placedRun.stopWanted)
                continue;
            ++stops;
            if (!oldest || placedRun.stopWantedAt < oldest->stopWantedAt) {
                oldest = &placedRun;
                worker = &id;
            }
        }
    }
    const std::string stop = oldest ? fmt::format(", the oldest of {}.{}.{}.{} run {} for {} ms, {}", oldest->run.task.job, oldest->run.task.occurrence, oldest->run.task.step, oldest->run.task.index, oldest->run.run,
                                 now - oldest->stopWantedAt, oldest->stopAnsweredAt > 0 ? "answered" : "not answered")
                                    : "";
    this->emit(PlanEventKind::GuaranteeWaits, unit.key, unit.run, worker ? *worker : "",
        fmt::format("for {} ms, {} members of {} accelerators, room for {} now and {} after stops, {} workers of {} take work, {} stops under way{}", now - unit.waitingSince, request.members,
            request.each.accelerators, offered.now, offered.afterStops, snapshot.workers.size(), this->workers.size(), stops, stop));
}

} // namespace rattan::tasks
