// Events that explain decisions in the log: one event for each rare decision, counts for routine
// ones.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>
#include <fmt/format.h>
#include <string_view>
#include <utility>

namespace rattan::tasks {

using namespace detail;

void TaskPlanner::emit(PlanEventKind kind, const UnitKey& key, std::int64_t run, std::string worker, std::string detail)
{
    if (++this->eventCounts[kind] <= maxEventsPerKind)
        this->events.push_back({ kind, key.job, fmt::format("{}.{}.{}", key.occurrence, key.step, key.index), run, std::move(worker), std::move(detail) });
}

void TaskPlanner::reportPlaced(const Unit& unit, Millis now)
{
    const std::int64_t priority = unit.terms->priority;
    if (unit.key.index != wholeGang && unit.run == 1 && priority > 0) {
        ++this->placedTaskCounts[{ unit.key.job, unit.key.occurrence, unit.key.step }];
        return;
    }
    const bool guaranteed = this->jobs.at(unit.key.job).guaranteed;
    this->emit(PlanEventKind::UnitPlaced, unit.key, unit.run, unit.workers.front().id,
        fmt::format("waited {} ms, {} members, priority {}{}, declared {} ms", now - unit.waitingSince, unit.workers.size(), priority, guaranteed ? ", guaranteed" : "", unit.step().estimate));
}

void TaskPlanner::reportRoutineCounts()
{
    for (const auto& [step, count] : std::exchange(this->placedTaskCounts, {}))
        this->emit(PlanEventKind::TasksPlaced, { step.job, step.occurrence, step.step, 0 }, 1, "", fmt::format("{} tasks", count));
    if (const std::int64_t count = std::exchange(this->completedUnitCount, 0); count > 0)
        this->emit(PlanEventKind::UnitsDone, {}, 0, "", fmt::format("{} units", count));
}

void TaskPlanner::reportGuaranteeWait(Candidate& candidate, const Snapshot& snapshot, const PlacementRequest& request, Millis now)
{
    Unit& unit = *candidate.unit;
    if (!candidate.queueKey.guaranteed || now - std::max(unit.waitingSince, unit.waitReportedAt) < guaranteeWaitReportInterval)
        return;
    unit.waitReportedAt = now;
    const Snapshot::AvailableMembers offered = snapshot.countAvailableMembers(request);
    this->emit(PlanEventKind::GuaranteeWaits, unit.key, unit.run, "",
        fmt::format("for {} ms, {} members of {} accelerators, room for {} now and {} after stops, {} workers of {} take work, {}", now - unit.waitingSince, request.members,
            request.perMember.accelerators, offered.startable, offered.afterStops, snapshot.workers.size(), this->workers.size(), this->pendingStopsText(now)));
}

// Searches all waiting units, not only the candidates of the round, so that a unit that no round
// considers is reported too.
void TaskPlanner::reportOldestWait(const std::vector<Candidate>& candidates, const std::map<std::string, Snapshot>& snapshots, Millis now)
{
    if (now - this->lastWaitReportAt < waitReportInterval)
        return;
    const Unit* oldest = nullptr;
    for (const UnitKey& key : this->waitingUnits) {
        const Unit& unit = this->units.at(key);
        if (!oldest || unit.waitingSince < oldest->waitingSince)
            oldest = &unit;
    }
    if (!oldest || now - oldest->waitingSince < minReportedWait)
        return;
    this->lastWaitReportAt = now;
    const std::string& service = oldest->terms->service;
    std::string resourcesText = "no snapshot of its service";
    if (const auto snapshot = snapshots.find(service); snapshot != snapshots.end()) {
        const Snapshot::AvailableMembers offered = snapshot->second.countAvailableMembers(this->requestOf(*oldest));
        resourcesText = fmt::format("room for {} of {} members, {} unreserved, {} now", offered.free, oldest->members(), offered.unreserved, offered.startable);
    }
    const Millis recording = this->isBatchPending ? now - this->batchCreatedAt : 0;
    this->emit(PlanEventKind::WorkWaits, oldest->key, oldest->run, "",
        fmt::format("for {} ms, {}; {}; {} units wait, {} of them in this round; workers: {}; {}; {}; record under way for {} ms", now - oldest->waitingSince, detail::nameOf(oldest->waitReason), resourcesText,
            this->waitingUnits.size(), candidates.size(), this->availabilityText(service, now), this->overduePollsText(now), this->pendingStopsText(now), recording));
}

std::string TaskPlanner::availabilityText(const std::string& service, Millis now) const
{
    AvailabilityCounts workerCounts;
    for (const auto& [id, worker] : this->workers) {
        if (worker.description.service == service)
            workerCounts.add(this->availabilityOf(worker, now));
    }
    return textOf(workerCounts);
}

// Describes overdue polls. Until such a worker is polled, the planner neither reads its ends nor
// sees the resources they free.
std::string TaskPlanner::overduePollsText(Millis now) const
{
    std::int64_t overdue = 0;
    Millis maxWaited = 0;
    std::int64_t unrecorded = 0;
    for (const auto& [id, worker] : this->workers) {
        unrecorded += worker.handledUpTo > worker.durableUpTo ? 1 : 0;
        // An idle worker is not polled, so time before its last start does not count.
        const Millis waited = now - std::max({ worker.nextPollAt, worker.lastStartAt, this->termStartedAt });
        if (worker.pollInFlight || !worker.needsLease() || waited < overduePollThreshold)
            continue;
        ++overdue;
        maxWaited = std::max(maxWaited, waited);
    }
    return fmt::format("{} polls overdue, the longest for {} ms, {} workers with ends not recorded", overdue, maxWaited, unrecorded);
}

// Describes the pending stops: their number, and the oldest, for which either the answer to the
// stop or the run's end is late.
std::string TaskPlanner::pendingStopsText(Millis now) const
{
    std::int64_t count = 0;
    const PlacedRun* oldest = nullptr;
    std::string_view worker;
    for (const auto& [id, state] : this->workers) {
        for (const auto& [run, placedRun] : state.placedRuns) {
            if (!placedRun.stopRequested)
                continue;
            ++count;
            if (oldest && oldest->stopRequestedAt <= placedRun.stopRequestedAt)
                continue;
            oldest = &placedRun;
            worker = id;
        }
    }
    if (!oldest)
        return "no stops under way";
    const TaskRef& task = oldest->run.task;
    return fmt::format("{} stops under way, the oldest of {}.{}.{}.{} run {} at {} for {} ms, {}", count, task.job, task.occurrence, task.step, task.index, oldest->run.run, worker,
        now - oldest->stopRequestedAt, oldest->startRuledOutAt > 0 ? "answered" : "not answered");
}

} // namespace rattan::tasks
