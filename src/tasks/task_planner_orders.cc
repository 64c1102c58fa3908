// Orders: records that must be durable first, and the starts and stops that are due.

#include "tasks/estimates_record.h"
#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

namespace rattan::tasks {

using namespace detail;

Progress TaskPlanner::progressOf(const ActiveJob& active) const
{
    Progress progress;
    progress.state = active.state;
    progress.started = active.started;
    progress.reason = active.reason;
    progress.occurrencesDone = active.occurrencesDone;
    if (isFinal(active.state))
        return progress;
    if (active.terms->version > active.job->terms.version && movesWork(active.job->terms, *active.terms))
        progress.terms = *active.terms;
    for (const auto& [number, occurrence] : active.occurrences) {
        for (const auto& [step, index] : occurrence.doneUnits)
            progress.units.push_back({ .occurrence = number, .step = step, .index = index, .state = UnitState::Done });
    }
    // Only the numbers of occurrences that ended out of order are kept; their units are listed
    // again from the steps.
    for (const std::int64_t number : active.doneOutOfOrder) {
        for (std::size_t step = 0; step < active.job->steps.size(); ++step) {
            const Step& stepSpec = active.job->steps[step];
            for (std::int64_t index = stepSpec.gang ? wholeGang : 0; index < (stepSpec.gang ? 0 : stepSpec.count); ++index)
                progress.units.push_back({ .occurrence = number, .step = static_cast<std::int64_t>(step), .index = index, .state = UnitState::Done });
        }
    }
    for (auto next = this->units.lower_bound({ active.job->id, 0, 0, wholeGang }); next != this->units.end() && next->first.job == active.job->id; ++next) {
        const Unit& unit = next->second;
        if (unit.run == 0)
            continue;
        UnitProgress unitProgress { .occurrence = unit.key.occurrence, .step = unit.key.step, .index = unit.key.index, .run = unit.run };
        unitProgress.failedRuns.assign(unit.failedRuns.begin(), unit.failedRuns.end());
        unitProgress.state = unit.state;
        unitProgress.checkpoint = unit.checkpoint;
        unitProgress.workers = unit.workers;
        unitProgress.crashes = unit.crashes.all();
        unitProgress.suspect = unit.suspect;
        if (unit.recordsStarts || !unitProgress.crashes.empty())
            unitProgress.startedMembers = this->begunMembers(unit);
        progress.units.push_back(std::move(unitProgress));
    }
    return progress;
}

// Whether changes, if there are any, must be recorded now. Starts and final states are recorded
// immediately because other components wait for them. An end after which its job continues can
// wait, so that several ends share one record: every instance has to read each record.
bool TaskPlanner::isRecordDue(Millis now)
{
    if (!this->jobsToForget.empty() || !this->loadsToRecord.empty() || !this->limitsToRecord.empty() || !this->limitsToDrop.empty())
        return true;
    if (this->dirtyJobs.empty())
        return true;
    if (!this->startsToRecord.empty())
        this->recordDueAt = 0;
    if (this->recordDueAt == noRecord)
        this->recordDueAt = now + maxRecordDelay;
    return now >= this->recordDueAt;
}

void TaskPlanner::forgetJobs(const std::vector<std::string>& ids)
{
    for (const std::string& id : ids) {
        if (!this->jobs.contains(id))
            this->jobsToForget.push_back(id);
    }
}

void TaskPlanner::makeBatch(Millis now, Orders& orders)
{
    if (this->isBatchPending)
        return;
    for (const auto& [id, worker] : this->workers) {
        if (worker.handledUpTo > worker.durableUpTo)
            this->endsInBatch[worker.description.incarnation] = worker.handledUpTo;
    }
    this->findLeaseLimitChanges(now);
    if (!this->isRecordDue(now))
        return;
    if (this->dirtyJobs.empty() && this->jobsToForget.empty() && this->loadsToRecord.empty() && this->limitsToRecord.empty() && this->limitsToDrop.empty()) {
        // Ends that changed no job need no record and can be acknowledged.
        for (const auto& [incarnation, number] : this->endsInBatch) {
            if (Worker* worker = this->find(incarnation); worker && worker->description.incarnation == incarnation)
                setDurable(*worker, number, now);
        }
        this->endsInBatch.clear();
        return;
    }
    RecordBatch batch;
    batch.number = ++this->batchNumber;
    for (const std::string& id : this->dirtyJobs)
        this->recordJob(id, batch);
    if (now >= this->lastLearnedRecordAt + learnedRecordInterval) {
        this->lastLearnedRecordAt = now;
        this->estimatesRecord.write(batch.plans, formatKey({ RecordKind::Estimates, "" }), encodeEstimates(this->runTimes, this->workerSpeeds, this->runTimeForecaster), this->options.maxRecordBytes);
    }
    for (const auto& [key, value] : this->loadsToRecord)
        batch.jobs.emplace_back(key, value);
    this->loadsToRecord.clear();
    this->recordLeaseLimits(batch, now);
    this->recordDeletions(batch);
    this->dirtyJobs.clear();
    this->recordDueAt = noRecord;
    this->startsInBatch = std::move(this->startsToRecord);
    this->startsToRecord.clear();
    this->isBatchPending = true;
    this->batchCreatedAt = now;
    orders.batches.push_back(std::move(batch));
}

void TaskPlanner::recordJob(const std::string& id, RecordBatch& batch)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end())
        return;
    ActiveJob& active = found->second;
    const std::string key = formatKey({ RecordKind::Progress, id });
    active.record.write(batch.plans, key, encodeProgress(this->progressOf(active), this->options.maxRecordBytes - key.size()), this->options.maxRecordBytes);
    if (active.state != active.recordedState)
        batch.jobs.emplace_back(formatKey({ RecordKind::State, id }), encodeState(active.state));
    active.recordedState = active.state;
    if (!isFinal(active.state))
        return;
    if (this->finishedJobs.size() >= maxFinishedJobs)
        this->finishedJobs.clear();
    this->finishedJobs.insert(id);
    this->plansEndedInBatch.push_back(key);
    this->plansEndedInBatch.insert(this->plansEndedInBatch.end(), active.record.partKeys.begin(), active.record.partKeys.end());
    this->forgetAdvice(id);
    this->jobs.erase(found);
}

