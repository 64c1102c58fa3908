// Orders: what has to be recorded first, and which calls to workers are due.

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
    for (const auto& [number, occurrence] : active.occurrences) {
        for (const auto& [step, index] : occurrence.doneUnits)
            progress.units.push_back({ .occurrence = number, .step = step, .index = index, .state = UnitState::Done });
    }
    // Occurrences that ended before earlier ones have no state left but their units.
    for (const std::int64_t number : active.doneOutOfOrder) {
        for (std::size_t step = 0; step < active.job->steps.size(); ++step) {
            const Step& spec = active.job->steps[step];
            for (std::int64_t index = spec.gang ? wholeGang : 0; index < (spec.gang ? 0 : spec.count); ++index)
                progress.units.push_back({ .occurrence = number, .step = static_cast<std::int64_t>(step), .index = index, .state = UnitState::Done });
        }
    }
    for (auto next = this->units.lower_bound({ active.job->id, 0, 0, wholeGang }); next != this->units.end() && next->first.job == active.job->id; ++next) {
        const Unit& unit = next->second;
        if (unit.run == 0)
            continue;
        UnitProgress row { .occurrence = unit.key.occurrence, .step = unit.key.step, .index = unit.key.index, .run = unit.run };
        row.failedRuns.assign(unit.failedRuns.begin(), unit.failedRuns.end());
        row.state = unit.state;
        row.checkpoint = unit.checkpoint;
        row.workers = unit.workers;
        row.crashes = unit.crashes.all();
        row.suspect = unit.suspect;
        if (!row.crashes.empty())
            row.startedMembers = this->begunMembers(unit);
        progress.units.push_back(std::move(row));
    }
    return progress;
}

// Starts and final states are waited for and recorded at once. An end that only
// brings a job further is not; a few of them share a record, which every
// instance has to read.
bool TaskPlanner::recordDue(Millis now)
{
    if (!this->toForget.empty())
        return true;
    if (this->dirty.empty())
        return true;
    if (!this->startsToRecord.empty())
        this->recordBy = 0;
    if (this->recordBy == noRecord)
        this->recordBy = now + longestRecordDelay;
    return now >= this->recordBy;
}

void TaskPlanner::forget(const std::vector<std::string>& ids)
{
    for (const std::string& id : ids) {
        if (!this->jobs.contains(id))
            this->toForget.push_back(id);
    }
}

void TaskPlanner::makeBatch(Millis now, Orders& orders)
{
    if (this->batchUnderWay)
        return;
    for (const auto& [id, worker] : this->workers) {
        if (worker.handledUpTo > worker.durableUpTo)
            this->endsInBatch[worker.description.incarnation] = worker.handledUpTo;
    }
    if (!this->recordDue(now))
        return;
    if (this->dirty.empty() && this->toForget.empty()) {
        // Ends that changed nothing are as durable as they will ever be.
        for (const auto& [incarnation, number] : this->endsInBatch) {
            if (Worker* worker = this->find(incarnation); worker && worker->description.incarnation == incarnation)
                worker->durableUpTo = number;
        }
        this->endsInBatch.clear();
        return;
    }
    RecordBatch batch;
    batch.number = ++this->batchNumber;
    for (const std::string& id : this->dirty)
        this->recordJob(id, batch);
    if (now >= this->learnedAt + learnedEvery) {
        this->learnedAt = now;
        batch.plans.emplace_back(formatKey({ RecordKind::Estimates, "" }), encodeEstimates(this->runTimes, this->speeds));
    }
    this->recordForgotten(batch);
    this->dirty.clear();
    this->recordBy = noRecord;
    this->startsInBatch = std::move(this->startsToRecord);
    this->startsToRecord.clear();
    this->batchUnderWay = true;
    this->batchMadeAt = now;
    orders.batches.push_back(std::move(batch));
}

