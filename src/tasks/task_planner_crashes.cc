// Runs that are lost with their workers, and tasks that may be the cause: what each loss proves,
// when a job fails because of them, and how a suspect task is isolated until it has survived its
// start.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <utility>

namespace rattan::tasks {

using namespace detail;

namespace {

    constexpr std::array<std::string_view, 3> runLossNames { "its worker was replaced", "its worker restarted", "its lease expired" };

} // namespace

std::string_view detail::nameOf(RunLoss loss) { return runLossNames.at(static_cast<std::size_t>(loss)); }

// Removes a run that is considered lost because its worker was replaced, restarted, or did not
// answer until its lease expired. The event lets the log distinguish a crash under a task from an
// eviction, and shows how many runs the worker had and what the loss proves against the task.
void TaskPlanner::loseRun(Worker& worker, const RunRef& ref, RunLoss loss, Millis now)
{
    const RunRef run = ref;
    const auto found = worker.placedRuns.find(run);
    if (found == worker.placedRuns.end())
        return;
    const PlacedRun placedRun = found->second;
    const std::string confirmed = placedRun.confirmedAt > 0 ? fmt::format("confirmed {} ms ago", now - placedRun.confirmedAt) : "never confirmed";
    const std::optional<CrashEvidence> evidence = this->evidenceOf(worker, placedRun, loss);
    this->emit(PlanEventKind::RunLost, placedRun.unit, run.run, worker.description.incarnation.id,
        fmt::format("{}, {}, {} runs on its worker, {}", nameOf(loss), confirmed, worker.placedRuns.size(), evidence ? fmt::format("crash {}", nameOf(*evidence)) : "no crash"));
    if (evidence)
        this->addCrash(placedRun, *evidence, now);
    this->removeMember(worker, run, loss == RunLoss::LeaseOver ? std::optional(RunEnd::LeaseExpired) : std::nullopt, "", now);
}

// What the loss of a run proves against its task, or none if there is a better explanation than a
// crash: a leaving worker has left, and a worker whose lease has expired may be cut off; it may
// have crashed only if it is not listed any more. A run whose stop was answered may have been
// stopped without its end being read, so the evidence is unproven, unless the worker had fallen silent
// before it answered.
std::optional<CrashEvidence> TaskPlanner::evidenceOf(const Worker& worker, const PlacedRun& placedRun, RunLoss loss)
{
    if (worker.description.leaving || placedRun.phase == RunPhase::Recording || (loss == RunLoss::LeaseOver && worker.listed))
        return std::nullopt;
    const Unit* unit = this->find(placedRun.unit);
    if (placedRun.hasSurvivedStart())
        return CrashEvidence::Late;
    const bool nextIncarnationAnswered = worker.silent && worker.silentSince <= placedRun.startRuledOutAt;
    const bool wasStopping = placedRun.startRuledOutAt > 0 && !nextIncarnationAnswered;
    if (loss == RunLoss::LeaseOver || !placedRun.hasBegun || wasStopping)
        return CrashEvidence::Unproven;
    const bool wasIsolated = unit && !unit->inherited && unit->run == placedRun.run.run && this->isolatedUnits.contains(placedRun.unit);
    return wasIsolated ? CrashEvidence::Alone : CrashEvidence::Early;
}

void TaskPlanner::addCrash(const PlacedRun& placedRun, CrashEvidence evidence, Millis now)
{
    Unit* unit = this->find(placedRun.unit);
    if (!unit || !unit->crashes.add({ placedRun.run.run, placedRun.run.task.index, evidence }))
        return;
    this->markDirty(unit->key.job);
    restartPreferences(*unit, now);
    unit->suspect = unit->suspect || evidence != CrashEvidence::Late;
    if (unit->crashes.taskToGiveUp(unit->run))
        this->exhaustedUnits.insert(unit->key);
}

// A task that has survived its start doesn't crash every worker that starts it.
void TaskPlanner::clearSuspicion(Unit& unit)
{
    this->isolatedUnits.erase(unit.key);
    unit.suspect = false;
    unit.crashes.clear();
    unit.recordsStarts = false;
    this->markDirty(unit.key.job);
    this->pacer.markChanged();
}

void TaskPlanner::failExhaustedJobs(Millis now)
{
    for (const UnitKey& key : std::exchange(this->exhaustedUnits, {})) {
        const Unit* unit = this->find(key);
        const std::optional<std::int64_t> task = unit ? unit->crashes.taskToGiveUp(unit->run) : std::nullopt;
        if (task)
            this->finishJob(unit->job->id, JobState::Failed, fmt::format("step {}: task {} crashes the workers that start it", key.step, *task), now);
    }
}

// A planner that takes over must know whether a start reached its worker, in order to count a crash
// there. Confirmed starts are recorded only of units that may crash workers: after a crash under the
// unit, and when a worker falls silent soon after a start.
void TaskPlanner::confirmStart(PlacedRun& placedRun, Millis now)
{
    placedRun.phase = RunPhase::Running;
    placedRun.confirmedAt = now;
    placedRun.hasBegun = true;
    if (const Unit* unit = this->find(placedRun.unit); unit && unit->crashes.size() > 0)
        this->markDirty(placedRun.unit.job);
}

void TaskPlanner::recordStartsOn(const Worker& worker)
{
    for (const auto& [run, placedRun] : worker.placedRuns) {
        Unit* unit = placedRun.orphaned ? nullptr : this->find(placedRun.unit);
        if (!unit || unit->run != run.run || !placedRun.hasBegun || placedRun.hasSurvivedStart())
            continue;
        unit->recordsStarts = true;
        this->markDirty(unit->key.job);
    }
}

bool TaskPlanner::hasSurvivedStart(const Unit& unit)
{
    for (std::size_t member = 0; member < unit.workers.size(); ++member) {
        Worker* worker = this->find(unit.workers[member]);
        const RunRef run { unit.task(static_cast<std::int64_t>(member)), unit.run };
        const auto placedRun = worker ? worker->placedRuns.find(run) : std::map<RunRef, PlacedRun>::iterator();
        if (!worker || placedRun == worker->placedRuns.end() || !placedRun->second.hasSurvivedStart())
            return false;
    }
    return true;
}

// The workers on which only suspect tasks of the job run. They are tested together there, so
// that a crash costs only one worker, whichever of the tasks causes it.
std::set<std::string> TaskPlanner::isolatedWorkersOf(const std::string& job) const
{
    std::set<std::string> ids;
    for (auto next = this->isolatedUnits.lower_bound({ job, 0, 0, wholeGang }); next != this->isolatedUnits.end() && next->job == job; ++next) {
        for (const Incarnation& incarnation : this->units.at(*next).workers)
            ids.insert(incarnation.id);
    }
    return ids;
}

// Whether a poll must check if an isolated run has survived its start, which would end its
// isolation.
bool TaskPlanner::isSurvivalCheckDue(const PlacedRun& placedRun, Millis now) const
{
    return placedRun.phase == RunPhase::Running && !placedRun.hasSurvivedStart() && now >= placedRun.confirmedAt + startSurvivalTime && this->isolatedUnits.contains(placedRun.unit);
}

Millis TaskPlanner::nextSurvivalCheck(Millis now) const
{
    Millis next = std::numeric_limits<Millis>::max();
    for (const UnitKey& key : this->isolatedUnits) {
        const Millis checkAt = this->units.at(key).startedAt + startSurvivalTime;
        if (checkAt > now)
            next = std::min(next, checkAt);
    }
    return next;
}

std::vector<std::int64_t> TaskPlanner::begunMembers(const Unit& unit) const
{
    std::vector<std::int64_t> members;
    for (std::size_t i = 0; i < unit.workers.size(); ++i) {
        const auto member = static_cast<std::int64_t>(i);
        const auto worker = this->workers.find(unit.workers[i].id);
        if (worker == this->workers.end())
            continue;
        const auto placedRun = worker->second.placedRuns.find({ unit.task(member), unit.run });
        if (placedRun != worker->second.placedRuns.end() && placedRun->second.hasBegun)
            members.push_back(member);
    }
    return members;
}

} // namespace rattan::tasks
