// Workers and the runs on them: what lists, polls and answers to orders show, and
// when a run that nobody can see any more is surely over.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::tasks {

using namespace detail;

TaskPlanner::Worker* TaskPlanner::find(const Incarnation& incarnation)
{
    const auto found = this->workers.find(incarnation.id);
    return found == this->workers.end() ? nullptr : &found->second;
}

void TaskPlanner::grantLease(Worker& worker, Millis now) const
{
    const auto longest = static_cast<Millis>(static_cast<double>(this->options.longestLease) * slowestClock);
    worker.leaseEndsBy = std::max(worker.leaseEndsBy, now + longest + clockSlack);
}

void TaskPlanner::workersSeen(const std::vector<WorkerDescription>& sightings, Millis now)
{
    std::set<std::string> listed;
    for (const WorkerDescription& seen : sightings) {
        listed.insert(seen.incarnation.id);
        const auto [found, isNew] = this->workers.try_emplace(seen.incarnation.id);
        Worker& worker = found->second;
        if (!isNew && worker.description.incarnation.born > seen.incarnation.born)
            continue; // An entry of a incarnation that is known to be over.
        if (seen.leaving && !worker.description.leaving)
            worker.leavesAt = now + seen.remaining;
        if (worker.description.leaving != seen.leaving || !worker.listed)
            this->pacer.markChanged();
        const Incarnation known = worker.description.incarnation;
        worker.description = seen;
        worker.listed = true;
        // Which runs are of the later incarnation only a poll can tell: a start that was
        // meant for the earlier one may have been carried out by this one.
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
            // What may be carried out late has to be known if its next incarnation is listed.
            if (worker.placedRuns.empty() && !mayHaveLateCalls(worker, now)) {
                this->emit(PlanEventKind::WorkerGone, {}, 0, next->first, "no longer listed");
                next = this->workers.erase(next);
                continue;
            }
        }
        ++next;
    }
}

void TaskPlanner::pollAnswered(const Incarnation& incarnation, Millis sentAt, bool quick, const WorkerReport& report, Millis now)
{
    Worker* worker = this->find(incarnation);
    if (!worker)
        return;
    if (report.born < worker->description.incarnation.born && report.born > 0)
        return this->pollFailed(incarnation, quick, WorkerFault::NoAnswer, now); // Overtaken by a poll at the present incarnation.
    if (report.born > worker->description.incarnation.born)
        this->changeIncarnation(*worker, report, sentAt, quick, now);
    if (!worker->hasAnswered)
        this->emit(PlanEventKind::WorkerKnown, {}, 0, incarnation.id, fmt::format("{} runs, {} ends", report.running.size(), report.ended.size()));
    (quick ? worker->quickPollInFlight : worker->pollInFlight) = false;
    worker->hasAnswered = true;
    worker->silent = false;
    worker->lastAnswerAt = now;
    worker->pollBackoff = 0;
    worker->nextPollAt = now;
    worker->incarnationConfirmedAt = std::max(worker->incarnationConfirmedAt, sentAt);
    if (!quick)
        worker->acknowledgedUpTo = std::max(worker->acknowledgedUpTo, worker->ackInFlight);
    if (worker->acknowledgedUpTo >= worker->durableUpTo)
        worker->ackDueBy = 0;
    this->pacer.markChanged();
    for (const EndedTask& end : report.ended)
        this->applyEnd(*worker, end, now);
    for (const RunningTask& running : report.running)
        this->applyRunning(*worker, running, now);
    this->settleUnlisted(*worker, report, sentAt, now);
    // Somebody has renewed its lease later than this planner knew of.
    if (!report.running.empty() && now >= worker->leaseEndsBy)
        this->grantLease(*worker, now);
}

void TaskPlanner::fellSilent(Worker& worker, Millis now)
{
    worker.silent = true;
    this->domainDoubts.addSilentWorker(worker.description.domain, worker.description.incarnation.id, now);
}

