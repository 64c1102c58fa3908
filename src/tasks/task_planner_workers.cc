// Workers and their runs: applies worker lists, poll answers and answers to orders, and decides
// when a run that is no longer observable has certainly ended. Leases are in task_planner_leases.cc.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace rattan::tasks {

using namespace detail;

TaskPlanner::Worker* TaskPlanner::find(const Incarnation& incarnation)
{
    const auto found = this->workers.find(incarnation.id);
    return found == this->workers.end() ? nullptr : &found->second;
}

void TaskPlanner::workersListed(const std::vector<WorkerDescription>& descriptions, Millis now)
{
    std::set<std::string> listed;
    for (const WorkerDescription& seen : descriptions) {
        listed.insert(seen.incarnation.id);
        const auto [found, isNew] = this->workers.try_emplace(seen.incarnation.id);
        Worker& worker = found->second;
        if (!isNew && worker.description.incarnation.born > seen.incarnation.born)
            continue; // An entry of an incarnation that is known to have ended.
        if (seen.leaving && !worker.description.leaving)
            worker.leavesAt = now + seen.remaining;
        if (worker.description.leaving != seen.leaving || !worker.listed)
            this->pacer.markChanged();
        const Incarnation known = worker.description.incarnation;
        worker.description = seen;
        worker.listed = true;
        // Only a poll can show which runs belong to the later incarnation: it may have executed a
        // start that was meant for the earlier one.
        if (!isNew && known.born < seen.incarnation.born) {
            worker.description.incarnation = known;
            worker.hasAnswered = false;
            worker.nextPollAt = std::min(worker.nextPollAt, now);
        }
    }
    for (auto next = this->workers.begin(); next != this->workers.end();) {
        Worker& worker = next->second;
        if (!listed.contains(next->first)) {
            worker.listed = false;
            // Unanswered calls that may still be executed must be remembered in case the worker's
            // next incarnation is listed.
            if (worker.placedRuns.empty() && !canReceiveLateCalls(worker, now)) {
                this->emit(PlanEventKind::WorkerGone, {}, 0, next->first, "no longer listed");
                next = this->workers.erase(next);
                continue;
            }
        }
        ++next;
    }
}

void TaskPlanner::pollAnswered(const Incarnation& incarnation, Millis sentAt, bool concurrent, const WorkerReport& report, Millis now)
{
    Worker* worker = this->find(incarnation);
    if (!worker)
        return;
    if (report.born < worker->description.incarnation.born && report.born > 0)
        return this->pollFailed(incarnation, concurrent, WorkerFault::NoAnswer, now); // A poll of the current incarnation was answered first.
    if (report.born > worker->description.incarnation.born)
        this->changeIncarnation(*worker, report, sentAt, concurrent, now);
    if (!worker->hasAnswered)
        this->emit(PlanEventKind::WorkerKnown, {}, 0, incarnation.id, fmt::format("{} runs, {} ends", report.running.size(), report.ended.size()));
    (concurrent ? worker->quickPollInFlight : worker->pollInFlight) = false;
    worker->hasAnswered = true;
    worker->silent = false;
    worker->lastAnswerAt = now;
    this->domainDoubts.addAnswer(worker->description.domain, now);
    worker->pollBackoff = 0;
    worker->nextPollAt = now;
    // Answers may overtake each other.
    if (sentAt >= worker->incarnationConfirmedAt)
        worker->hasMoreEnds = report.hasMoreEnds;
    if (report.hasMoreEnds)
        this->requestImmediateRecord(); // The worker lists the other ends only after these are acknowledged.
    worker->incarnationConfirmedAt = std::max(worker->incarnationConfirmedAt, sentAt);
    if (!concurrent)
        worker->acknowledgedUpTo = std::max(worker->acknowledgedUpTo, worker->ackInFlight);
    if (worker->acknowledgedUpTo >= worker->durableUpTo)
        worker->ackDueBy = 0;
    else if (worker->ackDueBy == 0)
        worker->ackDueBy = now; // The poll acknowledged less, since a start could have reached another incarnation.
    this->pacer.markChanged();
    for (const EndedTask& end : report.ended)
        this->applyEndedTask(*worker, end, now);
    for (const RunningTask& running : report.running)
        this->applyRunningTask(*worker, running, now);
    this->settleUnlistedRuns(*worker, report, sentAt, now);
    // Runs that are alive show that the lease was renewed later than this planner knew. Unread ends
    // are waited for as long as the worker answers.
    const bool hasUnreadEnds = std::any_of(worker->placedRuns.begin(), worker->placedRuns.end(), [](const auto& row) { return row.second.phase == RunPhase::EndUnread; });
    if ((!report.running.empty() || hasUnreadEnds) && now >= worker->leaseEndsBy)
        this->grantLease(*worker, now);
}

