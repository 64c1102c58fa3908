// Jobs and their units: what a job's records, its cancelling and the ends of its runs make
// of it. The rest stands by subject: task_planner_workers.cc (what runs there),
// _incarnations.cc (workers that started again), _crashes.cc (tasks to blame for that),
// _polls.cc, _rounds.cc (what runs where), _evictions.cc, _orders.cc, _reports.cc and
// _violations.cc.

#include "tasks/task_planner.h"

#include "tasks/estimates_record.h"
#include "tasks/planner_limits.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::tasks {

using namespace detail;

TaskPlanner::TaskPlanner(PlannerOptions options, const JobTable& table, const PlanTable& plans, Millis now, Millis wall)
    : options(options)
    , begunAt(now)
    , table(table)
    , catalog(std::make_shared<Catalog>())
{
    restoreEstimates(plans.estimates(), this->runTimes, this->speeds);
    static const Progress nothing;
    for (const auto& [id, entry] : table.all()) {
        const Progress* plan = plans.find(id);
        if (entry.job && !isFinal(entry.state))
            this->adopt(entry, plan ? *plan : nothing, now, wall);
    }
    for (const auto& [id, plan] : plans.all()) {
        if (!this->jobs.contains(id))
            this->plansOver.push_back(id);
    }
}

void TaskPlanner::applyCatalog(std::shared_ptr<const Catalog> newest)
{
    this->catalog = std::move(newest);
    this->pacer.markChanged();
}

void TaskPlanner::adopt(const JobEntry& entry, const Progress& plan, Millis now, Millis wall)
{
    const Job& job = *entry.job;
    ActiveJob& active = this->jobs[job.id];
    active.job = entry.job;
    active.text = std::make_shared<const std::string>(job.text);
    active.state = plan.state;
    active.recordedState = entry.state;
    active.reason = plan.reason;
    active.started = plan.started;
    active.occurrencesDone = plan.occurrencesDone;
    active.nextOccurrence = active.occurrencesDone;
    // Its end is in the plan, and the earlier planner was gone before callers could be told.
    if (isFinal(plan.state)) {
        this->markDirty(job.id);
        this->markUrgent();
        return;
    }
    this->adoptUnits(active, plan, now);
    this->beginDue(active, now, wall);
    if (entry.cancelled)
        this->jobCancelled(job.id, now);
}

void TaskPlanner::adoptUnits(ActiveJob& active, const Progress& plan, Millis now)
{
    for (const UnitProgress& unit : plan.units) {
        active.nextOccurrence = std::max(active.nextOccurrence, unit.occurrence + 1);
        if (unit.state == UnitState::Done)
            active.occurrences[unit.occurrence].doneUnits.emplace(unit.step, unit.index);
    }
    for (std::int64_t number = active.occurrencesDone; number < active.nextOccurrence; ++number) {
        this->beginOccurrence(active, number, now);
        const std::vector<StepState>& steps = active.occurrences.at(number).steps;
        if (!std::all_of(steps.begin(), steps.end(), [](const StepState& step) { return step.done; }))
            continue;
        active.occurrences.erase(number); // No end of a unit will tell that it is over.
        active.doneOutOfOrder.insert(number);
    }
    for (const UnitProgress& progress : plan.units) {
        Unit* unit = this->find({ active.job->id, progress.occurrence, progress.step, progress.index });
        if (!unit)
            continue;
        unit->run = progress.run;
        unit->failedRuns.insert(progress.failedRuns.begin(), progress.failedRuns.end());
        unit->checkpoint = progress.checkpoint;
        for (const CrashedRun& crashed : progress.crashes)
            unit->crashes.add(crashed);
        unit->suspect = progress.suspect;
        if (progress.state == UnitState::Running)
            this->adoptRun(*unit, progress, now);
        else if (unit->crashes.shouldGiveUp(unit->run))
            this->exhausted.insert(unit->key); // The earlier planner died before it gave the job up.
    }
}

