// Which tasks have units. A unit takes about a kilobyte, and a job of a few bytes may have millions
// of tasks. So a job has units for its tasks that were started, and for a limited number of those
// that wait, in the order of their occurrences, steps and indices. Each step that has begun keeps a
// few, since the tasks of another step may have no worker. When half of them have started, more are
// added. Occurrences that are due begin in the same way. Memory thus grows with what runs.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>

namespace rattan::tasks {

using namespace detail;

namespace {

    std::int64_t unitsOf(const Step& step) { return step.gang ? 1 : step.count; }

    std::int64_t doneUnitsOf(const Occurrence& occurrence, std::int64_t step)
    {
        const auto& done = occurrence.doneUnits;
        return std::distance(done.lower_bound({ step, wholeGang }), done.lower_bound({ step + 1, wholeGang }));
    }

} // namespace

// The number of waiting units that a step may have however many other units wait.
std::int64_t TaskPlanner::minWaitingUnits(const ActiveJob& active) const
{
    const bool isScarce = static_cast<std::int64_t>(this->waitingUnits.size()) >= maxWaitingUnits;
    return isScarce && active.terms->priority > 0 ? 1 : minStepWaitingUnits;
}

bool TaskPlanner::mayBeginOccurrence(const ActiveJob& active) const
{
    if (active.nextOccurrence >= active.job->occurrences())
        return false;
    return active.occurrences.empty() || (this->hasRoom(active, 1) && (active.occurrences.size() + 1) * active.job->steps.size() <= maxOpenSteps);
}

// Whether no more than this part of the limits for a job and for all jobs is used, as one in `parts`.
bool TaskPlanner::hasRoom(const ActiveJob& active, std::int64_t parts) const
{
    return active.waitingUnits < maxJobWaitingUnits / parts && static_cast<std::int64_t>(this->waitingUnits.size()) < maxWaitingUnits / parts;
}

bool TaskPlanner::needsUnits(const ActiveJob& active) const
{
    if (!active.hasTasksWithoutUnit)
        return false;
    if (this->hasRoom(active, 2))
        return true;
    const std::int64_t few = this->minWaitingUnits(active) / 2;
    for (const auto& [number, occurrence] : active.occurrences) {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            const StepState& state = occurrence.steps[i];
            if (state.started && state.unitsAdded < unitsOf(active.job->steps[i]) && state.waitingUnits <= few)
                return true;
        }
    }
    return false;
}

void TaskPlanner::beginDueOccurrences(ActiveJob& active, Millis now, Millis wall)
{
    const Job& job = *active.job;
    while (this->mayBeginOccurrence(active)) {
        if (job.repeats > 0 && job.dueAt(active.nextOccurrence) > wall)
            return;
        this->beginOccurrence(active, active.nextOccurrence, now);
        ++active.nextOccurrence;
    }
}

void TaskPlanner::beginOccurrence(ActiveJob& active, std::int64_t number, Millis now)
{
    Occurrence& occurrence = active.occurrences[number];
    occurrence.steps.resize(active.job->steps.size());
    this->beginReadySteps(active, number, now);
}

void TaskPlanner::beginReadySteps(ActiveJob& active, std::int64_t number, Millis now)
{
    Occurrence& occurrence = active.occurrences.at(number);
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        StepState& state = occurrence.steps[i];
        const Step& step = active.job->steps[i];
        bool ready = !state.started;
        for (const std::int64_t earlier : step.dependsOn)
            ready = ready && occurrence.steps[static_cast<std::size_t>(earlier)].done;
        if (!ready)
            continue;
        state.started = true;
        state.unitsLeft = unitsOf(step) - doneUnitsOf(occurrence, static_cast<std::int64_t>(i));
        // No unit is left if an earlier planner completed them all; then later steps may begin.
        state.done = state.unitsLeft == 0;
        this->addUnits(active, number, i, now);
    }
}

void TaskPlanner::addNeededUnits(ActiveJob& active, Millis now)
{
    active.hasTasksWithoutUnit = false;
    for (auto& [number, occurrence] : active.occurrences) {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            if (occurrence.steps[i].started)
                this->addUnits(active, number, i, now);
        }
    }
}

// Adds units to a step that has begun, until all of its tasks have one or enough wait.
void TaskPlanner::addUnits(ActiveJob& active, std::int64_t number, std::size_t stepIndex, Millis now)
{
    const Occurrence& occurrence = active.occurrences.at(number);
    const Step& step = active.job->steps[stepIndex];
    StepState& state = active.occurrences.at(number).steps[stepIndex];
    const std::int64_t minimum = this->minWaitingUnits(active);
    while (state.unitsAdded < unitsOf(step) && (state.waitingUnits < minimum || this->hasRoom(active, 1))) {
        const std::int64_t index = step.gang ? wholeGang : state.unitsAdded;
        const UnitKey key { active.job->id, number, static_cast<std::int64_t>(stepIndex), index };
        ++state.unitsAdded;
        if (!occurrence.doneUnits.contains({ key.step, index }) && !this->units.contains(key))
            this->addUnit(active, key, now);
    }
    active.hasTasksWithoutUnit = active.hasTasksWithoutUnit || state.unitsAdded < unitsOf(step);
}

// Adds the unit of a task that an earlier planner has started, if it has none yet.
// Returns null if the task has ended or its step has not begun.
TaskPlanner::Unit* TaskPlanner::addStartedUnit(ActiveJob& active, const UnitKey& key, Millis now)
{
    const auto occurrence = active.occurrences.find(key.occurrence);
    if (occurrence == active.occurrences.end() || key.step < 0 || key.step >= static_cast<std::int64_t>(active.job->steps.size()))
        return nullptr;
    const Step& step = active.job->steps[static_cast<std::size_t>(key.step)];
    const StepState& state = occurrence->second.steps[static_cast<std::size_t>(key.step)];
    const std::int64_t position = step.gang && key.index == wholeGang ? 0 : key.index;
    if (!state.started || position < state.unitsAdded || position >= unitsOf(step) || occurrence->second.doneUnits.contains({ key.step, key.index }))
        return nullptr;
    this->addUnit(active, key, now);
    return this->find(key);
}

void TaskPlanner::enqueue(const Unit& unit)
{
    if (this->waitingUnits.insert(unit.key).second)
        this->countWaiting(unit.key, 1);
    if (unit.terms->priority == 0)
        this->urgentWaitingUnits.insert(unit.key);
}

void TaskPlanner::dequeue(const UnitKey& key)
{
    if (this->waitingUnits.erase(key) > 0)
        this->countWaiting(key, -1);
    this->urgentWaitingUnits.erase(key);
}

void TaskPlanner::countWaiting(const UnitKey& key, std::int64_t change)
{
    ActiveJob& active = this->jobs.at(key.job);
    active.waitingUnits += change;
    active.occurrences.at(key.occurrence).steps[static_cast<std::size_t>(key.step)].waitingUnits += change;
}

void TaskPlanner::addUnit(ActiveJob& active, const UnitKey& key, Millis now)
{
    Unit& unit = this->units[key];
    unit.key = key;
    unit.job = active.job;
    unit.terms = active.terms;
    unit.waitingSince = now;
    unit.idleSince = now;
    this->enqueue(unit);
    this->pacer.markChanged();
}

} // namespace rattan::tasks