void TaskPlanner::setEvacuatedDomains(const EvacuatedDomains& domains, bool known, Millis now)
{
    this->evacuatedDomains = domains;
    this->evacuationsKnown = known;
    this->withdrawUnsentStarts(now);
    this->pacer.markChanged();
}

// Takes back placements on evacuated workers whose starts have not left this planner. A run
// whose start was sent, or may have been, is settled by its worker's answer.
void TaskPlanner::withdrawUnsentStarts(Millis now)
{
    std::vector<std::pair<Worker*, RunRef>> unsentRuns;
    for (auto& [id, worker] : this->workers) {
        if (!this->isEvacuated(worker))
            continue;
        for (const auto& [run, placedRun] : worker.placedRuns) {
            if (placedRun.phase == RunPhase::Recording)
                unsentRuns.emplace_back(&worker, run);
        }
    }
    for (const auto& [worker, run] : unsentRuns)
        this->removeMember(*worker, run, std::nullopt, "", now);
    for (const StartOrder& order : std::exchange(this->startOrders, {})) {
        Worker* worker = this->find(order.worker);
        if (worker && this->isEvacuated(*worker))
            this->withdrawStart(*worker, order.run, now);
        else
            this->startOrders.push_back(order);
    }
}

void TaskPlanner::withdrawStart(Worker& worker, const RunRef& run, Millis now)
{
    const auto found = worker.placedRuns.find(run);
    if (found == worker.placedRuns.end())
        return;
    if (!found->second.hasUnansweredStart)
        return this->removeMember(worker, run, std::nullopt, "", now);
    // An earlier attempt may be executed late, so the run occupies resources until it is stopped.
    found->second.requestStop(now);
    if (Unit* unit = this->find(found->second.unit))
        this->stopUnit(*unit, now);
}

std::size_t TaskPlanner::runCountIn(std::string_view domain) const
{
    std::size_t count = 0;
    for (const auto& [id, worker] : this->workers)
        count += worker.description.domain == domain ? worker.placedRuns.size() : 0;
    return count;
}

void TaskPlanner::markSilent(Worker& worker, Millis now)
{
    if (!std::exchange(worker.silent, true)) {
        worker.silentSince = now;
        this->recordStartsOn(worker);
    }
    this->domainDoubts.addSilentWorker(worker.description.domain, worker.description.incarnation.id, now);
}

bool TaskPlanner::isInDoubtedDomain(const Worker& worker, Millis now) const
{
    return this->domainDoubts.isSuspected(worker.description.domain, worker.lastAnswerAt, now);
}

void TaskPlanner::pollFailed(const Incarnation& incarnation, bool concurrent, WorkerFault fault, Millis now)
{
    Worker* worker = this->find(incarnation);
    if (!worker)
        return;
    (concurrent ? worker->quickPollInFlight : worker->pollInFlight) = false;
    if (fault == WorkerFault::Deposed) {
        this->isDeposed = true;
        return;
    }
    if (fault == WorkerFault::OtherIncarnation) {
        this->loseIncarnation(*worker, now, "another incarnation answers");
        worker->nextPollAt = now + maxPollBackoff;
        return;
    }
    if (!concurrent && worker->ackInFlight > 0 && fault == WorkerFault::NoAnswer)
        worker->ackUnansweredAt = now;
    if (!worker->silent)
        this->emit(PlanEventKind::WorkerSilent, {}, 0, incarnation.id, std::string(nameOf(fault)));
    this->markSilent(*worker, now);
    worker->pollBackoff = std::clamp(worker->pollBackoff * 2, minPollBackoff, maxPollBackoff);
    worker->nextPollAt = now + worker->pollBackoff;
}