void TaskPlanner::recordJob(const std::string& id, RecordBatch& batch)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end())
        return;
    ActiveJob& active = found->second;
    batch.plans.emplace_back(formatKey({ RecordKind::Progress, id }), encodeProgress(this->progressOf(active)));
    if (active.state != active.recordedState)
        batch.jobs.emplace_back(formatKey({ RecordKind::State, id }), encodeState(active.state));
    active.recordedState = active.state;
    if (!isFinal(active.state))
        return;
    if (this->finished.size() >= mostFinished)
        this->finished.clear();
    this->finished.insert(id);
    this->endedInBatch.push_back(id);
    this->forgetAdvice(id);
    this->jobs.erase(found);
}

// A plan goes only once the end of its job is recorded where every instance reads it:
// without either the job would begin again. Of what is forgotten the job's own record goes
// last: it alone tells that there was a job.
void TaskPlanner::recordForgotten(RecordBatch& batch)
{
    for (const std::string& id : this->plansOver)
        batch.plans.emplace_back(formatKey({ RecordKind::Progress, id }), "");
    this->plansOver.clear();
    for (const std::string& id : this->toForget) {
        for (const RecordKind kind : { RecordKind::Cancel, RecordKind::State, RecordKind::Job })
            batch.jobs.emplace_back(formatKey({ kind, id }), "");
    }
    this->toForget.clear();
}

// The capacity may have shrunk since the run was placed: a record can take seconds.
bool TaskPlanner::isWithinCapacity(const Worker& worker)
{
    return worker.used.fitsIn(worker.description.capacity);
}

void TaskPlanner::recorded(std::int64_t batch, Millis now)
{
    if (!this->batchUnderWay || batch != this->batchNumber)
        return;
    this->batchUnderWay = false;
    for (const auto& [incarnation, number] : this->endsInBatch) {
        Worker* worker = this->find(incarnation);
        if (!worker || worker->description.incarnation != incarnation)
            continue; // A later incarnation counts its ends anew.
        worker->durableUpTo = number;
        if (worker->ackDueBy == 0)
            worker->ackDueBy = now + longestAckDelay;
    }
    this->endsInBatch.clear();
    this->plansOver.insert(this->plansOver.end(), this->endedInBatch.begin(), this->endedInBatch.end());
    this->endedInBatch.clear();
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
        if (!isWithinCapacity(worker->second)) {
            this->memberGone(worker->second, run, std::nullopt, "", now);
            continue;
        }
        placedRun->second.phase = RunPhase::Starting;
        this->sendStart(worker->second, placedRun->second, *unit, now);
    }
    this->startsInBatch.clear();
}

void TaskPlanner::sendStart(Worker& worker, PlacedRun& placedRun, const Unit& unit, Millis now)
{
    ++placedRun.startsSent;
    worker.lastStartAt = now;
    this->grantLease(worker, now);
    const std::string* ticket = this->ticketFor(unit.key, worker.description.incarnation, now);
    this->startOrders.push_back({ worker.description.incarnation, worker.description.address, placedRun.run, this->jobs.at(placedRun.run.task.job).text, unit.checkpoint, ticket ? *ticket : "", now });
}

// A run that had not begun when its worker took the stop: a poll sent since then tells that it
// is not there. The answer to another stop would have a later poll waited for, each time.
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
            if (!placedRun.stopRequested || placedRun.phase == RunPhase::Recording || placedRun.stopInFlight)
                continue;
            if (now < placedRun.nextStopAt || isStoppedBeforeStart(worker, placedRun))
                continue;
            placedRun.stopInFlight = true;
            placedRun.nextStopAt = now + stopRetry + this->options.stopTimeout;
            orders.stops.push_back({ worker.description.incarnation, worker.description.address, run });
        }
    }
}

Orders TaskPlanner::take(Millis now)
{
    Orders orders;
    this->makeBatch(now, orders);
    orders.starts = std::move(this->startOrders);
    this->startOrders.clear();
    orders.advice = std::move(this->adviceOrders);
    this->adviceOrders.clear();
    this->makeStops(now, orders);
    this->makePolls(now, orders);
    this->reportRoutine();
    orders.events = std::move(this->events);
    this->events.clear();
    this->eventCounts.clear();
    return orders;
}

} // namespace rattan::tasks
