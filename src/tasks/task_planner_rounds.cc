// The choice of what runs where: a round polls every waiting unit in the order
// of what its delay would cost, and gives it free room, room of runs that are
// being stopped, room of runs that it may stop (task_planner_evictions.cc), or a
// reservation.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace rattan::tasks {

using namespace detail;

namespace {

    void count(WorkerCounts& counts, const std::vector<Incarnation>& workers)
    {
        for (const Incarnation& incarnation : workers)
            ++counts[incarnation.id];
    }

    bool isSameStep(const UnitKey& a, const UnitKey& b) { return a.step == b.step && a.occurrence == b.occurrence && a.job == b.job; }

} // namespace

void TaskPlanner::step(Millis now, Millis wall)
{
    this->expire(now);
    this->giveUpExhausted(now);
    for (auto& [id, active] : this->jobs) {
        if (!isFinal(active.state))
            this->beginDue(active, now, wall);
    }
    const RoundKind kind = this->pacer.next(now, !this->urgentUnits.empty());
    this->round = { .kind = kind };
    if (kind == RoundKind::None)
        return;
    this->pacer.roundStarted(kind, now);
    this->noticeStalls(now);
    this->clearLeaving(now);
    this->markGuaranteed();
    this->decide(now, wall);
}

Millis TaskPlanner::nextWake(Millis now, Millis wall) const
{
    if (this->hasPollsLeft())
        return now;
    Millis next = this->pacer.nextWake(now, !this->urgentUnits.empty());
    if (!this->batchUnderWay)
        next = std::min(next, this->recordBy);
    for (const auto& [id, active] : this->jobs) {
        if (!isFinal(active.state) && active.nextOccurrence < active.job->occurrences())
            next = std::min(next, now + std::max<Millis>(active.job->dueAt(active.nextOccurrence) - wall, 0));
    }
    next = std::min(next, this->nextCheck(now));
    if (this->idlePollsFrom > now)
        next = std::min(next, this->idlePollsFrom);
    for (const auto& [id, worker] : this->workers) {
        if (!worker.pollInFlight && worker.nextPollAt > now)
            next = std::min(next, worker.nextPollAt);
        if (worker.ackDueBy > now)
            next = std::min(next, worker.ackDueBy);
    }
    return std::max(next, now);
}

Millis TaskPlanner::expectedRun(const Unit& unit) const
{
    const Millis whole = this->runTimes.forecast(unit.job->terms.queue, unit.step().estimate).work;
    return std::max<Millis>(static_cast<Millis>(static_cast<double>(whole) * (1 - unit.checkpointProgress)), 1);
}

Millis TaskPlanner::expectedEnd(const Unit& unit, Millis now) const
{
    if (unit.step().longRunning)
        return now + lasts; // One that serves tells all of its work as done.
    if (unit.startedAt == 0)
        return now + this->expectedRun(unit);
    const double done = unit.progress - unit.progressAtStart;
    constexpr double enoughToTell = 0.1;
    if (done < enoughToTell || unit.lastReportAt <= unit.startedAt)
        return std::max(now, unit.startedAt + this->expectedRun(unit));
    const double perMilli = done / static_cast<double>(unit.lastReportAt - unit.startedAt);
    return std::max(now, unit.lastReportAt + static_cast<Millis>((1 - unit.progress) / perMilli));
}

// The worker whose member has done least; null if several are as far.
TaskPlanner::Worker* TaskPlanner::slowestMember(const Unit& unit)
{
    Worker* slowest = nullptr;
    double least = std::numeric_limits<double>::max();
    bool shared = false;
    for (std::size_t member = 0; member < unit.workers.size(); ++member) {
        Worker* worker = this->find(unit.workers[member]);
        const auto placedRun = worker ? worker->placedRuns.find({ unit.task(static_cast<std::int64_t>(member)), unit.run }) : std::map<RunRef, PlacedRun>::iterator();
        if (!worker || placedRun == worker->placedRuns.end())
            continue;
        shared = shared || (placedRun->second.progress == least && worker != slowest);
        if (placedRun->second.progress < least) {
            least = placedRun->second.progress;
            slowest = worker;
            shared = false;
        }
    }
    return shared ? nullptr : slowest;
}

