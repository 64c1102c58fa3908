// The life cycle of jobs and their units: takeover from records, completion, failure and
// cancellation. The other subjects are in task_planner_units.cc (which tasks have units),
// _workers.cc (reports of workers and
// runs), _leases.cc, _incarnations.cc (restarted workers), _crashes.cc (tasks that crash workers),
// _polls.cc, _rounds.cc (placement), _evictions.cc, _preferences.cc (what is given up by
// idle jobs), _idle.cc (jobs of which nothing runs), _terms.cc (changes of queues), _advice.cc,
// _orders.cc, _reports.cc and _violations.cc.

#include "tasks/task_planner.h"

#include "tasks/estimates_record.h"
#include "tasks/planner_limits.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <utility>

namespace rattan::tasks {

using namespace detail;

namespace {

    // Earlier versions recorded a long-running task that ended as done like other tasks, without the
    // number of its run. The next number must be higher, or workers that had the task refuse it.
    constexpr std::int64_t runsBeforeLostNumber = 1'000'000;

    // The terms that the previous planner recorded as in force, or those of the job's record.
    std::shared_ptr<const QueueTerms> recordedTerms(const std::shared_ptr<const Job>& job, const Progress& plan)
    {
        if (plan.terms && plan.terms->version > job->terms.version)
            return std::make_shared<const QueueTerms>(*plan.terms);
        return { job, &job->terms };
    }