// A plan is deleted only after the end of its job is durable in the records that every instance
// reads: without both, the job would begin again. The job record itself is deleted last, since
// only it shows that the job existed.
void TaskPlanner::recordDeletions(RecordBatch& batch)
{
    for (const std::string& key : this->obsoletePlans)
        batch.plans.emplace_back(key, "");
    this->obsoletePlans.clear();
    for (const std::string& id : this->jobsToForget) {
        for (const RecordKind kind : { RecordKind::Cancel, RecordKind::State, RecordKind::Job })
            batch.jobs.emplace_back(formatKey({ kind, id }), "");
    }
    this->jobsToForget.clear();
}

// Whether the worker's runs fit its capacity, which may have shrunk since they were placed: a
// record can take seconds.
bool TaskPlanner::isWithinCapacity(const Worker& worker)
{
    return worker.used.fitsIn(worker.description.capacity);
}

// Ends up to the number can be acknowledged. A worker with more ends lists them only then.
void TaskPlanner::setDurable(Worker& worker, std::int64_t number, Millis now)
{
    worker.durableUpTo = number;
    if (worker.hasMoreEnds)
        worker.ackDueBy = now;
    else if (worker.ackDueBy == 0)
        worker.ackDueBy = now + maxAckDelay;
}

void TaskPlanner::batchRecorded(std::int64_t batch, Millis now)
{
    if (!this->isBatchPending || batch != this->batchNumber)
        return;
    this->isBatchPending = false;
    this->leaseLimitsRecorded();
    for (const auto& [incarnation, number] : this->endsInBatch) {
        Worker* worker = this->find(incarnation);
        if (!worker || worker->description.incarnation != incarnation)
            continue; // A later incarnation numbers its ends from 1 again.
        setDurable(*worker, number, now);
    }
    this->endsInBatch.clear();
    this->obsoletePlans.insert(this->obsoletePlans.end(), this->plansEndedInBatch.begin(), this->plansEndedInBatch.end());
    this->plansEndedInBatch.clear();
    for (const auto& [id, run] : this->startsInBatch) {
        const auto worker = this->workers.find(id);
        if (worker == this->workers.end())
            continue;
        const auto placedRun = worker->second.placedRuns.find(run);
        if (placedRun == worker->second.placedRuns.end() || placedRun->second.phase != RunPhase::Recording)
            continue;
        const Unit* unit = this->find(placedRun->second.unit);
        if (!unit)
            continue;
        if (!isWithinCapacity(worker->second) || this->isEvacuated(worker->second)) {
            this->removeMember(worker->second, run, std::nullopt, "", now);
            continue;
        }
        if (this->hasPolicy(*unit)) {
            this->awaitTicket(placedRun->second);
            continue;
        }
        placedRun->second.phase = RunPhase::Starting;
        this->sendStart(worker->second, placedRun->second, *unit, now);
    }
    this->startsInBatch.clear();
    this->updateWaitingStarts(now);
}