void TaskPlanner::noticeStalls(Millis now)
{
    std::vector<UnitKey> stalled;
    for (const auto& [key, unit] : this->units) {
        if (unit.state != UnitState::Running || unit.stopping || unit.startedAt == 0 || unit.step().longRunning)
            continue;
        const auto limit = std::max(stallLimit, static_cast<Millis>(static_cast<double>(this->expectedRun(unit)) * stallShare));
        if (unit.lastReportAt - unit.lastProgressAt >= limit)
            stalled.push_back(key);
    }
    for (const UnitKey& key : stalled) {
        Unit& unit = this->units.at(key);
        this->emit(PlanEventKind::UnitStalled, key, unit.run, unit.workers.front().id, fmt::format("at {}%", static_cast<int>(unit.progress * 100)));
        if (Worker* worker = this->slowestMember(unit)) {
            unit.excludedWorkers.push_back(worker->description.incarnation.id);
            worker->health.runStalled(now);
        }
        this->stopUnit(unit, now);
    }
}

// Runs on a worker that leaves and would not end in time are moved while what
// they have saved can still be had.
void TaskPlanner::clearLeaving(Millis now)
{
    std::vector<UnitKey> moved;
    for (const auto& [id, worker] : this->workers) {
        if (!worker.description.leaving)
            continue;
        for (const auto& [run, placedRun] : worker.placedRuns) {
            const Unit* unit = placedRun.orphaned || placedRun.stopRequested ? nullptr : this->find(placedRun.unit);
            if (unit && this->expectedEnd(*unit, now) > worker.leavesAt - leaveMargin)
                moved.push_back(placedRun.unit);
        }
    }
    for (const UnitKey& key : moved) {
        if (Unit* unit = this->find(key)) {
            this->emit(PlanEventKind::UnitEvicted, key, unit->run, "", "its worker leaves");
            this->stopUnit(*unit, now);
        }
    }
}

void TaskPlanner::markGuaranteed()
{
    std::vector<ActiveJob*> urgent;
    for (auto& [id, active] : this->jobs) {
        active.guaranteed = false;
        if (active.job->terms.priority == 0 && !isFinal(active.state))
            urgent.push_back(&active);
    }
    std::sort(urgent.begin(), urgent.end(), [](const ActiveJob* a, const ActiveJob* b) { return a->job->acceptedAt < b->job->acceptedAt; });
    std::map<std::string, std::int64_t> used;
    for (ActiveJob* active : urgent) {
        std::int64_t& sum = used[active->job->workspace];
        sum += peakAcceleratorsOf(*active->job);
        active->guaranteed = sum <= this->catalog->guaranteedAcceleratorsOf(active->job->workspace);
    }
}

// The accelerators that urgent jobs hold or wait for; the highest of late, which
// halves in four seconds, for bursts come in waves.
std::int64_t TaskPlanner::urgentDemand(const std::string& service, Millis now)
{
    constexpr double halvesIn = 4000;
    double present = 0;
    for (const auto& [key, unit] : this->units) {
        if (unit.job->terms.priority == 0 && unit.job->terms.service == service)
            present += static_cast<double>(unit.members() * unit.step().perTask.accelerators);
    }
    Demanded& demanded = this->urgentDemanded[service];
    const double decayed = demanded.accelerators * std::exp2(-static_cast<double>(now - demanded.at) / halvesIn);
    demanded = { std::max(present, decayed), now };
    return static_cast<std::int64_t>(demanded.accelerators);
}

Allocation TaskPlanner::allocationOf(const PlacedRun& placedRun, Millis now) const
{
    Allocation allocation { .unit = nullptr, .resources = placedRun.resources, .expectedEnd = now + this->options.stopTimeout, .stopping = placedRun.orphaned || placedRun.stopRequested };
    const auto found = this->units.find(placedRun.unit);
    if (allocation.stopping || found == this->units.end())
        return allocation;
    const Unit& unit = found->second;
    allocation.unit = &found->first;
    allocation.expectedEnd = this->expectedEnd(unit, now);
    allocation.lostWork = this->evictionCost(unit, now);
    allocation.priority = unit.job->terms.priority;
    allocation.guaranteed = this->jobs.at(unit.key.job).guaranteed;
    return allocation;
}