void TaskPlanner::applyEndedTask(Worker& worker, const EndedTask& end, Millis now)
{
    if (end.number <= worker.handledUpTo)
        return;
    worker.handledUpTo = end.number;
    if (end.end == RunEnd::Done)
        worker.health.runSucceeded();
    if (end.end == RunEnd::Failed && worker.placedRuns.contains(end.run) && !this->failsAnywhere(this->unitOf(end.run.task), worker.description.incarnation.id)) {
        worker.health.runFailed(now);
        if (worker.health.isProbing())
            this->emit(PlanEventKind::WorkerDistrusted, {}, 0, worker.description.incarnation.id, "consecutive runs failed");
    }
    if (worker.placedRuns.contains(end.run))
        this->removeMember(worker, end.run, end.end, end.checkpoint, now);
    if (end.end == RunEnd::Done)
        this->acceptLateCompletion(end.run, now);
    if (end.end == RunEnd::Failed)
        this->countFailedRun(end.run, now);
}

// Whether the failure of a run says nothing about its worker: its step has failed on several others and
// no task of it has succeeded, or its job is over. A job that fails by itself would otherwise get
// one sound worker after the other quarantined.
bool TaskPlanner::failsAnywhere(const UnitKey& key, const std::string& worker) const
{
    const auto found = this->units.find(key);
    if (found == this->units.end())
        return true;
    const Step& step = found->second.step();
    const StepState& state = this->jobs.at(key.job).occurrences.at(key.occurrence).steps[static_cast<std::size_t>(key.step)];
    if (state.unitsLeft < (step.gang ? 1 : step.count))
        return false;
    std::set<std::string_view> others;
    for (auto next = this->units.lower_bound({ key.job, key.occurrence, key.step, wholeGang }); next != this->units.end() && next->first.job == key.job && next->first.occurrence == key.occurrence && next->first.step == key.step; ++next) {
        for (const std::string& failedOn : next->second.excludedWorkers) {
            if (failedOn != worker)
                others.insert(failedOn);
        }
    }
    return others.size() >= maxBlamedWorkers;
}

// Accepts the completion of a run that was considered lost. Its task need not run again; if the
// next run has begun already, it is stopped.
void TaskPlanner::acceptLateCompletion(const RunRef& run, Millis now)
{
    const UnitKey key = this->unitOf(run.task);
    Unit* unit = this->find(key);
    if (!unit || unit->step().longRunning || run.run > unit->run)
        return;
    if (unit->state == UnitState::Running)
        this->abandonRun(*unit, now);
    if (run.run != unit->run)
        unit->startedAt = 0; // That of the later run, from which no run time can be learned.
    this->completeUnit(key, now);
}

