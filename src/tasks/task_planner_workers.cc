// Workers and the runs on them: what lists, looks and answers to orders show, and
// when a run that nobody can see any more is surely over.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::tasks {

using namespace detail;

TaskPlanner::Worker* TaskPlanner::find(const WorkerLife& life)
{
    const auto found = this->workers.find(life.id);
    return found == this->workers.end() ? nullptr : &found->second;
}

void TaskPlanner::grantLease(Worker& worker, Millis now) const
{
    const auto longest = static_cast<Millis>(static_cast<double>(this->options.longestLease) * slowestClock);
    worker.leaseOverBy = std::max(worker.leaseOverBy, now + longest + clockSlack);
}

void TaskPlanner::workersSeen(const std::vector<WorkerSighting>& sightings, Millis now)
{
    std::set<std::string> listed;
    for (const WorkerSighting& seen : sightings) {
        listed.insert(seen.life.id);
        const auto [found, isNew] = this->workers.try_emplace(seen.life.id);
        Worker& worker = found->second;
        if (!isNew && worker.seen.life.born > seen.life.born)
            continue; // An entry of a life that is known to be over.
        if (seen.leaving && !worker.seen.leaving)
            worker.leavesAt = now + seen.remaining;
        if (worker.seen.leaving != seen.leaving || !worker.listed)
            this->changed = true;
        const WorkerLife known = worker.seen.life;
        worker.seen = seen;
        worker.listed = true;
        // Which runs are of the later life only a look can tell: a start that was
        // meant for the earlier one may have been carried out by this one.
        if (!isNew && known.born < seen.life.born) {
            worker.seen.life = known;
            worker.known = false;
            worker.nextLookAt = std::min(worker.nextLookAt, now);
        }
    }
    for (auto next = this->workers.begin(); next != this->workers.end();) {
        Worker& worker = next->second;
        if (!listed.contains(next->first)) {
            worker.listed = false;
            if (worker.occupants.empty()) {
                this->note(NoteKind::WorkerGone, {}, 0, next->first, "no longer listed");
                next = this->workers.erase(next);
                continue;
            }
        }
        ++next;
    }
}

// After a restart a worker runs nothing and knows nothing of before.
void TaskPlanner::loseLife(Worker& worker, Millis now, const char* why)
{
    this->note(NoteKind::WorkerGone, {}, 0, worker.seen.life.id, why);
    std::vector<RunRef> lost;
    for (const auto& [run, occupant] : worker.occupants)
        lost.push_back(run);
    for (const RunRef& run : lost)
        this->memberGone(worker, run, std::nullopt, "", now);
    const WorkerSighting seen = worker.seen;
    worker = Worker {};
    worker.seen = seen;
    worker.listed = false;
    this->changed = true;
}

// The worker has started again and knows nothing of before. Runs that it lists
// are of its present life; a start without an answer may still arrive there.
void TaskPlanner::changeLife(Worker& worker, const WorkerLook& look, Millis sentAt, Millis now)
{
    this->note(NoteKind::WorkerGone, {}, 0, worker.seen.life.id, "a later life answers");
    const WorkerLife before = worker.seen.life;
    worker.seen.life.born = look.born;
    if (worker.ackLostAt > 0)
        worker.takesNothingUntil = worker.ackLostAt + longestLateCall;
    worker.handled = worker.durable = worker.acknowledged = worker.ackUnderWay = 0;
    worker.ackDueBy = 0;
    worker.trust = {};
    this->endsInBatch.erase(before);
    std::set<RunRef> listed;
    for (const RunningTask& running : look.running)
        listed.insert(running.run);
    for (const EndedTask& end : look.ended)
        listed.insert(end.run);
    std::vector<RunRef> lost;
    for (auto& [run, occupant] : worker.occupants) {
        if (occupant.phase == RunPhase::Running && !listed.contains(run)) {
            // One that was confirmed after the look was sent may be of this life.
            if (occupant.confirmedAt < sentAt)
                lost.push_back(run);
        } else if (occupant.phase == RunPhase::Starting && !listed.contains(run)) {
            occupant.inherited = false;
            occupant.stopWanted = true;
            occupant.stopAnsweredAt = 0;
        }
    }
    for (const RunRef& run : lost)
        this->memberGone(worker, run, std::nullopt, "", now);
    for (auto& [run, occupant] : worker.occupants) {
        Unit* unit = occupant.stray ? nullptr : this->find(occupant.unit);
        if (!unit)
            continue;
        for (WorkerLife& life : unit->workers) {
            if (life == before)
                life = worker.seen.life;
        }
    }
}