void TaskPlanner::adoptRun(Unit& unit, const UnitProgress& progress, Millis now)
{
    unit.state = UnitState::Running;
    unit.workers = progress.workers;
    unit.membersLeft = static_cast<std::int64_t>(progress.workers.size());
    unit.placedAt = now;
    unit.inherited = true;
    if (unit.suspect)
        this->isolatedUnits.insert(unit.key);
    this->dequeue(unit.key);
    for (std::size_t member = 0; member < progress.workers.size(); ++member) {
        const Incarnation& incarnation = progress.workers[member];
        auto [found, isNew] = this->workers.try_emplace(incarnation.id);
        Worker& worker = found->second;
        if (isNew) {
            worker.description.incarnation = incarnation;
            worker.listed = false;
        }
        // Where records tell of two incarnations, runs of both are kept until a poll shows
        // which are there: a start for the earlier may have reached the later.
        worker.description.incarnation.born = std::max(worker.description.incarnation.born, incarnation.born);
        // The earlier planner may not know yet that it is followed, and renew leases at workers
        // that this one does not reach. Counted shorter, their tasks would run twice at a time.
        this->grantLease(worker, now + this->options.earlierTerm);
        PlacedRun placedRun { .run = { unit.task(static_cast<std::int64_t>(member)), unit.run }, .unit = unit.key };
        placedRun.inherited = true;
        placedRun.phase = RunPhase::Starting;
        placedRun.hasBegun = std::find(progress.startedMembers.begin(), progress.startedMembers.end(), static_cast<std::int64_t>(member)) != progress.startedMembers.end();
        placedRun.resources = this->roomOf(placedRun.run.task);
        worker.used += placedRun.resources;
        worker.placedRuns.emplace(placedRun.run, placedRun);
    }
}

void TaskPlanner::jobAccepted(const std::shared_ptr<const Job>& job, Millis now, Millis wall)
{
    if (this->jobs.contains(job->id) || this->finished.contains(job->id))
        return;
    ActiveJob& active = this->jobs[job->id];
    active.job = job;
    active.text = std::make_shared<const std::string>(job->text);
    this->beginDue(active, now, wall);
    this->pacer.markChanged();
}

void TaskPlanner::jobCancelled(const std::string& id, Millis now)
{
    if (this->jobs.contains(id))
        this->finishJob(id, JobState::Cancelled, "cancelled by its caller", now);
}

void TaskPlanner::beginDue(ActiveJob& active, Millis now, Millis wall)
{
    const Job& job = *active.job;
    while (active.nextOccurrence < job.occurrences()) {
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
    this->beginSteps(active, number, now);
}

void TaskPlanner::beginSteps(ActiveJob& active, std::int64_t number, Millis now)
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
        const auto number64 = static_cast<std::int64_t>(i);
        const std::int64_t first = step.gang ? wholeGang : 0;
        const std::int64_t end = step.gang ? 0 : step.count;
        for (std::int64_t index = first; index < end; ++index) {
            if (occurrence.doneUnits.contains({ number64, index }))
                continue;
            ++state.unitsLeft;
            this->addUnit(active, { active.job->id, number, number64, index }, now);
        }
        // All of it was done under an earlier planner; later steps may follow.
        state.done = state.unitsLeft == 0;
    }
}

void TaskPlanner::enqueue(const Unit& unit)
{
    this->waitingUnits.insert(unit.key);
    if (unit.job->terms.priority == 0)
        this->urgentUnits.insert(unit.key);
}

void TaskPlanner::dequeue(const UnitKey& key)
{
    this->waitingUnits.erase(key);
    this->urgentUnits.erase(key);
}

void TaskPlanner::addUnit(ActiveJob& active, const UnitKey& key, Millis now)
{
    Unit& unit = this->units[key];
    unit.key = key;
    unit.job = active.job;
    unit.waitingSince = now;
    this->enqueue(unit);
    this->pacer.markChanged();
}

