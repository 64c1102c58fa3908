// Restarted workers: which runs were lost with the earlier incarnation, and which starts may
// still reach the current one.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>

namespace rattan::tasks {

using namespace detail;

// All runs on the worker are lost: another incarnation is in its place, which has no runs of the
// earlier one.
void TaskPlanner::loseIncarnation(Worker& worker, Millis now, const char* reason)
{
    this->emit(PlanEventKind::WorkerGone, {}, 0, worker.description.incarnation.id, reason);
    std::vector<RunRef> lost;
    for (const auto& [run, placedRun] : worker.placedRuns)
        lost.push_back(run);
    for (const RunRef& run : lost)
        this->loseRun(worker, run, RunLoss::WorkerEnded, now);
    const WorkerDescription seen = worker.description;
    worker = Worker {};
    worker.description = seen;
    worker.listed = false;
    this->pacer.markChanged();
}

// The worker has restarted and keeps no state of its earlier incarnation. Runs that it lists
// belong to the current incarnation; an unanswered start may still arrive there.
void TaskPlanner::changeIncarnation(Worker& worker, const WorkerReport& report, Millis sentAt, bool concurrent, Millis now)
{
    this->emit(PlanEventKind::WorkerGone, {}, 0, worker.description.incarnation.id, "a later incarnation answers");
    const Incarnation earlier = worker.description.incarnation;
    worker.description.incarnation.born = report.born;
    // The restart was shown by a concurrent poll, so a pending poll that acknowledges ends may
    // still arrive at the current incarnation.
    if (concurrent && worker.pollInFlight && worker.ackInFlight > 0)
        worker.ackUnansweredAt = now;
    if (worker.ackUnansweredAt > 0)
        worker.placementBlockedUntil = worker.ackUnansweredAt + maxCallDelay;
    worker.handledUpTo = worker.durableUpTo = worker.acknowledgedUpTo = worker.ackInFlight = 0;
    worker.ackDueBy = 0;
    worker.hasMoreEnds = report.hasMoreEnds;
    worker.health = {};
    this->endsInBatch.erase(earlier);
    std::set<RunRef> listed;
    for (const RunningTask& running : report.running)
        listed.insert(running.run);
    for (const EndedTask& end : report.ended)
        listed.insert(end.run);
    std::vector<RunRef> lost;
    std::vector<PlacedRun> unconfirmed;
    for (auto& [run, placedRun] : worker.placedRuns) {
        // A run that was confirmed after the poll was sent may belong to the current incarnation.
        const bool couldBePresent = placedRun.phase == RunPhase::Running && placedRun.confirmedAt >= sentAt;
        if (placedRun.phase == RunPhase::Recording || listed.contains(run) || couldBePresent)
            continue;
        // A run that was started shortly before the restart was noticed may have ended in the current
        // incarnation, and its end may not be listed yet.
        if (placedRun.phase == RunPhase::Running && !report.hasMoreEnds && !canStartLate(worker, run, now)) {
            lost.push_back(run);
        } else {
            unconfirmed.push_back(placedRun);
            placedRun.phase = RunPhase::Starting;
            placedRun.inherited = false;
            placedRun.requestStop(now);
            placedRun.startRuledOutAt = 0;
        }
    }
    this->stopLateStarts(worker, now);
    // The unconfirmed runs may have started and been lost in a crash. The crash is retracted for a
    // run that is listed later.
    for (const PlacedRun& placedRun : unconfirmed) {
        if (const auto evidence = this->evidenceOf(worker, placedRun, RunLoss::WorkerRestarted))
            this->addCrash(placedRun, *evidence, now);
    }
    for (const RunRef& run : lost)
        this->loseRun(worker, run, RunLoss::WorkerRestarted, now);
    for (auto& [run, placedRun] : worker.placedRuns) {
        Unit* unit = placedRun.orphaned ? nullptr : this->find(placedRun.unit);
        if (!unit)
            continue;
        for (Incarnation& incarnation : unit->workers) {
            if (incarnation == earlier)
                incarnation = worker.description.incarnation;
        }
    }
}

void TaskPlanner::rememberLostStart(Worker& worker, PlacedRun& placedRun, Millis now)
{
    placedRun.hasUnansweredStart = true;
    std::erase_if(worker.unansweredStarts, [now](const auto& row) { return now >= row.second + maxCallDelay; });
    worker.unansweredStarts[placedRun.run] = now;
}

bool TaskPlanner::canStartLate(const Worker& worker, const RunRef& run, Millis now)
{
    const auto found = worker.unansweredStarts.find(run);
    return found != worker.unansweredStarts.end() && now < found->second + maxCallDelay;
}

// Whether unanswered calls may still be executed by a later incarnation, which cannot tell that
// they were meant for an earlier one.
bool TaskPlanner::canReceiveLateCalls(const Worker& worker, Millis now)
{
    const bool canReceiveLateAck = worker.ackUnansweredAt > 0 && now < worker.ackUnansweredAt + maxCallDelay;
    return canReceiveLateAck || std::any_of(worker.unansweredStarts.begin(), worker.unansweredStarts.end(), [now](const auto& row) { return now < row.second + maxCallDelay; });
}

// Stops runs whose unanswered start may still arrive. A later incarnation does not know which
// runs have ended, so it would execute such a start, and the task would run twice at the same
// time.
void TaskPlanner::stopLateStarts(Worker& worker, Millis now)
{
    for (const auto& [run, lostAt] : worker.unansweredStarts) {
        if (!canStartLate(worker, run, now) || worker.placedRuns.contains(run))
            continue;
        PlacedRun lateStart { .run = run, .unit = this->unitOf(run.task) };
        lateStart.orphaned = true;
        lateStart.phase = RunPhase::Starting;
        lateStart.resources = this->resourcesOf(run.task);
        lateStart.requestStop(now);
        worker.used += lateStart.resources;
        worker.placedRuns.emplace(run, lateStart);
    }
}

} // namespace rattan::tasks