void TaskPlanner::sendStart(Worker& worker, PlacedRun& placedRun, const Unit& unit, Millis now)
{
    ++placedRun.startsSent;
    worker.lastStartAt = now;
    this->grantLease(worker, now);
    const std::string* ticket = this->ticketOf(unit, worker);
    this->startOrders.push_back({ worker.description.incarnation, worker.description.address, worker.description.domain, placedRun.run, this->jobs.at(placedRun.run.task.job).text, unit.checkpoint, ticket ? *ticket : "", now });
}

// The ticket of the first attempt may have expired since.
void TaskPlanner::sendStartAgain(Worker& worker, PlacedRun& placedRun, const Unit& unit, Millis now)
{
    if (this->hasTicket(unit, worker, now))
        this->sendStart(worker, placedRun, unit, now);
    else
        this->awaitTicket(placedRun);
}

// Whether a stop was answered before the run was confirmed as started, and no poll has shown the
// result yet. The next poll settles such a run. Another stop would only postpone that, since its
// answer would require a still later poll.
bool TaskPlanner::isStoppedBeforeStart(const Worker& worker, const PlacedRun& placedRun)
{
    return placedRun.phase == RunPhase::Starting && placedRun.startRuledOutAt > 0 && placedRun.startRuledOutAt >= worker.incarnationConfirmedAt;
}

void TaskPlanner::makeStops(Millis now, Orders& orders)
{
    for (auto& [id, worker] : this->workers) {
        if (worker.description.address.empty())
            continue;
        for (auto& [run, placedRun] : worker.placedRuns) {
            const bool canRun = placedRun.phase == RunPhase::Starting || placedRun.phase == RunPhase::Running;
            if (!placedRun.stopRequested || !canRun || placedRun.stopInFlight)
                continue;
            if (now < placedRun.nextStopAt || isStoppedBeforeStart(worker, placedRun))
                continue;
            placedRun.stopInFlight = true;
            placedRun.nextStopAt = now + stopRetryInterval + this->options.stopTimeout;
            orders.stops.push_back({ worker.description.incarnation, worker.description.address, run });
        }
    }
}

Orders TaskPlanner::takeOrders(Millis now)
{
    Orders orders;
    this->makeBatch(now, orders);
    orders.starts = this->takeDueStarts();
    orders.advice = std::move(this->adviceOrders);
    this->adviceOrders.clear();
    this->makeStops(now, orders);
    this->makePolls(now, orders);
    this->reportRoutineCounts();
    orders.events = std::move(this->events);
    this->events.clear();
    this->eventCounts.clear();
    return orders;
}

} // namespace rattan::tasks