    bool isLongRunning(const Job& job, std::int64_t step)
    {
        return step >= 0 && step < static_cast<std::int64_t>(job.steps.size()) && job.steps[static_cast<std::size_t>(step)].longRunning;
    }

} // namespace

TaskPlanner::TaskPlanner(PlannerOptions options, const JobTable& table, const PlanTable& plans, Millis now, Millis wall)
    : options(options)
    , termStartedAt(now)
    , jobTable(table)
    , catalog(std::make_shared<Catalog>())
{
    restoreEstimates(plans.estimates(), this->runTimes, this->workerSpeeds, this->runTimeForecaster);
    static const Progress emptyPlan;
    for (const auto& [id, entry] : table.all()) {
        const Progress* plan = plans.find(id);
        if (entry.job && !isFinal(entry.state))
            this->adoptJob(entry, plan ? *plan : emptyPlan, now, wall);
    }
    this->updateTerms();
    this->estimatesRecord = plans.splitRecord(formatKey({ RecordKind::Estimates, "" }));
    std::set<std::string> usedParts = this->estimatesRecord.partKeys;
    for (auto& [id, active] : this->jobs) {
        active.record = plans.splitRecord(formatKey({ RecordKind::Progress, id }));
        usedParts.insert(active.record.partKeys.begin(), active.record.partKeys.end());
    }
    this->adoptLeaseLimits();
    for (const auto& [id, plan] : plans.all()) {
        if (!this->jobs.contains(id))
            this->obsoletePlans.push_back(formatKey({ RecordKind::Progress, id }));
    }
    for (const std::string& key : plans.partKeys()) {
        if (!usedParts.contains(key))
            this->obsoletePlans.push_back(key);
    }
}

void TaskPlanner::adoptJob(const JobEntry& entry, const Progress& plan, Millis now, Millis wall)
{
    const Job& job = *entry.job;
    ActiveJob& active = this->jobs[job.id];
    active.job = entry.job;
    active.terms = recordedTerms(entry.job, plan);
    this->learnTerms(active.terms);
    active.text = std::make_shared<const std::string>(job.text);
    active.state = plan.state;
    active.recordedState = entry.state;
    active.reason = plan.reason;
    active.started = plan.started;
    active.occurrencesDone = plan.occurrencesDone;
    active.nextOccurrence = active.occurrencesDone;
    // The plan holds the job's end, but the previous planner died before it recorded the final
    // state for callers.
    if (isFinal(plan.state)) {
        this->markDirty(job.id);
        this->requestImmediateRecord();
        return;
    }
    this->adoptUnits(active, plan, now);
    this->beginDueOccurrences(active, now, wall);
    if (entry.cancelled)
        this->jobCancelled(job.id, now);
}

void TaskPlanner::adoptUnits(ActiveJob& active, const Progress& plan, Millis now)
{
    for (const UnitProgress& unit : plan.units) {
        active.nextOccurrence = std::max(active.nextOccurrence, unit.occurrence + 1);
        if (unit.state == UnitState::Done && !isLongRunning(*active.job, unit.step))
            active.occurrences[unit.occurrence].doneUnits.emplace(unit.step, unit.index);
    }
    for (std::int64_t number = active.occurrencesDone; number < active.nextOccurrence; ++number) {
        this->beginOccurrence(active, number, now);
        const std::vector<StepState>& steps = active.occurrences.at(number).steps;
        if (!std::all_of(steps.begin(), steps.end(), [](const StepState& step) { return step.done; }))
            continue;
        active.occurrences.erase(number); // No unit is left whose end would complete the occurrence.
        active.doneOutOfOrder.insert(number);
    }
    for (const UnitProgress& progress : plan.units) {
        const UnitKey key { active.job->id, progress.occurrence, progress.step, progress.index };
        Unit* unit = this->find(key);
        if (!unit)
            unit = this->addStartedUnit(active, key, now);
        if (!unit)
            continue;
        unit->run = progress.state == UnitState::Done ? runsBeforeLostNumber : progress.run;
        unit->failedRuns.insert(progress.failedRuns.begin(), progress.failedRuns.end());
        unit->checkpoint = progress.checkpoint;
        for (const CrashedRun& crashed : progress.crashes)
            unit->crashes.add(crashed);
        unit->suspect = progress.suspect;
        if (progress.state == UnitState::Running)
            this->adoptRun(*unit, progress, now);
        else if (unit->crashes.taskToGiveUp(unit->run))
            this->exhaustedUnits.insert(unit->key); // The previous planner died before it failed the job.
    }
}

void TaskPlanner::adoptRun(Unit& unit, const UnitProgress& progress, Millis now)
{
    unit.state = UnitState::Running;
    unit.rankedPriority = unit.terms->priority;
    unit.workers = progress.workers;
    unit.membersLeft = static_cast<std::int64_t>(progress.workers.size());
    unit.placedAt = now;
    unit.inherited = true;
    unit.recordsStarts = !progress.startedMembers.empty();
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
        // If records name two incarnations, the runs of both are kept until a poll shows which
        // of them exist: a start for the earlier incarnation may have reached the later one.
        worker.description.incarnation.born = std::max(worker.description.incarnation.born, incarnation.born);
        // The previous planner may not have noticed yet that it was replaced, and may renew leases
        // at workers that this planner cannot reach. If that time were not counted, their tasks
        // could run twice at the same time.
        this->grantLease(worker, now + this->options.predecessorGrace);
        PlacedRun placedRun { .run = { unit.task(static_cast<std::int64_t>(member)), unit.run }, .unit = unit.key };
        placedRun.inherited = true;
        placedRun.phase = RunPhase::Starting;
        placedRun.hasBegun = std::find(progress.startedMembers.begin(), progress.startedMembers.end(), static_cast<std::int64_t>(member)) != progress.startedMembers.end();
        placedRun.resources = this->resourcesOf(placedRun.run.task);
        worker.used += placedRun.resources;
        worker.placedRuns.emplace(placedRun.run, placedRun);
    }
}

void TaskPlanner::jobAccepted(const std::shared_ptr<const Job>& job, Millis now, Millis wall)
{
    if (this->jobs.contains(job->id) || this->finishedJobs.contains(job->id))
        return;
    ActiveJob& active = this->jobs[job->id];
    active.job = job;
    active.terms = std::shared_ptr<const QueueTerms>(job, &job->terms);
    if (this->learnTerms(active.terms))
        this->updateTerms();
    else
        this->updateTerms(active);
    active.text = std::make_shared<const std::string>(job->text);
    this->beginDueOccurrences(active, now, wall);
    this->pacer.markChanged();
}

void TaskPlanner::jobCancelled(const std::string& id, Millis now)
{
    if (this->jobs.contains(id))
        this->finishJob(id, JobState::Cancelled, "cancelled by its caller", now);
}

