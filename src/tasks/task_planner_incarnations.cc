// Workers that have started again: which runs are lost with the earlier incarnation, and which
// starts may still reach the present one.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>

namespace rattan::tasks {

using namespace detail;

// After a restart a worker runs nothing and knows nothing of before.
void TaskPlanner::loseIncarnation(Worker& worker, Millis now, const char* why)
{
    this->emit(PlanEventKind::WorkerGone, {}, 0, worker.description.incarnation.id, why);
    std::vector<RunRef> lost;
    for (const auto& [run, placedRun] : worker.placedRuns)
        lost.push_back(run);
    for (const RunRef& run : lost)
        this->runLost(worker, run, RunLoss::WorkerEnded, now);
    const WorkerDescription seen = worker.description;
    worker = Worker {};
    worker.description = seen;
    worker.listed = false;
    this->pacer.markChanged();
}

// The worker has started again and knows nothing of before. Runs that it lists
// are of its present incarnation; a start without an answer may still arrive there.
void TaskPlanner::changeIncarnation(Worker& worker, const WorkerReport& report, Millis sentAt, bool quick, Millis now)
{
    this->emit(PlanEventKind::WorkerGone, {}, 0, worker.description.incarnation.id, "a later incarnation answers");
    const Incarnation before = worker.description.incarnation;
    worker.description.incarnation.born = report.born;
    // Another poll showed it, so the one that acknowledges ends may still be on its way.
    if (quick && worker.pollInFlight && worker.ackInFlight > 0)
        worker.ackUnansweredAt = now;
    if (worker.ackUnansweredAt > 0)
        worker.placementBlockedUntil = worker.ackUnansweredAt + longestLateCall;
    worker.handledUpTo = worker.durableUpTo = worker.acknowledgedUpTo = worker.ackInFlight = 0;
    worker.ackDueBy = 0;
    worker.health = {};
    this->endsInBatch.erase(before);
    std::set<RunRef> listed;
    for (const RunningTask& running : report.running)
        listed.insert(running.run);
    for (const EndedTask& end : report.ended)
        listed.insert(end.run);
    std::vector<RunRef> lost;
    std::vector<PlacedRun> unconfirmed;
    for (auto& [run, placedRun] : worker.placedRuns) {
        // One that was confirmed after the poll was sent may be of this incarnation.
        const bool mayBeHere = placedRun.phase == RunPhase::Running && placedRun.confirmedAt >= sentAt;
        if (placedRun.phase == RunPhase::Recording || listed.contains(run) || mayBeHere)
            continue;
        if (placedRun.phase == RunPhase::Running && !mayStartLate(worker, run, now)) {
            lost.push_back(run);
        } else {
            placedRun.phase = RunPhase::Starting;
            placedRun.inherited = false;
            placedRun.requestStop(now);
            placedRun.startRuledOutAt = 0;
            unconfirmed.push_back(placedRun);
        }
    }
    this->stopLateStarts(worker, now);
    // They may have begun and been lost; one that turns up after all is not counted.
    for (const PlacedRun& placedRun : unconfirmed)
        this->countCrash(worker, placedRun, RunLoss::WorkerRestarted);
    for (const RunRef& run : lost)
        this->runLost(worker, run, RunLoss::WorkerRestarted, now);
    for (auto& [run, placedRun] : worker.placedRuns) {
        Unit* unit = placedRun.orphaned ? nullptr : this->find(placedRun.unit);
        if (!unit)
            continue;
        for (Incarnation& incarnation : unit->workers) {
            if (incarnation == before)
                incarnation = worker.description.incarnation;
        }
    }
}

void TaskPlanner::rememberLostStart(Worker& worker, PlacedRun& placedRun, Millis now)
{
    placedRun.hasUnansweredStart = true;
    std::erase_if(worker.unansweredStarts, [now](const auto& row) { return now >= row.second + longestLateCall; });
    worker.unansweredStarts[placedRun.run] = now;
}

bool TaskPlanner::mayStartLate(const Worker& worker, const RunRef& run, Millis now)
{
    const auto found = worker.unansweredStarts.find(run);
    return found != worker.unansweredStarts.end() && now < found->second + longestLateCall;
}

// Calls that got no answer, which a later incarnation would take for its own.
bool TaskPlanner::mayHaveLateCalls(const Worker& worker, Millis now)
{
    const bool ackMayCome = worker.ackUnansweredAt > 0 && now < worker.ackUnansweredAt + longestLateCall;
    return ackMayCome || std::any_of(worker.unansweredStarts.begin(), worker.unansweredStarts.end(), [now](const auto& row) { return now < row.second + longestLateCall; });
}

// A later incarnation knows of no run that ended before. Of one whose start had no answer it
// would take that start for a new one, and the task would run there beside its next run.
void TaskPlanner::stopLateStarts(Worker& worker, Millis now)
{
    for (const auto& [run, lostAt] : worker.unansweredStarts) {
        if (!mayStartLate(worker, run, now) || worker.placedRuns.contains(run))
            continue;
        PlacedRun late { .run = run, .unit = this->unitOf(run.task) };
        late.orphaned = true;
        late.phase = RunPhase::Starting;
        late.resources = this->roomOf(run.task);
        late.requestStop(now);
        worker.used += late.resources;
        worker.placedRuns.emplace(run, late);
    }
}

} // namespace rattan::tasks