// What ran there before its trust ended says nothing of it, and may last.
bool TaskPlanner::isOnTrial(const Worker& worker)
{
    return std::any_of(worker.placedRuns.begin(), worker.placedRuns.end(), [&](const auto& row) {
        const PlacedRun& placedRun = row.second;
        return placedRun.phase != RunPhase::Running || placedRun.confirmedAt >= worker.health.quarantinedUntil();
    });
}

Absence TaskPlanner::absenceOf(const Worker& worker, Millis now) const
{
    if (!worker.listed)
        return Absence::Unlisted;
    if (worker.description.leaving)
        return Absence::Leaving;
    if (worker.silent)
        return Absence::Silent;
    if (now < worker.placementBlockedUntil)
        return Absence::Resting;
    if (this->isDoubted(worker, now))
        return Absence::Doubted;
    if (!worker.health.canTakeRun(now, !isOnTrial(worker)))
        return Absence::Distrusted;
    return worker.hasAnswered ? Absence::None : Absence::Unknown;
}

Snapshot TaskPlanner::makeSnapshot(const std::string& service, Millis now) const
{
    Snapshot snapshot;
    snapshot.now = now;
    for (const auto& [id, worker] : this->workers) {
        const Absence absence = worker.description.service == service ? this->absenceOf(worker, now) : Absence::Unlisted;
        if (absence != Absence::None && absence != Absence::Unknown)
            continue;
        SnapshotWorker place { .id = id, .rack = worker.description.rack, .labels = &worker.description.labels, .capacity = worker.description.capacity };
        if (absence == Absence::Unknown) {
            if (worker.placedRuns.empty())
                snapshot.unpolled.push_back(std::move(place));
            continue;
        }
        place.speed = this->speeds.of(id);
        place.free = worker.description.capacity;
        place.free -= worker.used;
        place.freeAfterStops = place.free;
        place.isProbing = worker.health.isProbing();
        for (const auto& [run, placedRun] : worker.placedRuns) {
            const bool ending = placedRun.orphaned || placedRun.stopRequested;
            if (ending)
                place.freeAfterStops += placedRun.resources;
            if (this->isolatedUnits.contains(placedRun.unit))
                place.isolatedJob = placedRun.unit.job;
            place.allocations.push_back(this->allocationOf(placedRun, now));
        }
        snapshot.workers.push_back(std::move(place));
    }
    return snapshot;
}

PlacementRequest TaskPlanner::requestOf(const Unit& unit) const
{
    const Step& step = unit.step();
    PlacementRequest request;
    request.members = unit.members();
    request.perMember = step.perTask;
    if (step.usesIdleCores)
        request.perMember.milliCores = 0;
    request.label = step.label;
    request.rack = step.dataRack;
    request.sameRack = step.sameRack;
    request.maxPerWorker = step.maxPerWorker;
    request.excludedWorkers = &unit.excludedWorkers;
    request.expectedRunTime = this->expectedRun(unit);
    request.urgent = unit.job->terms.priority == 0;
    return request;
}

std::vector<TaskPlanner::Candidate> TaskPlanner::rank(const std::set<UnitKey>& keys, Millis now, Millis wall)
{
    std::vector<Candidate> candidates;
    for (const UnitKey& key : keys) {
        Unit& unit = this->units.at(key);
        if (unit.notBefore > now) {
            unit.waitReason = WaitReason::NotDue;
            continue;
        }
        // Tasks of a step that saved nothing are alike, and there may be hundreds.
        const Candidate* before = candidates.empty() ? nullptr : &candidates.back();
        if (before && unit.checkpointProgress == 0 && before->unit->checkpointProgress == 0 && isSameStep(before->unit->key, key)) {
            candidates.push_back({ &unit, before->queueKey, before->waitingSince });
            continue;
        }
        const ActiveJob& active = this->jobs.at(key.job);
        const Job& job = *active.job;
        QueueKeyInputs demand;
        demand.guaranteed = active.guaranteed;
        demand.priority = job.terms.priority;
        demand.waitingSince = now - (wall - (job.repeats > 0 ? job.dueAt(key.occurrence) : job.acceptedAt));
        demand.remainingRunTime = this->expectedRun(unit);
        demand.criticalPath = this->runTimes.forecast(job.terms.queue, unit.step().estimate).work;
        demand.stretch = job.terms.stretch;
        demand.latencyTarget = job.terms.latencyTarget;
        candidates.push_back({ &unit, queueKeyOf(demand, now), demand.waitingSince });
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) { return a.queueKey < b.queueKey; });
    return candidates;
}