void TaskPlanner::completeUnit(const UnitKey& key, Millis now)
{
    const auto found = this->units.find(key);
    Unit& unit = found->second;
    this->learnRunTime(unit, now);
    ++this->completedUnitCount;
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

    const UnitKey doneUnit = key;
    ActiveJob& active = this->jobs.at(doneUnit.job);
    Occurrence& occurrence = active.occurrences.at(doneUnit.occurrence);
    occurrence.doneUnits.emplace(doneUnit.step, doneUnit.index);
    StepState& step = occurrence.steps[static_cast<std::size_t>(doneUnit.step)];
    step.done = --step.unitsLeft == 0;
    this->markDirty(doneUnit.job);
    this->pacer.markChanged();
    if (!step.done)
        return;
    this->workerSpeeds.addProgress(std::exchange(step.progressSamples, {}), step.work);
    this->workerSpeeds.addSiblingRuns(step.samples);
    step.samples.clear();
    this->beginReadySteps(active, doneUnit.occurrence, now);
    for (const StepState& state : occurrence.steps) {
        if (!state.done)
            return;
    }
    active.occurrences.erase(doneUnit.occurrence);
    active.doneOutOfOrder.insert(doneUnit.occurrence);
    while (active.doneOutOfOrder.erase(active.occurrencesDone) > 0)
        ++active.occurrencesDone;
    if (active.occurrencesDone >= active.job->occurrences())
        this->finishJob(doneUnit.job, JobState::Completed, "", now);
}

RunGroup TaskPlanner::groupOf(const Unit& unit)
{
    return { unit.job->terms.queue, unit.job->workspace, unit.members(), unit.step().perTask.accelerators, unit.step().estimate };
}

// The learned speed of the slowest worker of its run.
double TaskPlanner::speedOf(const Unit& unit) const
{
    double slowest = std::numeric_limits<double>::max();
    for (const Incarnation& incarnation : unit.workers)
        slowest = std::min(slowest, this->workerSpeeds.of(incarnation.id));
    return unit.workers.empty() ? 1.0 : slowest;
}

// Run times are learned only from runs that this planner observed from the beginning: not from
// resumed or adopted runs, nor from runs placed away from their preferred racks.
bool TaskPlanner::wasObservedFromStart(const Unit& unit)
{
    return unit.startedAt > 0 && unit.progressAtStart == 0 && !unit.inherited && !unit.placedRemotely && !unit.step().longRunning;
}

void TaskPlanner::learnRunTime(const Unit& unit, Millis now)
{
    if (!wasObservedFromStart(unit))
        return;
    const Millis took = now - unit.startedAt;
    this->learnSpeedsAtEnd(unit, took);
    std::vector<std::string> ids;
    for (const Incarnation& incarnation : unit.workers)
        ids.push_back(incarnation.id);
    const std::string& queue = unit.job->terms.queue;
    const RunTimes::Forecast expected = this->runTimes.forecast(queue, unit.step().estimate);
    this->runTimes.addRun(queue, unit.step().estimate, static_cast<double>(took) * this->workerSpeeds.slowestOf(ids));
    const double work = static_cast<double>(took) * this->speedOf(unit);
    this->runTimeForecaster.addRun(groupOf(unit), work);
    if (unit.forecastAtStart)
        this->coverage.addRun(*unit.forecastAtStart, work);
    if (unit.key.index == wholeGang || unit.step().count == 1)
        this->workerSpeeds.addGangRun(ids, expected, took);
    else
        this->jobs.at(unit.key.job).occurrences.at(unit.key.occurrence).steps[static_cast<std::size_t>(unit.key.step)].samples.push_back({ ids.front(), took });
}

// A run that was stopped or lost certainly took longer than until it was last reported as running.
// A failure is no such evidence: what failed would not have taken the time of a run that succeeds.
void TaskPlanner::learnUnfinishedRun(const Unit& unit)
{
    if (unit.state != UnitState::Running || unit.memberFailed || !wasObservedFromStart(unit) || unit.lastReportAt <= unit.startedAt)
        return;
    const double atLeast = static_cast<double>(unit.lastReportAt - unit.startedAt) * this->speedOf(unit);
    this->runTimeForecaster.addUnfinishedRun(groupOf(unit), atLeast);
    if (unit.forecastAtStart)
        this->coverage.addUnfinishedRun(*unit.forecastAtStart, atLeast);
}

// A long-running task that ends at once again and again must not cost a record and a start each 100 ms.
Millis TaskPlanner::restartDelay(int shortRuns)
{
    Millis delay = retryDelay;
    for (int i = 1; i < shortRuns && delay < maxRestartDelay; ++i)
        delay *= 2;
    return std::min(delay, maxRestartDelay);
}