bool TaskPlanner::isDoubted(const Worker& worker, Millis now) const
{
    return this->domainDoubts.isSuspected(worker.description.domain, worker.lastAnswerAt, now);
}

void TaskPlanner::pollFailed(const Incarnation& incarnation, bool quick, WorkerFault fault, Millis now)
{
    Worker* worker = this->find(incarnation);
    if (!worker)
        return;
    (quick ? worker->quickPollInFlight : worker->pollInFlight) = false;
    if (fault == WorkerFault::Deposed) {
        this->isDeposed = true;
        return;
    }
    if (fault == WorkerFault::OtherIncarnation) {
        this->loseIncarnation(*worker, now, "another incarnation answers");
        worker->nextPollAt = now + longestPollPause;
        return;
    }
    if (!quick && worker->ackInFlight > 0 && fault == WorkerFault::NoAnswer)
        worker->ackUnansweredAt = now;
    if (!worker->silent)
        this->emit(PlanEventKind::WorkerSilent, {}, 0, incarnation.id, std::string(nameOf(fault)));
    this->fellSilent(*worker, now);
    worker->pollBackoff = std::clamp(worker->pollBackoff * 2, firstPollPause, longestPollPause);
    worker->nextPollAt = now + worker->pollBackoff;
}

void TaskPlanner::applyEnd(Worker& worker, const EndedTask& end, Millis now)
{
    if (end.number <= worker.handledUpTo)
        return;
    worker.handledUpTo = end.number;
    if (end.end == RunEnd::Done)
        worker.health.runSucceeded();
    if (end.end == RunEnd::Failed && worker.placedRuns.contains(end.run)) {
        worker.health.runFailed(now);
        if (worker.health.isProbing())
            this->emit(PlanEventKind::WorkerDistrusted, {}, 0, worker.description.incarnation.id, "runs fail one after the other");
    }
    if (worker.placedRuns.contains(end.run))
        this->memberGone(worker, end.run, end.end, end.checkpoint, now);
    if (end.end == RunEnd::Done)
        this->acceptLateDone(end.run, now);
    if (end.end == RunEnd::Failed)
        this->countFailure(end.run, now);
}

// A run that was given up as lost has ended well after all. Its task need not be
// done again; where that has begun already, the second run is stopped.
void TaskPlanner::acceptLateDone(const RunRef& run, Millis now)
{
    const UnitKey key = this->unitOf(run.task);
    Unit* unit = this->find(key);
    if (!unit || unit->step().longRunning || run.run > unit->run)
        return;
    if (unit->state == UnitState::Running)
        this->abandonRun(*unit, now);
    this->unitDone(key, now);
}

void TaskPlanner::applyRunning(Worker& worker, const RunningTask& running, Millis now)
{
    const auto found = worker.placedRuns.find(running.run);
    if (found == worker.placedRuns.end()) {
        // A run that was given up, or of a job that is over: it only takes room.
        PlacedRun stray { .run = running.run, .unit = this->unitOf(running.run.task) };
        stray.orphaned = true;
        stray.phase = RunPhase::Running;
        stray.requestStop(now);
        stray.resources = this->roomOf(running.run.task);
        worker.used += stray.resources;
        worker.placedRuns.emplace(running.run, stray);
        return;
    }
    PlacedRun& placedRun = found->second;
    if (placedRun.phase != RunPhase::Running)
        this->confirmStart(placedRun, now);
    const bool firstListed = placedRun.lastListedAt == 0;
    placedRun.lastListedAt = now;
    Unit* unit = placedRun.orphaned ? nullptr : this->find(placedRun.unit);
    if (!unit || unit->run != running.run.run)
        return;
    unit->crashes.retract(running.run.run, running.run.task.index);
    if (unit->suspect && this->hasSurvivedStart(*unit))
        this->clearSuspicion(*unit);
    const double progress = static_cast<double>(running.percent) / 100.0;
    if (unit->startedAt == 0) {
        unit->startedAt = now;
        unit->progressAtStart = progress;
        unit->lastProgressAt = now;
    }
    if (unit->inherited && firstListed)
        this->learnWorkBefore(*unit, progress, now);
    // Members have unequal work, and one that is through waits for the others.
    if (progress > placedRun.progress) {
        placedRun.progress = progress;
        unit->lastProgressAt = now;
        unit->progress = this->leastProgress(*unit);
        if (unit->step().longRunning && progress >= 1 && placedRun.confirmedAt >= worker.health.quarantinedUntil())
            worker.health.runSucceeded(); // It serves, and no end will tell so.
    }
    if (!running.checkpoint.empty() && running.checkpoint != unit->checkpoint) {
        unit->checkpoint = running.checkpoint;
        unit->checkpointProgress = progress;
    }
    unit->lastReportAt = now;
}