void TaskPlanner::applyRunningTask(Worker& worker, const RunningTask& running, Millis now)
{
    const auto found = worker.placedRuns.find(running.run);
    if (found == worker.placedRuns.end()) {
        // The run was considered lost, or its job is final: it only occupies resources until
        // it has been stopped.
        PlacedRun stray { .run = running.run, .unit = this->unitOf(running.run.task) };
        stray.orphaned = true;
        stray.phase = RunPhase::Running;
        stray.requestStop(now);
        stray.resources = this->resourcesOf(running.run.task);
        worker.used += stray.resources;
        worker.placedRuns.emplace(running.run, stray);
        return;
    }
    PlacedRun& placedRun = found->second;
    if (placedRun.phase == RunPhase::EndUnread)
        return; // A later report, which was answered first, didn't list it any more.
    const bool startWasUnanswered = placedRun.phase != RunPhase::Running;
    const bool wasRecordedAsBegun = placedRun.hasBegun;
    if (startWasUnanswered)
        this->confirmStart(placedRun, now);
    // A run of an earlier planner may have started long ago, so a crash soon after this isn't one soon
    // after its start.
    if (startWasUnanswered && placedRun.inherited) {
        placedRun.hasBegun = false;
        if (wasRecordedAsBegun)
            this->markDirty(placedRun.unit.job);
    }
    const bool firstListed = placedRun.lastListedAt == 0;
    placedRun.lastListedAt = now;
    Unit* unit = placedRun.orphaned ? nullptr : this->find(placedRun.unit);
    if (!unit || unit->run != running.run.run)
        return;
    unit->hasInexactStart = unit->hasInexactStart || startWasUnanswered;
    unit->crashes.retract(running.run.run, running.run.task.index);
    if ((unit->suspect || unit->recordsStarts || unit->crashes.size() > 0) && this->hasSurvivedStart(*unit))
        this->clearSuspicion(*unit);
    const double progress = static_cast<double>(running.percent) / 100.0;
    if (unit->startedAt == 0) {
        unit->startedAt = now;
        unit->progressAtStart = progress;
        unit->lastProgressAt = now;
    }
    if (unit->inherited && firstListed)
        this->estimateInheritedRunTime(*unit, progress, now);
    // Members have unequal work, and a member that has finished its part waits for the others.
    // So progress of any member counts as progress of the unit.
    if (progress > placedRun.progress) {
        placedRun.progress = progress;
        unit->lastProgressAt = now;
        unit->progress = this->minMemberProgress(*unit);
        if (unit->step().longRunning && progress >= 1 && placedRun.confirmedAt >= worker.health.quarantinedUntil())
            worker.health.runSucceeded(); // A serving task has no end that would report its success.
        this->noteProgress(*unit, running.run.task, progress, now);
    }
    if (!running.checkpoint.empty() && running.checkpoint != unit->checkpoint) {
        unit->checkpoint = running.checkpoint;
        unit->checkpointProgress = progress;
    }
    unit->lastReportAt = now;
}

// The start time of a run that an earlier planner started is unknown, so its run time until now
// is estimated from its progress. For a gang, the minimum over its members counts: the member
// with most work shows the run time, the others have progressed further in the same time.
void TaskPlanner::estimateInheritedRunTime(Unit& unit, double progress, Millis now) const
{
    const Millis expectedWork = this->forecastOf(unit).work;
    const Millis inheritedRunTime = static_cast<Millis>(static_cast<double>(expectedWork) * progress) - (now - unit.startedAt);
    unit.inheritedWork = std::min(unit.inheritedWork.value_or(expectedWork), std::max<Millis>(inheritedRunTime, 0));
}

double TaskPlanner::minMemberProgress(const Unit& unit)
{
    double minProgress = 1;
    for (std::size_t member = 0; member < unit.workers.size(); ++member) {
        Worker* worker = this->find(unit.workers[member]);
        if (!worker)
            continue;
        const auto placedRun = worker->placedRuns.find({ unit.task(static_cast<std::int64_t>(member)), unit.run });
        if (placedRun != worker->placedRuns.end())
            minProgress = std::min(minProgress, std::max(placedRun->second.progress, unit.progressAtStart));
    }
    return minProgress;
}

