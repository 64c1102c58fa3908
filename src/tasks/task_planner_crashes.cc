// Runs that are lost with their workers, and tasks that may be the cause: what is counted
// of them, when a job is given up, and how a suspect task is kept apart until it is seen
// to have survived its start.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <utility>

namespace rattan::tasks {

using namespace detail;

namespace {

    constexpr std::array<std::string_view, 3> lossNames { "its worker has ended", "its worker has started again", "its lease is over" };

} // namespace

std::string_view detail::nameOf(RunLoss loss) { return lossNames.at(static_cast<std::size_t>(loss)); }

// A run of which nothing more will be heard: the log has to tell a crash under a task from
// an eviction, and what ran beside it.
void TaskPlanner::runLost(Worker& worker, const RunRef& ref, RunLoss loss, Millis now)
{
    const RunRef run = ref;
    const auto found = worker.placedRuns.find(run);
    if (found == worker.placedRuns.end())
        return;
    const PlacedRun placedRun = found->second;
    const std::string confirmed = placedRun.confirmedAt > 0 ? fmt::format("confirmed {} ms ago", now - placedRun.confirmedAt) : "never confirmed";
    this->emit(PlanEventKind::RunLost, placedRun.unit, run.run, worker.description.incarnation.id, fmt::format("{}, {}, {} runs there", nameOf(loss), confirmed, worker.placedRuns.size()));
    this->countCrash(worker, placedRun, loss);
    this->memberGone(worker, run, loss == RunLoss::LeaseOver ? std::optional(RunEnd::LeaseExpired) : std::nullopt, "", now);
}

// A run whose stop its worker had taken may have ended by it, unread. A worker that was leaving has left. One whose lease is over may be cut off; only if it is
// not listed any more may it have crashed.
void TaskPlanner::countCrash(const Worker& worker, const PlacedRun& placedRun, RunLoss loss)
{
    if (worker.description.leaving || placedRun.phase == RunPhase::Recording || (loss == RunLoss::LeaseOver && worker.listed))
        return;
    const Unit* unit = this->find(placedRun.unit);
    CrashEvidence evidence = CrashEvidence::Early;
    const bool wasStopping = placedRun.startRuledOutAt > 0;
    if (loss == RunLoss::LeaseOver || !placedRun.hasBegun || wasStopping)
        evidence = CrashEvidence::Unproven;
    else if (placedRun.hasSurvivedStart())
        evidence = CrashEvidence::Late;
    else if (unit && !unit->inherited && unit->run == placedRun.run.run && this->isolatedUnits.contains(placedRun.unit))
        evidence = CrashEvidence::Alone;
    this->addCrash(placedRun, evidence);
}

void TaskPlanner::addCrash(const PlacedRun& placedRun, CrashEvidence evidence)
{
    Unit* unit = this->find(placedRun.unit);
    if (!unit || !unit->crashes.add({ placedRun.run.run, placedRun.run.task.index, evidence }))
        return;
    this->markDirty(unit->key.job);
    unit->suspect = unit->suspect || evidence != CrashEvidence::Late;
    if (unit->crashes.shouldGiveUp(unit->run))
        this->exhausted.insert(unit->key);
}

// Of a task that lasts, crashes before it served say nothing of those after.
void TaskPlanner::clearSuspicion(Unit& unit)
{
    this->isolatedUnits.erase(unit.key);
    unit.suspect = false;
    if (unit.step().longRunning)
        unit.crashes.clear();
    this->pacer.markChanged();
}

void TaskPlanner::giveUpExhausted(Millis now)
{
    for (const UnitKey& key : std::exchange(this->exhausted, {})) {
        const Unit* unit = this->find(key);
        if (unit && unit->crashes.shouldGiveUp(unit->run))
            this->finishJob(unit->job->id, JobState::Failed, fmt::format("step {}: {} workers crashed under its tasks", key.step, unit->crashes.size()), now);
    }
}

// Once a worker has crashed under a unit, a planner that takes over has to know whether
// the next one did as well, or was never reached.
void TaskPlanner::confirmStart(PlacedRun& placedRun, Millis now)
{
    placedRun.phase = RunPhase::Running;
    placedRun.confirmedAt = now;
    placedRun.hasBegun = true;
    if (const Unit* unit = this->find(placedRun.unit); unit && unit->crashes.size() > 0)
        this->markDirty(placedRun.unit.job);
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

// The workers that suspect tasks of a job have to themselves. One job's are tried together,
// so that it costs one worker at a time whichever of them is to blame.
std::set<std::string> TaskPlanner::isolationOf(const std::string& job) const
{
    std::set<std::string> ids;
    for (auto next = this->isolatedUnits.lower_bound({ job, 0, 0, wholeGang }); next != this->isolatedUnits.end() && next->job == job; ++next) {
        for (const Incarnation& incarnation : this->units.at(*next).workers)
            ids.insert(incarnation.id);
    }
    return ids;
}

// A suspect task keeps a worker to itself until it is seen to have survived its start.
bool TaskPlanner::isCheckDue(const PlacedRun& placedRun, Millis now) const
{
    return placedRun.phase == RunPhase::Running && !placedRun.hasSurvivedStart() && now >= placedRun.confirmedAt + startSurvivalTime && this->isolatedUnits.contains(placedRun.unit);
}

Millis TaskPlanner::nextCheck(Millis now) const
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