void TaskPlanner::lookAnswered(const WorkerLife& life, Millis sentAt, bool quick, const WorkerLook& look, Millis now)
{
    Worker* worker = this->find(life);
    if (!worker)
        return;
    if (look.born < worker->seen.life.born && look.born > 0)
        return this->lookFailed(life, quick, WorkerFault::NoAnswer, now); // Overtaken by a look at the present life.
    if (look.born > worker->seen.life.born)
        this->changeLife(*worker, look, sentAt, now);
    if (!worker->known)
        this->note(NoteKind::WorkerKnown, {}, 0, life.id, fmt::format("{} runs, {} ends", look.running.size(), look.ended.size()));
    (quick ? worker->quickLookUnderWay : worker->lookUnderWay) = false;
    worker->known = true;
    worker->silent = false;
    worker->lookPause = 0;
    worker->nextLookAt = now;
    worker->lifeShownAt = std::max(worker->lifeShownAt, sentAt);
    if (!quick)
        worker->acknowledged = std::max(worker->acknowledged, worker->ackUnderWay);
    if (worker->acknowledged >= worker->durable)
        worker->ackDueBy = 0;
    this->changed = true;
    for (const EndedTask& end : look.ended)
        this->applyEnd(*worker, end, now);
    for (const RunningTask& running : look.running)
        this->applyRunning(*worker, running, now);
    this->settleUnlisted(*worker, look, sentAt, now);
}

void TaskPlanner::lookFailed(const WorkerLife& life, bool quick, WorkerFault fault, Millis now)
{
    Worker* worker = this->find(life);
    if (!worker)
        return;
    (quick ? worker->quickLookUnderWay : worker->lookUnderWay) = false;
    if (fault == WorkerFault::Deposed) {
        this->isDeposed = true;
        return;
    }
    if (fault == WorkerFault::OtherLife) {
        this->loseLife(*worker, now, "another life answers");
        worker->nextLookAt = now + longestLookPause;
        return;
    }
    if (!quick && worker->ackUnderWay > 0 && fault == WorkerFault::NoAnswer)
        worker->ackLostAt = now;
    if (!worker->silent)
        this->note(NoteKind::WorkerSilent, {}, 0, life.id, std::string(nameOf(fault)));
    worker->silent = true;
    worker->lookPause = std::clamp(worker->lookPause * 2, firstLookPause, longestLookPause);
    worker->nextLookAt = now + worker->lookPause;
}

void TaskPlanner::applyEnd(Worker& worker, const EndedTask& end, Millis now)
{
    if (end.number <= worker.handled)
        return;
    worker.handled = end.number;
    if (end.end == RunEnd::Done)
        worker.trust.done();
    if (end.end == RunEnd::Failed && worker.occupants.contains(end.run)) {
        worker.trust.failed(now);
        if (worker.trust.onTrial())
            this->note(NoteKind::WorkerDistrusted, {}, 0, worker.seen.life.id, "runs fail one after the other");
    }
    if (worker.occupants.contains(end.run))
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
    const auto found = worker.occupants.find(running.run);
    if (found == worker.occupants.end()) {
        // A run that was given up, or of a job that is over: it only takes room.
        Occupant stray { .run = running.run, .unit = this->unitOf(running.run.task) };
        stray.stray = true;
        stray.phase = RunPhase::Running;
        stray.stopWanted = true;
        stray.room = this->roomOf(running.run.task);
        worker.used += stray.room;
        worker.occupants.emplace(running.run, stray);
        return;
    }
    Occupant& occupant = found->second;
    if (occupant.phase != RunPhase::Running) {
        occupant.phase = RunPhase::Running;
        occupant.confirmedAt = now;
    }
    Unit* unit = occupant.stray ? nullptr : this->find(occupant.unit);
    if (!unit || unit->run != running.run.run)
        return;
    const double progress = static_cast<double>(running.percent) / 100.0;
    if (unit->startedAt == 0) {
        unit->startedAt = now;
        unit->progressAtStart = progress;
        unit->movedAt = now;
    }
    // Members have unequal work, and one that is through waits for the others.
    if (progress > occupant.progress) {
        occupant.progress = progress;
        unit->movedAt = now;
        unit->progress = this->leastProgress(*unit);
    }
    if (!running.checkpoint.empty() && running.checkpoint != unit->checkpoint) {
        unit->checkpoint = running.checkpoint;
        unit->saved = progress;
    }
    unit->heardAt = now;
}