// Removes runs that the worker's lists do not hold and that cannot start later. That depends on
// which planner sent the start, and on whether a stop arrived first. While the worker has more ends
// than it lists, such a run may have ended as done, so it is kept until all of them were read.
void TaskPlanner::settleUnlistedRuns(Worker& worker, const WorkerReport& report, Millis sentAt, Millis now)
{
    std::set<RunRef> listed;
    for (const RunningTask& running : report.running)
        listed.insert(running.run);
    for (const EndedTask& end : report.ended)
        listed.insert(end.run);
    std::vector<RunRef> unlisted;
    for (const auto& [run, placedRun] : worker.placedRuns) {
        if (placedRun.phase == RunPhase::Recording || listed.contains(run))
            continue;
        const bool ranBefore = placedRun.phase == RunPhase::Running && placedRun.confirmedAt < sentAt;
        const bool canNeverStart = placedRun.inherited || (placedRun.startRuledOutAt > 0 && placedRun.startRuledOutAt < sentAt);
        if (ranBefore || canNeverStart)
            unlisted.push_back(run);
    }
    for (const RunRef& run : unlisted) {
        const auto found = worker.placedRuns.find(run);
        if (found == worker.placedRuns.end())
            continue; // Removed with a run before it.
        PlacedRun& placedRun = found->second;
        if (!report.hasMoreEnds) {
            if (placedRun.phase == RunPhase::Running)
                this->emit(PlanEventKind::RunLost, placedRun.unit, run.run, worker.description.incarnation.id, "its worker lists neither the run nor its end");
            this->removeMember(worker, run, std::nullopt, "", now);
            continue;
        }
        placedRun.phase = RunPhase::EndUnread;
        placedRun.startRuledOutAt = sentAt;
    }
}

void TaskPlanner::startAnswered(const Incarnation& incarnation, const RunRef& run, StartAnswer answer, Millis now)
{
    if (answer == StartAnswer::Deposed)
        this->isDeposed = true;
    Worker* worker = this->find(incarnation);
    if (worker)
        worker->lastStartAt = now;
    if (!worker || !worker->placedRuns.contains(run))
        return;
    PlacedRun& placedRun = worker->placedRuns.at(run);
    Unit* unit = placedRun.orphaned ? nullptr : this->find(placedRun.unit);
    this->pacer.markChanged();
    if (StepAdvice* stepAdvice = this->findAdvice(run.task)) {
        if (answer == StartAnswer::InvalidTicket)
            stepAdvice->rejectTicket(incarnation, now);
        else if (answer == StartAnswer::Started)
            stepAdvice->acceptTicket(incarnation);
    }
    // The answer to a repeated start does not exclude that an earlier attempt is executed late.
    if (placedRun.hasUnansweredStart && !settlesEarlierAttempts(answer))
        answer = StartAnswer::NoAnswer;
    const bool canSendAgain = unit && !unit->stopping && placedRun.startsSent < maxStartAttempts && isWithinCapacity(*worker) && !this->isEvacuated(*worker) && this->mayGrantLease(*worker);
    switch (answer) {
    case StartAnswer::Started:
        this->confirmStart(placedRun, now);
        worker->silent = false;
        worker->lastAnswerAt = now;
        this->domainDoubts.addAnswer(worker->description.domain, now);
        if (unit && unit->startedAt == 0) {
            unit->startedAt = now;
            unit->lastProgressAt = now;
        }
        if (unit)
            unit->allStartedAt = now;
        return;
    case StartAnswer::NoAnswer:
        this->markSilent(*worker, now);
        worker->nextPollAt = now;
        rememberLostStart(*worker, placedRun, now);
        if (canSendAgain)
            return this->sendStartAgain(*worker, placedRun, *unit, now);
        placedRun.requestStop(now);
        if (unit)
            this->stopUnit(*unit, now);
        return;
    case StartAnswer::OtherIncarnation:
        this->loseIncarnation(*worker, now, "another incarnation answers");
        return;
    case StartAnswer::Superseded:
        // An earlier attempt may have started the run, which may have ended since. A poll shows it.
        placedRun.startRuledOutAt = now;
        worker->nextPollAt = now;
        return;
    case StartAnswer::NotSent:
        this->markSilent(*worker, now);
        worker->nextPollAt = now;
        // A single task starts sooner on another worker, but a gang would have to stop all members.
        if (canSendAgain && unit->members() > 1)
            return this->sendStartAgain(*worker, placedRun, *unit, now);
        break;
    case StartAnswer::InvalidTicket:
        // The worker has done nothing. Another ticket keeps the other members of a gang at work.
        if (canSendAgain) {
            placedRun.phase = RunPhase::Recording;
            return this->awaitTicket(placedRun);
        }
        break;
    case StartAnswer::Unavailable:
        worker->health.runFailed(now);
        break;
    default:
        break;
    }
    if (unit)
        unit->notBefore = now + retryDelay;
    this->removeMember(*worker, run, std::nullopt, "", now);
}