void TaskPlanner::unitDone(const UnitKey& key, Millis now)
{
    const auto found = this->units.find(key);
    Unit& unit = found->second;
    this->learn(unit, now);
    ++this->unitsDone;
    for (std::size_t member = 0; member < unit.workers.size(); ++member) {
        Worker* worker = this->find(unit.workers[member]);
        if (!worker)
            continue;
        const auto placedRun = worker->placedRuns.find({ unit.task(static_cast<std::int64_t>(member)), unit.run });
        if (placedRun != worker->placedRuns.end())
            placedRun->second.orphaned = true;
    }
    this->dequeue(key);
    this->isolatedUnits.erase(key);
    this->units.erase(found);

    const UnitKey done = key;
    ActiveJob& active = this->jobs.at(done.job);
    Occurrence& occurrence = active.occurrences.at(done.occurrence);
    occurrence.doneUnits.emplace(done.step, done.index);
    StepState& step = occurrence.steps[static_cast<std::size_t>(done.step)];
    step.done = --step.unitsLeft == 0;
    this->markDirty(done.job);
    this->pacer.markChanged();
    if (!step.done)
        return;
    this->speeds.addSiblingRuns(step.samples);
    step.samples.clear();
    this->beginSteps(active, done.occurrence, now);
    for (const StepState& state : occurrence.steps) {
        if (!state.done)
            return;
    }
    active.occurrences.erase(done.occurrence);
    active.doneOutOfOrder.insert(done.occurrence);
    while (active.doneOutOfOrder.erase(active.occurrencesDone) > 0)
        ++active.occurrencesDone;
    if (active.occurrencesDone >= active.job->occurrences())
        this->finishJob(done.job, JobState::Completed, "", now);
}

// From runs that went from nothing to their end before this planner's eyes.
void TaskPlanner::learn(const Unit& unit, Millis now)
{
    if (unit.startedAt == 0 || unit.progressAtStart > 0 || unit.inherited || unit.placedRemotely || unit.step().longRunning)
        return;
    const Millis took = now - unit.startedAt;
    std::vector<std::string> ids;
    for (const Incarnation& incarnation : unit.workers)
        ids.push_back(incarnation.id);
    const std::string& queue = unit.job->terms.queue;
    const RunTimes::Forecast forecast = this->runTimes.forecast(queue, unit.step().estimate);
    this->runTimes.addRun(queue, unit.step().estimate, static_cast<double>(took) * this->speeds.slowestOf(ids));
    if (unit.key.index == wholeGang || unit.step().count == 1)
        this->speeds.addGangRun(ids, forecast, took);
    else
        this->jobs.at(unit.key.job).occurrences.at(unit.key.occurrence).steps[static_cast<std::size_t>(unit.key.step)].samples.push_back({ ids.front(), took });
}

void TaskPlanner::runOver(Unit& unit, Millis now)
{
    const bool failed = unit.memberFailed;
    unit.state = UnitState::Waiting;
    unit.workers.clear();
    unit.memberFailed = false;
    unit.stopping = false;
    unit.startedAt = 0;
    unit.waitingSince = now;
    unit.notBefore = failed ? now + retryPause : now;
    this->isolatedUnits.erase(unit.key);
    this->enqueue(unit);
    this->markDirty(unit.key.job);
    this->pacer.markChanged();
    this->emit(PlanEventKind::UnitRetried, unit.key, unit.run, "", failed ? "failed" : "ended early");
    if (unit.crashes.shouldGiveUp(unit.run))
        this->exhausted.insert(unit.key);
}