// Nobody knows when a run began that an earlier planner started. Of a gang, the member with most
// work tells how long it has been at work: others are further in the same time.
void TaskPlanner::learnWorkBefore(Unit& unit, double progress, Millis now) const
{
    const Millis whole = this->runTimes.forecast(unit.job->terms.queue, unit.step().estimate).work;
    const Millis ran = static_cast<Millis>(static_cast<double>(whole) * progress) - (now - unit.startedAt);
    unit.inheritedWork = std::min(unit.inheritedWork.value_or(whole), std::max<Millis>(ran, 0));
}

double TaskPlanner::leastProgress(const Unit& unit)
{
    double least = 1;
    for (std::size_t member = 0; member < unit.workers.size(); ++member) {
        Worker* worker = this->find(unit.workers[member]);
        if (!worker)
            continue;
        const auto placedRun = worker->placedRuns.find({ unit.task(static_cast<std::int64_t>(member)), unit.run });
        if (placedRun != worker->placedRuns.end())
            least = std::min(least, std::max(placedRun->second.progress, unit.progressAtStart));
    }
    return least;
}

// A run that a complete list does not hold is not there. Whether it may still
// come depends on who sent its start, and on whether a stop got there first.
void TaskPlanner::settleUnlisted(Worker& worker, const WorkerReport& report, Millis sentAt, Millis now)
{
    std::set<RunRef> listed;
    for (const RunningTask& running : report.running)
        listed.insert(running.run);
    for (const EndedTask& end : report.ended)
        listed.insert(end.run);
    std::vector<RunRef> gone;
    for (const auto& [run, placedRun] : worker.placedRuns) {
        if (placedRun.phase == RunPhase::Recording || listed.contains(run))
            continue;
        const bool ranBefore = placedRun.phase == RunPhase::Running && placedRun.confirmedAt < sentAt;
        const bool neverWill = placedRun.inherited || (placedRun.startRuledOutAt > 0 && placedRun.startRuledOutAt < sentAt);
        if (ranBefore || neverWill)
            gone.push_back(run);
    }
    for (const RunRef& run : gone)
        this->memberGone(worker, run, std::nullopt, "", now);
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
    // What an earlier try may still bring about is not undone by the answer to a later one.
    if (placedRun.hasUnansweredStart && !settlesEarlierAttempts(answer))
        answer = StartAnswer::NoAnswer;
    const bool maySendAgain = unit && !unit->stopping && placedRun.startsSent < mostStarts && isWithinCapacity(*worker);
    switch (answer) {
    case StartAnswer::Started:
        this->confirmStart(placedRun, now);
        worker->silent = false;
        worker->lastAnswerAt = now;
        if (unit && unit->startedAt == 0) {
            unit->startedAt = now;
            unit->lastProgressAt = now;
        }
        return;
    case StartAnswer::NoAnswer:
        this->fellSilent(*worker, now);
        worker->nextPollAt = now;
        rememberLostStart(*worker, placedRun, now);
        if (maySendAgain)
            return this->sendStart(*worker, placedRun, *unit, now);
        placedRun.requestStop(now);
        if (unit)
            this->stopUnit(*unit, now);
        return;
    case StartAnswer::OtherIncarnation:
        this->loseIncarnation(*worker, now, "another incarnation answers");
        return;
    case StartAnswer::Superseded:
        // An earlier try may have begun the run, and it may have ended since: a poll tells.
        placedRun.startRuledOutAt = now;
        worker->nextPollAt = now;
        return;
    case StartAnswer::NotSent:
        this->fellSilent(*worker, now);
        worker->nextPollAt = now;
        // A single task is sooner begun elsewhere; of a gang all members would be stopped.
        if (maySendAgain && unit->members() > 1)
            return this->sendStart(*worker, placedRun, *unit, now);
        break;
    case StartAnswer::InvalidTicket:
        if (const auto known = this->advice.find({ run.task.job, run.task.occurrence, run.task.step }); known != this->advice.end())
            known->second.forget(incarnation);
        break;
    case StartAnswer::Unavailable:
        worker->health.runFailed(now);
        break;
    default:
        break;
    }
    if (unit)
        unit->notBefore = now + retryPause;
    this->memberGone(*worker, run, std::nullopt, "", now);
}