void TaskPlanner::stopAnswered(const Incarnation& incarnation, const RunRef& run, bool accepted, Millis now)
{
    Worker* worker = this->find(incarnation);
    if (!worker || !worker->placedRuns.contains(run))
        return;
    PlacedRun& placedRun = worker->placedRuns.at(run);
    placedRun.stopInFlight = false;
    if (accepted) {
        placedRun.startRuledOutAt = now;
        worker->lastAnswerAt = now;
        return;
    }
    this->markSilent(*worker, now);
    placedRun.stopBackoff = std::clamp(placedRun.stopBackoff * 2, minStopBackoff, stopRetryInterval);
    placedRun.nextStopAt = now + placedRun.stopBackoff;
}

void TaskPlanner::stopUnit(Unit& unit, Millis now)
{
    if (unit.state != UnitState::Running)
        return;
    unit.stopping = true;
    const UnitKey key = unit.key;
    const std::int64_t run = unit.run;
    const std::vector<Incarnation> incarnations = unit.workers;
    std::vector<std::pair<Worker*, RunRef>> unsentRuns;
    for (std::size_t member = 0; member < incarnations.size(); ++member) {
        Worker* worker = this->find(incarnations[member]);
        const RunRef ref { unit.task(static_cast<std::int64_t>(member)), run };
        if (!worker || !worker->placedRuns.contains(ref))
            continue;
        PlacedRun& placedRun = worker->placedRuns.at(ref);
        placedRun.requestStop(now);
        if (placedRun.phase == RunPhase::Recording)
            unsentRuns.emplace_back(worker, ref);
    }
    for (const auto& [worker, ref] : unsentRuns)
        this->removeMember(*worker, ref, std::nullopt, "", now);
    this->pacer.markChanged();
}

void TaskPlanner::removeMember(Worker& worker, const RunRef& ref, std::optional<RunEnd> end, const std::string& checkpoint, Millis now)
{
    const RunRef run = ref;
    const auto found = worker.placedRuns.find(run);
    if (found == worker.placedRuns.end())
        return;
    const PlacedRun placedRun = found->second;
    worker.used -= placedRun.resources;
    worker.placedRuns.erase(found);
    this->pacer.markChanged();
    Unit* unit = placedRun.orphaned ? nullptr : this->find(placedRun.unit);
    if (!unit || unit->run != run.run || unit->state != UnitState::Running)
        return;
    if (end == RunEnd::Done && !unit->step().longRunning) {
        this->completeUnit(placedRun.unit, now);
        return;
    }
    if (end == RunEnd::Done)
        unit->memberDone = true;
    if (!checkpoint.empty()) {
        unit->checkpoint = checkpoint;
        unit->checkpointProgress = std::max(unit->checkpointProgress, unit->progress);
    }
    if (end == RunEnd::Failed) {
        unit->memberFailed = true;
        if (std::find(unit->excludedWorkers.begin(), unit->excludedWorkers.end(), worker.description.incarnation.id) == unit->excludedWorkers.end())
            unit->excludedWorkers.push_back(worker.description.incarnation.id);
    }
    --unit->membersLeft;
    if (unit->membersLeft > 0 && !unit->stopping)
        this->stopUnit(*unit, now);
    unit = this->find(placedRun.unit);
    if (unit && unit->run == run.run && unit->state == UnitState::Running && unit->membersLeft == 0)
        this->requeueUnit(*unit, now);
}

} // namespace rattan::tasks