// Counted once for all units of a step, of which there may be hundreds.
WorkerCounts TaskPlanner::siblingsOf(const UnitKey& key) const
{
    WorkerCounts counts;
    for (auto other = this->units.lower_bound({ key.job, key.occurrence, key.step, wholeGang }); other != this->units.end() && isSameStep(other->first, key); ++other) {
        count(counts, other->second.workers);
    }
    return counts;
}

void TaskPlanner::decide(Millis now, Millis wall)
{
    std::map<std::string, Snapshot> snapshots;
    std::map<std::string, int> reservations;
    std::vector<Candidate> candidates = this->rank(this->round.kind == RoundKind::Urgent ? this->urgentUnits : this->waitingUnits, now, wall);
    this->round.candidates = static_cast<std::int64_t>(candidates.size());
    std::map<std::string, FailedRequests> failedRequests;
    int evictionSearches = 0;
    this->isAdviceLeft = false;
    const UnitKey* blocked = nullptr; // A step of which a unit that may use every worker found no place.
    const UnitKey* counted = nullptr; // Of the step that `siblings` tells of.
    WorkerCounts siblings;
    for (Candidate& candidate : candidates) {
        Unit& unit = *candidate.unit;
        if (blocked && isSameStep(*blocked, unit.key)) {
            unit.waitReason = WaitReason::BehindSibling;
            continue; // Its units request for the same, so the next finds none either.
        }
        const std::string& service = unit.job->terms.service;
        auto snapshot = snapshots.find(service);
        if (snapshot == snapshots.end()) {
            snapshot = snapshots.emplace(service, this->makeSnapshot(service, now)).first;
            snapshot->second.reserveForUrgent(this->urgentDemand(service, now));
        }
        PlacementRequest request = this->requestOf(unit);
        std::set<std::string> isolation;
        if (unit.suspect && now - unit.waitingSince < longestIsolationWait) {
            request.isolatedJob = unit.key.job;
            isolation = this->isolationOf(unit.key.job);
            request.isolatedWorkers = isolation.empty() ? nullptr : &isolation;
        }
        std::set<std::string> allowed;
        const bool hasPolicy = this->options.advised && unit.job->terms.advice.ticketValidity > 0;
        if (hasPolicy) {
            allowed = this->allowedWorkers(this->advice[{ unit.key.job, unit.key.occurrence, unit.key.step }], snapshot->second, now);
            request.allowedWorkers = &allowed;
        }
        if (request.maxPerWorker > 0) {
            if (!counted || !isSameStep(*counted, unit.key))
                siblings = this->siblingsOf(unit.key);
            counted = &unit.key;
            request.siblingCounts = &siblings;
        }
        unit.waitReason = WaitReason::NoAdvice;
        if (hasPolicy && !this->isAdvised(unit, snapshot->second, request, now))
            continue;
        // A place that no set of workers can offer is not waited for.
        if ((!request.rack.empty() || request.sameRack) && !snapshot->second.fitsWhenEmpty(request)) {
            request.rack.clear();
            request.sameRack = false;
        }
        bool couldFit = snapshot->second.fitsWhenEmpty(request);
        if (!couldFit) {
            request.excludedWorkers = nullptr; // Rather one that failed it than none.
            couldFit = !unit.excludedWorkers.empty() && snapshot->second.fitsWhenEmpty(request);
        }
        const bool plain = request.isolatedJob.empty() && request.maxPerWorker == 0 && unit.excludedWorkers.empty() && !hasPolicy;
        FailedRequests& failed = failedRequests[service];
        const bool hopeless = failed.covers(request);
        if (!hopeless && this->tryPlace(candidate, snapshot->second, request, now)) {
            if (request.siblingCounts)
                count(siblings, unit.workers);
            continue;
        }
        unit.waitReason = WaitReason::NoIsolation;
        if (!request.isolatedJob.empty())
            continue; // Its siblings may find a place, and none is kept for it.
        // Stopping others throws work away; the idle workers that a planner which has
        // just taken over has not heard yet answer within a fraction of a second.
        const bool roomIsNear = !snapshot->second.unpolled.empty() && snapshot->second.fitsOnUnpolledWorkers(request);
        if (couldFit && !roomIsNear && evictionSearches < mostEvictionSearches && this->mayEvict(candidate, now)) {
            ++evictionSearches;
            ++this->round.evictionSearches;
            if (this->tryEvict(candidate, snapshot->second, request, now)) {
                unit.waitReason = WaitReason::RoomPromised;
                failedRequests.erase(service); // It moved room from one to another.
                continue;
            }
        }
        unit.waitReason = WaitReason::NoRoom;
        this->reportWait(candidate, snapshot->second, request, now);
        if (unit.excludedWorkers.empty())
            blocked = &unit.key;
        if (plain && !hopeless)
            failed.add(request);
        if (reservations[service]++ < mostReservations) {
            ++this->round.reservations;
            snapshot->second.reserve(request);
        }
    }
    if (this->round.kind == RoundKind::Full && !this->isAdviceLeft)
        ++this->advicePass;
    if (this->round.kind == RoundKind::Full)
        this->reportOldestWait(candidates, snapshots, now);
}