void TaskPlanner::stopAnswered(const Incarnation& incarnation, const RunRef& run, bool taken, Millis now)
{
    Worker* worker = this->find(incarnation);
    if (!worker || !worker->placedRuns.contains(run))
        return;
    PlacedRun& placedRun = worker->placedRuns.at(run);
    placedRun.stopInFlight = false;
    if (taken) {
        placedRun.startRuledOutAt = now;
        worker->lastAnswerAt = now;
        return;
    }
    this->fellSilent(*worker, now);
    placedRun.stopBackoff = std::clamp(placedRun.stopBackoff * 2, firstOrderPause, stopRetry);
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
    std::vector<std::pair<Worker*, RunRef>> unsent;
    for (std::size_t member = 0; member < incarnations.size(); ++member) {
        Worker* worker = this->find(incarnations[member]);
        const RunRef ref { unit.task(static_cast<std::int64_t>(member)), run };
        if (!worker || !worker->placedRuns.contains(ref))
            continue;
        PlacedRun& placedRun = worker->placedRuns.at(ref);
        placedRun.requestStop(now);
        if (placedRun.phase == RunPhase::Recording)
            unsent.emplace_back(worker, ref);
    }
    for (const auto& [worker, ref] : unsent)
        this->memberGone(*worker, ref, std::nullopt, "", now);
    this->pacer.markChanged();
}

void TaskPlanner::memberGone(Worker& worker, const RunRef& ref, std::optional<RunEnd> end, const std::string& checkpoint, Millis now)
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
    if (end == RunEnd::Done) {
        this->unitDone(placedRun.unit, now);
        return;
    }
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
        this->runOver(*unit, now);
}

void TaskPlanner::expire(Millis now)
{
    for (auto& [id, worker] : this->workers) {
        if (worker.placedRuns.empty() || now < worker.leaseEndsBy)
            continue;
        // A worker that answers has not been asked in time. It lists what has become of its
        // runs; given up unread, one that has ended well would run a second time.
        if (worker.hasAnswered && !worker.silent && worker.incarnationConfirmedAt < worker.leaseEndsBy) {
            worker.nextPollAt = std::min(worker.nextPollAt, now);
            continue;
        }
        std::vector<RunRef> over;
        for (const auto& [run, placedRun] : worker.placedRuns) {
            if (placedRun.phase != RunPhase::Recording)
                over.push_back(run);
        }
        if (over.empty())
            continue;
        this->emit(PlanEventKind::WorkerLapsed, {}, 0, id, fmt::format("{} runs, no answer for a whole lease", over.size()));
        for (const RunRef& run : over)
            this->runLost(worker, run, RunLoss::LeaseOver, now);
        worker.hasAnswered = false; // What runs there now, a poll has to tell.
    }
}

} // namespace rattan::tasks