// Counted by the number of the run, whether or not anybody still waits for it: an
// end may be told long after its run was given up as lost, or a second time to a
// planner that has taken over.
void TaskPlanner::countFailure(const RunRef& run, Millis now)
{
    Unit* unit = this->find(this->unitOf(run.task));
    if (!unit || unit->step().longRunning || !unit->failedRuns.insert(run.run).second)
        return;
    this->markDirty(run.task.job);
    const auto failures = static_cast<std::int64_t>(unit->failedRuns.size());
    if (failures >= unit->job->terms.maxAttempts)
        this->finishJob(run.task.job, JobState::Failed, fmt::format("step {} failed {} times", run.task.step, failures), now);
}

void TaskPlanner::finishJob(const std::string& id, JobState state, std::string reason, Millis now)
{
    ActiveJob& active = this->jobs.at(id);
    if (isFinal(active.state))
        return;
    active.state = state;
    active.reason = std::move(reason);
    this->markUrgent();
    this->emit(PlanEventKind::JobFinished, { id, 0, 0, 0 }, 0, "", fmt::format("{} {}", nameOf(state), active.reason));
    this->dropUnits(active.job->id, now);
    this->markDirty(active.job->id);
    this->pacer.markChanged();
}

// The id must not be part of a unit, which would go with it.
void TaskPlanner::dropUnits(const std::string& id, Millis now)
{
    auto next = this->units.lower_bound({ id, 0, 0, wholeGang });
    while (next != this->units.end() && next->first.job == id) {
        Unit unit = std::move(next->second);
        next = this->units.erase(next);
        this->dequeue(unit.key);
        this->isolatedUnits.erase(unit.key);
        this->abandonRun(unit, now);
    }
}

// Stops the present run of a unit, which nobody waits for any more.
void TaskPlanner::abandonRun(const Unit& unit, Millis now)
{
    for (std::size_t member = 0; member < unit.workers.size(); ++member) {
        Worker* worker = this->find(unit.workers[member]);
        const RunRef run { unit.task(static_cast<std::int64_t>(member)), unit.run };
        if (!worker || !worker->placedRuns.contains(run))
            continue;
        PlacedRun& placedRun = worker->placedRuns.at(run);
        placedRun.orphaned = true;
        placedRun.requestStop(now);
        if (placedRun.phase == RunPhase::Recording)
            this->memberGone(*worker, run, std::nullopt, "", now);
    }
}

TaskPlanner::Unit* TaskPlanner::find(const UnitKey& key)
{
    const auto found = this->units.find(key);
    return found == this->units.end() ? nullptr : &found->second;
}

UnitKey TaskPlanner::unitOf(const TaskRef& task) const
{
    const JobEntry* entry = this->table.find(task.job);
    const bool gang = entry && task.step >= 0 && task.step < static_cast<std::int64_t>(entry->job->steps.size())
        && entry->job->steps[static_cast<std::size_t>(task.step)].gang;
    return { task.job, task.occurrence, task.step, gang ? wholeGang : task.index };
}

// Of a task that no record tells of, all that can be said is that it takes
// something; its worker then gets nothing new until the run has been stopped.
Resources TaskPlanner::roomOf(const TaskRef& task) const
{
    const auto active = this->jobs.find(task.job);
    const JobEntry* entry = this->table.find(task.job);
    const Job* job = active != this->jobs.end() ? active->second.job.get() : entry ? entry->job.get()
                                                                                   : nullptr;
    if (!job || task.step < 0 || task.step >= static_cast<std::int64_t>(job->steps.size()))
        return unknownRoom;
    const Step& step = job->steps[static_cast<std::size_t>(task.step)];
    Resources room = step.perTask;
    if (step.usesIdleCores)
        room.milliCores = 0;
    return room;
}

std::size_t TaskPlanner::runs() const
{
    std::size_t count = 0;
    for (const auto& [id, worker] : this->workers)
        count += worker.placedRuns.size();
    return count;
}

std::size_t TaskPlanner::knownWorkers() const
{
    std::size_t count = 0;
    for (const auto& [id, worker] : this->workers)
        count += worker.hasAnswered ? 1 : 0;
    return count;
}

} // namespace rattan::tasks
