// Invariants of a planner's state, checked by tests after each of its turns.

#include "tasks/task_planner.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::tasks {

using namespace detail;

std::vector<std::string> TaskPlanner::violations() const
{
    std::vector<std::string> problems;
    this->checkWorkers(problems);
    this->checkUnits(problems);
    this->checkJobs(problems);
    return problems;
}

void TaskPlanner::checkWorkers(std::vector<std::string>& problems) const
{
    // A run in the phase Recording that is in no batch and waits for no ticket would never be started.
    const auto isRecorded = [this](const std::string& worker, const RunRef& run) {
        const std::pair<std::string, RunRef> start { worker, run };
        const auto holds = [&start](const auto& starts) { return std::find(starts.begin(), starts.end(), start) != starts.end(); };
        return holds(this->startsToRecord) || (this->isBatchPending && holds(this->startsInBatch));
    };
    std::map<TaskRef, int> live;
    for (const auto& [id, worker] : this->workers) {
        Resources used;
        for (const auto& [run, placedRun] : worker.placedRuns) {
            used += placedRun.resources;
            const auto unit = this->units.find(placedRun.unit);
            if (!placedRun.orphaned && (unit == this->units.end() || unit->second.run != run.run || unit->second.state != UnitState::Running))
                problems.push_back("a run that is not the current run of a running unit: " + run.task.job);
            if (!placedRun.orphaned && ++live[run.task] > 1)
                problems.push_back("a task with two current runs: " + run.task.job);
            if (placedRun.phase == RunPhase::Recording && !placedRun.awaitsTicket && !isRecorded(id, run))
                problems.push_back("a run that waits for a record but is in no batch: " + run.task.job);
            if (placedRun.isWaitingStart() && !this->unitsAwaitingTickets.contains(placedRun.unit))
                problems.push_back("a run that waits for a ticket that isn't requested: " + run.task.job);
        }
        if (!(used == worker.used))
            problems.push_back("the used resources of " + id + " differ from the sum of its runs");
    }
}

void TaskPlanner::checkUnits(std::vector<std::string>& problems) const
{
    for (const auto& [key, unit] : this->units) {
        if ((unit.state == UnitState::Waiting) != this->waitingUnits.contains(key))
            problems.push_back("the set of waiting units disagrees with the unit's state: " + key.job);
        if (this->urgentWaitingUnits.contains(key) != (unit.state == UnitState::Waiting && unit.terms->priority == 0))
            problems.push_back("the set of urgent waiting units disagrees with the unit: " + key.job);
        if (this->isolatedUnits.contains(key) && (unit.state != UnitState::Running || !unit.suspect))
            problems.push_back("an isolated unit that is not running or not suspect: " + key.job);
        if (!this->jobs.contains(key.job))
            problems.push_back("a unit without its job: " + key.job);
        if (unit.state == UnitState::Waiting)
            continue;
        const std::int64_t placed = this->membersPlaced(unit);
        if (unit.state != UnitState::Running || placed == 0 || placed != unit.membersLeft || (placed < unit.members() && !unit.stopping))
            problems.push_back(fmt::format("a unit has {} of {} members on workers but counts {}: {}", placed, unit.members(), unit.membersLeft, key.job));
    }
    for (const UnitKey& key : this->waitingUnits) {
        if (!this->units.contains(key))
            problems.push_back("a waiting unit does not exist: " + key.job);
    }
}

std::int64_t TaskPlanner::membersPlaced(const Unit& unit) const
{
    std::int64_t placed = 0;
    for (std::size_t member = 0; member < unit.workers.size(); ++member) {
        const auto worker = this->workers.find(unit.workers[member].id);
        if (worker == this->workers.end())
            continue;
        const auto run = worker->second.placedRuns.find({ unit.task(static_cast<std::int64_t>(member)), unit.run });
        placed += run != worker->second.placedRuns.end() && !run->second.orphaned ? 1 : 0;
    }
    return placed;
}

void TaskPlanner::checkJobs(std::vector<std::string>& problems) const
{
    for (const auto& [id, active] : this->jobs) {
        if (isFinal(active.state))
            continue;
        using StepNumber = std::pair<std::int64_t, std::int64_t>; // Occurrence and step index.
        std::map<StepNumber, std::vector<std::int64_t>> left;
        for (auto next = this->units.lower_bound({ id, 0, 0, wholeGang }); next != this->units.end() && next->first.job == id; ++next)
            left[{ next->first.occurrence, next->first.step }].push_back(next->first.index);
        for (const auto& [number, occurrence] : active.occurrences) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const std::string problem = stepViolation(active, occurrence, i, left[{ number, static_cast<std::int64_t>(i) }]);
                if (!problem.empty())
                    problems.push_back(fmt::format("{}: {}.{}.{}", problem, id, number, i));
            }
        }
    }
}

std::string TaskPlanner::stepViolation(const ActiveJob& active, const Occurrence& occurrence, std::size_t index, const std::vector<std::int64_t>& left)
{
    const StepState& state = occurrence.steps[index];
    const Step& step = active.job->steps[index];
    if (!state.started) {
        const auto isDone = [&occurrence](std::int64_t earlier) { return occurrence.steps[static_cast<std::size_t>(earlier)].done; };
        return std::all_of(step.dependsOn.begin(), step.dependsOn.end(), isDone) ? "a step whose dependencies are done has not begun" : "";
    }
    const auto number = static_cast<std::int64_t>(index);
    if (std::any_of(left.begin(), left.end(), [&](std::int64_t unit) { return occurrence.doneUnits.contains({ number, unit }); }))
        return "a completed unit still exists";
    // Before the first task without a unit each task has one or is done; from there on, those that
    // have none and aren't done are counted as left.
    const std::int64_t units = step.gang ? 1 : step.count;
    const auto isBefore = [&](std::int64_t unit) { return step.gang ? state.unitsAdded > 0 : unit < state.unitsAdded; };
    const auto doneBegin = occurrence.doneUnits.lower_bound({ number, wholeGang });
    const auto doneEnd = occurrence.doneUnits.lower_bound({ number + 1, wholeGang });
    const auto doneBefore = std::count_if(doneBegin, doneEnd, [&](const auto& unit) { return isBefore(unit.second); });
    const auto leftBefore = std::count_if(left.begin(), left.end(), isBefore);
    if (leftBefore + doneBefore != state.unitsAdded)
        return "a unit neither exists nor is completed";
    if (state.unitsAdded < units && !active.hasTasksWithoutUnit)
        return "a task without a unit would never get one";
    const std::int64_t count = units - std::distance(doneBegin, doneEnd);
    return state.unitsLeft != count || state.done != (count == 0) ? "a step counts its units incorrectly" : "";
}

} // namespace rattan::tasks