void TaskPlanner::requeueUnit(Unit& unit, Millis now)
{
    const bool failed = unit.memberFailed;
    const bool done = std::exchange(unit.memberDone, false);
    this->learnUnfinishedRun(unit);
    if (unit.startedAt > 0)
        unit.idleSince = now;
    if (failed)
        restartPreferences(unit, now);
    if (done)
        unit.shortRuns = unit.startedAt > 0 && now - unit.startedAt >= minSteadyRun ? 1 : unit.shortRuns + 1;
    unit.state = UnitState::Waiting;
    unit.workers.clear();
    unit.memberFailed = false;
    unit.stopping = false;
    unit.startedAt = 0;
    unit.waitingSince = now;
    unit.notBefore = now;
    if (done)
        unit.notBefore += restartDelay(unit.shortRuns);
    else if (failed)
        unit.notBefore += retryDelay;
    this->isolatedUnits.erase(unit.key);
    this->enqueue(unit);
    this->markDirty(unit.key.job);
    this->pacer.markChanged();
    const char* earlyEnd = failed ? "failed" : "ended early";
    this->emit(PlanEventKind::UnitRetried, unit.key, unit.run, "", done ? "ended as done" : earlyEnd);
    if (unit.crashes.taskToGiveUp(unit.run))
        this->exhaustedUnits.insert(unit.key);
}

// Counts each run number once, also for runs that are no longer current: an end may be reported
// long after its run was considered lost, or a second time to a planner that has taken over.
void TaskPlanner::countFailedRun(const RunRef& run, Millis now)
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
    this->requestImmediateRecord();
    this->emit(PlanEventKind::JobFinished, { id, 0, 0, 0 }, 0, "", fmt::format("{} {}", nameOf(state), active.reason));
    this->dropUnits(active.job->id, now);
    this->markDirty(active.job->id);
    this->pacer.markChanged();
}

// The id must not refer to a string inside a unit, since the units are destroyed here.
void TaskPlanner::dropUnits(const std::string& id, Millis now)
{
    auto next = this->units.lower_bound({ id, 0, 0, wholeGang });
    while (next != this->units.end() && next->first.job == id) {
        Unit unit = std::move(next->second);
        next = this->units.erase(next);
        this->dequeue(unit.key);
        this->isolatedUnits.erase(unit.key);
        this->learnUnfinishedRun(unit);
        this->abandonRun(unit, now);
    }
}

// Stops the current run of a unit; its result is ignored.
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
            this->removeMember(*worker, run, std::nullopt, "", now);
    }
}

TaskPlanner::Unit* TaskPlanner::find(const UnitKey& key)
{
    const auto found = this->units.find(key);
    return found == this->units.end() ? nullptr : &found->second;
}

UnitKey TaskPlanner::unitOf(const TaskRef& task) const
{
    const JobEntry* entry = this->jobTable.find(task.job);
    const bool gang = entry && task.step >= 0 && task.step < static_cast<std::int64_t>(entry->job->steps.size())
        && entry->job->steps[static_cast<std::size_t>(task.step)].gang;
    return { task.job, task.occurrence, task.step, gang ? wholeGang : task.index };
}

// The resources that a task takes. For a task without a record they are unknown, and larger
// than any worker, so that nothing is placed on its worker until the run has been stopped.
Resources TaskPlanner::resourcesOf(const TaskRef& task) const
{
    const auto active = this->jobs.find(task.job);
    const JobEntry* entry = this->jobTable.find(task.job);
    const Job* job = active != this->jobs.end() ? active->second.job.get() : entry ? entry->job.get()
                                                                                   : nullptr;
    if (!job || task.step < 0 || task.step >= static_cast<std::int64_t>(job->steps.size()))
        return unknownResources;
    const Step& step = job->steps[static_cast<std::size_t>(task.step)];
    Resources resources = step.perTask;
    if (step.usesIdleCores)
        resources.milliCores = 0;
    return resources;
}

std::size_t TaskPlanner::runCount() const
{
    std::size_t count = 0;
    for (const auto& [id, worker] : this->workers)
        count += worker.placedRuns.size();
    return count;
}

std::size_t TaskPlanner::knownWorkerCount() const
{
    std::size_t count = 0;
    for (const auto& [id, worker] : this->workers)
        count += worker.hasAnswered ? 1 : 0;
    return count;
}

} // namespace rattan::tasks