bool TaskPlanner::tryPlace(Candidate& candidate, Snapshot& snapshot, const PlacementRequest& request, Millis now)
{
    Unit& unit = *candidate.unit;
    ++this->round.searches;
    if (const auto places = snapshot.findFreeBySpeed(request)) {
        std::vector<std::string> chosen;
        for (const std::size_t index : *places)
            chosen.push_back(snapshot.workers[index].id);
        snapshot.allocate(request, *places);
        const Step& step = unit.step();
        unit.placedRemotely = (!step.dataRack.empty() && request.rack.empty()) || (step.sameRack && !request.sameRack);
        this->place(unit, chosen, now);
        ++this->round.placed;
        unit.waitReportedAt = 0;
        if (!request.isolatedJob.empty())
            this->isolatedUnits.insert(unit.key);
        return true;
    }
    if (const auto places = snapshot.findAfterStops(request)) {
        snapshot.allocateAfterStops(request, *places);
        unit.waitReason = WaitReason::RoomPromised;
        this->reportWait(candidate, snapshot, request, now);
        return true;
    }
    return false;
}

void TaskPlanner::place(Unit& unit, const std::vector<std::string>& chosen, Millis now)
{
    ++unit.run;
    unit.state = UnitState::Running;
    unit.membersLeft = static_cast<std::int64_t>(chosen.size());
    unit.memberFailed = false;
    unit.stopping = false;
    unit.reportedRefusal = EvictionRefusal::None;
    unit.placedAt = now;
    unit.inherited = false;
    unit.startedAt = 0;
    unit.inheritedWork.reset();
    unit.progress = unit.checkpointProgress;
    unit.progressAtStart = unit.checkpointProgress;
    unit.lastProgressAt = now;
    unit.lastReportAt = 0;
    unit.workers.clear();
    this->dequeue(unit.key);
    for (std::size_t member = 0; member < chosen.size(); ++member) {
        Worker& worker = this->workers.at(chosen[member]);
        unit.workers.push_back(worker.description.incarnation);
        PlacedRun placedRun { .run = { unit.task(static_cast<std::int64_t>(member)), unit.run }, .unit = unit.key };
        placedRun.resources = this->roomOf(placedRun.run.task);
        worker.used += placedRun.resources;
        worker.placedRuns.emplace(placedRun.run, placedRun);
        this->startsToRecord.emplace_back(chosen[member], placedRun.run);
    }
    ActiveJob& active = this->jobs.at(unit.key.job);
    active.started = true;
    active.state = JobState::Running;
    this->markDirty(unit.key.job);
    this->reportPlaced(unit, now);
}

} // namespace rattan::tasks