double TaskPlanner::leastProgress(const Unit& unit)
{
    double least = 1;
    for (std::size_t member = 0; member < unit.workers.size(); ++member) {
        Worker* worker = this->find(unit.workers[member]);
        if (!worker)
            continue;
        const auto occupant = worker->occupants.find({ unit.task(static_cast<std::int64_t>(member)), unit.run });
        if (occupant != worker->occupants.end())
            least = std::min(least, std::max(occupant->second.progress, unit.progressAtStart));
    }
    return least;
}

// A run that a complete list does not hold is not there. Whether it may still
// come depends on who sent its start, and on whether a stop got there first.
void TaskPlanner::settleUnlisted(Worker& worker, const WorkerLook& look, Millis sentAt, Millis now)
{
    std::set<RunRef> listed;
    for (const RunningTask& running : look.running)
        listed.insert(running.run);
    for (const EndedTask& end : look.ended)
        listed.insert(end.run);
    std::vector<RunRef> gone;
    for (const auto& [run, occupant] : worker.occupants) {
        if (occupant.phase == RunPhase::Recording || listed.contains(run))
            continue;
        const bool ranBefore = occupant.phase == RunPhase::Running && occupant.confirmedAt < sentAt;
        const bool neverWill = occupant.inherited || (occupant.stopAnsweredAt > 0 && occupant.stopAnsweredAt < sentAt);
        if (ranBefore || neverWill)
            gone.push_back(run);
    }
    for (const RunRef& run : gone)
        this->memberGone(worker, run, std::nullopt, "", now);
}

void TaskPlanner::startAnswered(const WorkerLife& life, const RunRef& run, StartAnswer answer, Millis now)
{
    if (answer == StartAnswer::Deposed)
        this->isDeposed = true;
    Worker* worker = this->find(life);
    if (worker)
        worker->lastStartAt = now;
    if (!worker || !worker->occupants.contains(run))
        return;
    Occupant& occupant = worker->occupants.at(run);
    Unit* unit = occupant.stray ? nullptr : this->find(occupant.unit);
    this->changed = true;
    // What an earlier try may still bring about is not undone by the answer to a later one.
    const bool settles = answer == StartAnswer::Started || answer == StartAnswer::OtherLife || answer == StartAnswer::Old;
    if (occupant.startsSent > 1 && !settles)
        answer = StartAnswer::NoAnswer;
    switch (answer) {
    case StartAnswer::Started:
        occupant.phase = RunPhase::Running;
        occupant.confirmedAt = now;
        worker->silent = false;
        if (unit && unit->startedAt == 0) {
            unit->startedAt = now;
            unit->movedAt = now;
        }
        return;
    case StartAnswer::NoAnswer:
        worker->silent = true;
        worker->nextLookAt = now;
        if (unit && !unit->stopping && occupant.startsSent < mostStarts)
            return this->sendStart(*worker, occupant, *unit, now);
        occupant.stopWanted = true;
        if (unit)
            this->stopUnit(*unit, now);
        return;
    case StartAnswer::OtherLife:
        this->loseLife(*worker, now, "another life answers");
        return;
    case StartAnswer::NotSent:
        worker->silent = true;
        worker->nextLookAt = now;
        break;
    case StartAnswer::NoTicket:
        if (const auto known = this->advice.find({ run.task.job, run.task.occurrence, run.task.step }); known != this->advice.end())
            known->second.forget(life);
        break;
    case StartAnswer::Unwell:
        worker->trust.failed(now);
        break;
    default:
        break;
    }
    if (unit)
        unit->notBefore = now + retryPause;
    this->memberGone(*worker, run, std::nullopt, "", now);
}

void TaskPlanner::stopAnswered(const WorkerLife& life, const RunRef& run, bool taken, Millis now)
{
    Worker* worker = this->find(life);
    if (!worker || !worker->occupants.contains(run))
        return;
    Occupant& occupant = worker->occupants.at(run);
    occupant.stopUnderWay = false;
    if (taken) {
        occupant.stopAnsweredAt = now;
        return;
    }
    worker->silent = true;
    occupant.stopPause = std::clamp(occupant.stopPause * 2, firstOrderPause, stopRetry);
    occupant.nextStopAt = now + occupant.stopPause;
}

void TaskPlanner::stopUnit(Unit& unit, Millis now)
{
    if (unit.state != UnitState::Running)
        return;
    unit.stopping = true;
    const UnitKey key = unit.key;
    const std::int64_t run = unit.run;
    const std::vector<WorkerLife> lives = unit.workers;
    std::vector<std::pair<Worker*, RunRef>> unsent;
    for (std::size_t member = 0; member < lives.size(); ++member) {
        Worker* worker = this->find(lives[member]);
        const RunRef ref { unit.task(static_cast<std::int64_t>(member)), run };
        if (!worker || !worker->occupants.contains(ref))
            continue;
        Occupant& occupant = worker->occupants.at(ref);
        occupant.stopWanted = true;
        if (occupant.phase == RunPhase::Recording)
            unsent.emplace_back(worker, ref);
    }
    for (const auto& [worker, ref] : unsent)
        this->memberGone(*worker, ref, std::nullopt, "", now);
    this->changed = true;
}

void TaskPlanner::memberGone(Worker& worker, const RunRef& ref, std::optional<RunEnd> end, const std::string& checkpoint, Millis now)
{
    const RunRef run = ref;
    const auto found = worker.occupants.find(run);
    if (found == worker.occupants.end())
        return;
    const Occupant occupant = found->second;
    worker.used -= occupant.room;
    worker.occupants.erase(found);
    this->changed = true;
    Unit* unit = occupant.stray ? nullptr : this->find(occupant.unit);
    if (!unit || unit->run != run.run || unit->state != UnitState::Running)
        return;
    if (end == RunEnd::Done) {
        this->unitDone(occupant.unit, now);
        return;
    }
    if (!checkpoint.empty()) {
        unit->checkpoint = checkpoint;
        unit->saved = std::max(unit->saved, unit->progress);
    }
    if (end == RunEnd::Failed) {
        unit->failed = true;
        if (std::find(unit->avoid.begin(), unit->avoid.end(), worker.seen.life.id) == unit->avoid.end())
            unit->avoid.push_back(worker.seen.life.id);
    }
    --unit->left;
    if (unit->left > 0 && !unit->stopping)
        this->stopUnit(*unit, now);
    unit = this->find(occupant.unit);
    if (unit && unit->run == run.run && unit->state == UnitState::Running && unit->left == 0)
        this->runOver(*unit, now);
}

void TaskPlanner::expire(Millis now)
{
    for (auto& [id, worker] : this->workers) {
        if (worker.occupants.empty() || now < worker.leaseOverBy)
            continue;
        std::vector<RunRef> over;
        for (const auto& [run, occupant] : worker.occupants) {
            if (occupant.phase != RunPhase::Recording)
                over.push_back(run);
        }
        if (over.empty())
            continue;
        this->note(NoteKind::WorkerLapsed, {}, 0, id, fmt::format("{} runs, no answer for a whole lease", over.size()));
        for (const RunRef& run : over)
            this->memberGone(worker, run, RunEnd::Lapsed, "", now);
        worker.known = false; // What runs there now, a look has to tell.
    }
}

} // namespace rattan::tasks
