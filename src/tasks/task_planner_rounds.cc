// Placement rounds. A round visits the waiting units in the order of what their delay would
// cost. Each unit gets free resources, resources of runs that are being stopped, resources of
// runs that it may evict (task_planner_evictions.cc), or a reservation.

#include "tasks/planner_limits.h"
#include "tasks/preemption.h"
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

    bool isBefore(const Candidate& a, const Candidate& b) { return a.queueKey < b.queueKey; }

    bool isSameStep(const UnitKey& a, const UnitKey& b) { return a.step == b.step && a.occurrence == b.occurrence && a.job == b.job; }

} // namespace

void TaskPlanner::step(Millis now, Millis wall)
{
    this->expireForecasts(now);
    this->expireLeases(now);
    this->failExhaustedJobs(now);
    this->updateIdleJobs(now);
    for (auto& [id, active] : this->jobs) {
        if (isFinal(active.state))
            continue;
        if (this->needsUnits(active))
            this->addNeededUnits(active, now);
        this->beginDueOccurrences(active, now, wall);
    }
    this->updateWaitingStarts(now);
    const RoundKind kind = this->pacer.next(now, !this->urgentWaitingUnits.empty());
    this->round = { .kind = kind };
    if (kind == RoundKind::None)
        return;
    this->pacer.roundStarted(kind, now);
    this->wallOffset = wall - now;
    this->stopStalledUnits(now);
    this->evacuateLeavingWorkers(now);
    this->moveLateRuns(now, wall);
    this->markGuaranteedJobs(now);
    this->runRound(now, wall);
}

Millis TaskPlanner::nextWake(Millis now, Millis wall) const
{
    if (this->hasDuePolls() || !this->adviceOrders.empty())
        return now;
    Millis next = this->pacer.nextWake(now, !this->urgentWaitingUnits.empty());
    if (!this->isBatchPending)
        next = std::min(next, this->recordDueAt);
    for (const auto& [id, active] : this->jobs) {
        if (isFinal(active.state))
            continue;
        if (this->needsUnits(active))
            return now;
        if (this->mayBeginOccurrence(active))
            next = std::min(next, now + std::max<Millis>(active.job->dueAt(active.nextOccurrence) - wall, 0));
    }
    next = std::min(next, this->nextSurvivalCheck(now));
    if (this->nextIdlePollsAt > now)
        next = std::min(next, this->nextIdlePollsAt);
    for (const auto& [id, worker] : this->workers) {
        if (!worker.pollInFlight && worker.nextPollAt > now)
            next = std::min(next, worker.nextPollAt);
        if (worker.ackDueBy > now)
            next = std::min(next, worker.ackDueBy);
    }
    return std::max(next, now);
}

// All units of a group share one forecast, since a round needs that of each waiting and each
// running unit. All forecasts are computed again after the same interval: if those of equal jobs
// differed by when they were computed, the jobs would be ordered by that.
const GroupForecast& TaskPlanner::forecastOf(const Unit& unit) const
{
    if (unit.forecast && unit.forecast->validUntil == this->forecastsValidUntil)
        return *unit.forecast;
    const RunGroup group = groupOf(unit);
    std::shared_ptr<const GroupForecast>& known = this->groupForecasts[group];
    if (!known) {
        const RunTimeForecast distribution = this->runTimeForecaster.forecast(group);
        const bool learned = distribution.samples() >= minForecastSamples;
        constexpr double median = 0.5;
        const Millis work = learned ? distribution.quantile(median) : this->runTimes.forecast(group.queue, group.declared).work;
        known = std::make_shared<const GroupForecast>(GroupForecast { distribution, work, learned, this->forecastsValidUntil });
    }
    unit.forecast = known;
    return *unit.forecast;
}

void TaskPlanner::expireForecasts(Millis now)
{
    if (now < this->forecastsValidUntil)
        return;
    this->groupForecasts.clear();
    this->forecastsValidUntil = now + forecastValidity;
}

Millis TaskPlanner::expectedRunTime(const Unit& unit) const
{
    const Millis expectedWork = this->forecastOf(unit).work;
    return std::max<Millis>(static_cast<Millis>(static_cast<double>(expectedWork) * (1 - unit.checkpointProgress)), 1);
}

Millis TaskPlanner::expectedEnd(const Unit& unit, Millis now) const
{
    if (unit.step().longRunning)
        return now + longRunningTime; // A serving task reports all of its work as done while it continues to run.
    if (unit.startedAt == 0)
        return this->expectedEndWithoutProgress(unit, now);
    const double done = unit.progress - unit.progressAtStart;
    constexpr double minMeasuredProgress = 0.1;
    if (done < minMeasuredProgress || unit.lastReportAt <= unit.startedAt)
        return this->expectedEndWithoutProgress(unit, now);
    const double progressPerMs = done / static_cast<double>(unit.lastReportAt - unit.startedAt);
    return std::max(now, unit.lastReportAt + static_cast<Millis>((1 - unit.progress) / progressPerMs));
}

// Progress that is reported shows the speed of a run best. Before, the forecast of the rest
// depends on the work already done: a run beyond its usual time is probably a long one.
Millis TaskPlanner::expectedEndWithoutProgress(const Unit& unit, Millis now) const
{
    const GroupForecast& forecast = this->forecastOf(unit);
    if (!forecast.learned)
        return unit.startedAt == 0 ? now + this->expectedRunTime(unit) : std::max(now, unit.startedAt + this->expectedRunTime(unit));
    const double speed = this->speedOf(unit);
    const double saved = static_cast<double>(forecast.work) * unit.progressAtStart;
    const Millis ran = unit.startedAt == 0 ? 0 : now - unit.startedAt + unit.inheritedWork.value_or(0);
    constexpr double median = 0.5;
    const Millis rest = forecast.distribution.remaining(median, static_cast<Millis>(saved + static_cast<double>(ran) * speed));
    return now + static_cast<Millis>(static_cast<double>(rest) / speed);
}

// The worker of the member with the least progress, or null if several workers are tied.
TaskPlanner::Worker* TaskPlanner::slowestWorker(const Unit& unit)
{
    Worker* slowest = nullptr;
    double minProgress = std::numeric_limits<double>::max();
    bool isTied = false;
    for (std::size_t member = 0; member < unit.workers.size(); ++member) {
        Worker* worker = this->find(unit.workers[member]);
        const auto placedRun = worker ? worker->placedRuns.find({ unit.task(static_cast<std::int64_t>(member)), unit.run }) : std::map<RunRef, PlacedRun>::iterator();
        if (!worker || placedRun == worker->placedRuns.end())
            continue;
        isTied = isTied || (placedRun->second.progress == minProgress && worker != slowest);
        if (placedRun->second.progress < minProgress) {
            minProgress = placedRun->second.progress;
            slowest = worker;
            isTied = false;
        }
    }
    return isTied ? nullptr : slowest;
}

void TaskPlanner::stopStalledUnits(Millis now)
{
    std::vector<UnitKey> stalled;
    for (const auto& [key, unit] : this->units) {
        if (unit.state != UnitState::Running || unit.stopping || unit.startedAt == 0 || unit.step().longRunning)
            continue;
        const auto limit = std::max(minStallTime, static_cast<Millis>(static_cast<double>(this->expectedRunTime(unit)) * stallFraction));
        if (unit.lastReportAt - unit.lastProgressAt >= limit)
            stalled.push_back(key);
    }
    for (const UnitKey& key : stalled) {
        Unit& unit = this->units.at(key);
        this->emit(PlanEventKind::UnitStalled, key, unit.run, unit.workers.front().id, fmt::format("at {}%", static_cast<int>(unit.progress * 100)));
        if (Worker* worker = this->slowestWorker(unit)) {
            unit.excludedWorkers.push_back(worker->description.incarnation.id);
            worker->health.runStalled(now);
        }
        this->stopUnit(unit, now);
    }
}

// Moves runs that would not end before their worker leaves, while their checkpoints are still
// available.
void TaskPlanner::evacuateLeavingWorkers(Millis now)
{
    std::vector<UnitKey> unitsToMove;
    for (const auto& [id, worker] : this->workers) {
        if (!worker.description.leaving)
            continue;
        for (const auto& [run, placedRun] : worker.placedRuns) {
            const Unit* unit = placedRun.orphaned || placedRun.stopRequested ? nullptr : this->find(placedRun.unit);
            if (unit && this->expectedEnd(*unit, now) > worker.leavesAt - leaveMargin)
                unitsToMove.push_back(placedRun.unit);
        }
    }
    for (const UnitKey& key : unitsToMove) {
        if (Unit* unit = this->find(key)) {
            this->emit(PlanEventKind::UnitEvicted, key, unit->run, "", "its worker is leaving");
            this->stopUnit(*unit, now);
        }
    }
}

void TaskPlanner::markGuaranteedJobs(Millis now)
{
    std::vector<ActiveJob*> urgent;
    for (auto& [id, active] : this->jobs) {
        active.guaranteed = false;
        this->updatePaths(active, now);
        if (active.terms->priority == 0 && !isFinal(active.state))
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

// The accelerators that urgent jobs of a service hold or wait for. Returns the maximum of the
// current demand and of past demand, which decays by half every four seconds, because urgent
// jobs arrive in repeated bursts.
std::int64_t TaskPlanner::urgentDemand(const std::string& service, Millis now)
{
    constexpr double demandHalfLife = 4000;
    double present = 0;
    for (const auto& [key, unit] : this->units) {
        if (unit.terms->priority == 0 && this->serviceOf(unit) == service)
            present += static_cast<double>(unit.members() * unit.step().perTask.accelerators);
    }
    DecayingDemand& demanded = this->recentUrgentDemand[service];
    const double decayed = demanded.accelerators * std::exp2(-static_cast<double>(now - demanded.at) / demandHalfLife);
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
    allocation.stops = unit.evictionCount;
    allocation.placedAt = unit.placedAt;
    allocation.borrowed = unit.borrows && unit.evictionCount == 0;
    allocation.priority = std::min(unit.terms->priority, unit.rankedPriority);
    allocation.guaranteed = this->jobs.at(unit.key.job).guaranteed;
    return allocation;
}

// Whether a run that tests the worker after its quarantine is already there. Runs that were
// confirmed before the quarantine ended don't count: they are no test, and may be long-running.
bool TaskPlanner::hasProbingRun(const Worker& worker)
{
    return std::any_of(worker.placedRuns.begin(), worker.placedRuns.end(), [&](const auto& row) {
        const PlacedRun& placedRun = row.second;
        return placedRun.phase != RunPhase::Running || placedRun.confirmedAt >= worker.health.quarantinedUntil();
    });
}

WorkerAvailability TaskPlanner::availabilityOf(const Worker& worker, Millis now) const
{
    if (!worker.listed)
        return WorkerAvailability::Unlisted;
    if (worker.description.leaving)
        return WorkerAvailability::Leaving;
    if (this->isEvacuated(worker))
        return WorkerAvailability::Evacuated;
    if (worker.silent)
        return WorkerAvailability::Silent;
    if (worker.hasMoreEnds)
        return WorkerAvailability::EndsUnread;
    if (now < worker.placementBlockedUntil)
        return WorkerAvailability::Resting;
    if (this->isInDoubtedDomain(worker, now))
        return WorkerAvailability::Doubted;
    if (!worker.health.canTakeRun(now, !hasProbingRun(worker)))
        return WorkerAvailability::Quarantined;
    return worker.hasAnswered ? WorkerAvailability::Available : WorkerAvailability::NotPolled;
}

Snapshot TaskPlanner::makeSnapshot(const std::string& service, Millis now) const
{
    Snapshot snapshot;
    snapshot.now = now;
    snapshot.heterogeneous = this->workerSpeeds.areHeterogeneous();
    for (const auto& [id, worker] : this->workers) {
        const WorkerAvailability availability = worker.description.service == service ? this->availabilityOf(worker, now) : WorkerAvailability::Unlisted;
        const bool hasProbe = availability == WorkerAvailability::Quarantined && now >= worker.health.quarantinedUntil();
        const bool answers = availability == WorkerAvailability::EndsUnread || availability == WorkerAvailability::Resting || availability == WorkerAvailability::Doubted || (availability == WorkerAvailability::Quarantined && !hasProbe);
        if (availability != WorkerAvailability::Available && availability != WorkerAvailability::NotPolled && !answers && !hasProbe)
            continue;
        SnapshotWorker snapshotWorker { .id = id, .rack = worker.description.rack, .labels = &worker.description.labels, .capacity = worker.description.capacity };
        if (availability == WorkerAvailability::NotPolled) {
            if (worker.placedRuns.empty())
                snapshot.unpolled.push_back(std::move(snapshotWorker));
            continue;
        }
        snapshotWorker.free = worker.description.capacity;
        snapshotWorker.free -= worker.used;
        if (answers) {
            snapshot.unavailable.push_back(std::move(snapshotWorker));
            continue;
        }
        const WorkerSpeed speed = this->workerSpeeds.estimateOf(id);
        snapshotWorker.speed = speed.median;
        snapshotWorker.speedDeviation = speed.deviation;
        snapshotWorker.freeAfterStops = snapshotWorker.free;
        snapshotWorker.isProbing = worker.health.isProbing();
        snapshotWorker.hasProbe = hasProbe;
        for (const auto& [run, placedRun] : worker.placedRuns) {
            const bool ending = placedRun.orphaned || placedRun.stopRequested;
            if (ending)
                snapshotWorker.freeAfterStops += placedRun.resources;
            if (this->isolatedUnits.contains(placedRun.unit))
                snapshotWorker.isolatedJob = placedRun.unit.job;
            snapshotWorker.allocations.push_back(this->allocationOf(placedRun, now));
        }
        snapshot.workers.push_back(std::move(snapshotWorker));
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
    request.expectedRunTime = this->expectedRunTime(unit);
    request.urgent = unit.terms->priority == 0;
    return request;
}

std::vector<TaskPlanner::Candidate> TaskPlanner::rankCandidates(const std::set<UnitKey>& keys, Millis now, Millis wall)
{
    std::vector<Candidate> candidates;
    for (const UnitKey& key : keys) {
        Unit& unit = this->units.at(key);
        if (unit.notBefore > now) {
            unit.waitReason = WaitReason::InRetryDelay;
            continue;
        }
        // Units of one step without saved progress have equal rank, and there may be hundreds.
        const Candidate* previous = candidates.empty() ? nullptr : &candidates.back();
        if (previous && unit.checkpointProgress == 0 && previous->unit->checkpointProgress == 0 && isSameStep(previous->unit->key, key)) {
            candidates.push_back({ &unit, previous->queueKey, previous->waitingSince, previous->latestStarts });
            continue;
        }
        const ActiveJob& active = this->jobs.at(key.job);
        const Job& job = *active.job;
        QueueKeyInputs demand;
        demand.guaranteed = active.guaranteed;
        demand.priority = active.terms->priority;
        demand.waitingSince = now - (wall - (job.repeats > 0 ? job.dueAt(key.occurrence) : job.acceptedAt));
        demand.remainingRunTime = this->expectedRunTime(unit);
        demand.criticalPath = this->forecastOf(unit).work;
        demand.stretch = job.terms.stretch;
        demand.latencyTarget = job.terms.latencyTarget;
        const Deadlines deadlines = this->deadlinesOf(unit);
        const Millis remaining = demand.remainingRunTime + active.paths.after[static_cast<std::size_t>(key.step)];
        candidates.push_back({ &unit, queueKeyOf(demand, now), demand.waitingSince, { deadlines.inTime - remaining, deadlines.useful - remaining } });
    }
    std::stable_sort(candidates.begin(), candidates.end(), isBefore);
    this->orderExcess(candidates, now);
    return candidates;
}

// How many tasks of the unit's step each worker has. The caller reuses the result for all units
// of the step, of which there may be hundreds.
WorkerCounts TaskPlanner::workersOfSiblings(const UnitKey& key) const
{
    WorkerCounts counts;
    for (auto other = this->units.lower_bound({ key.job, key.occurrence, key.step, wholeGang }); other != this->units.end() && isSameStep(other->first, key); ++other) {
        count(counts, other->second.workers);
    }
    return counts;
}

void TaskPlanner::runRound(Millis now, Millis wall)
{
    std::map<std::string, Snapshot> snapshots;
    std::map<std::string, int> reservations;
    std::vector<Candidate> candidates = this->rankCandidates(this->round.kind == RoundKind::Urgent ? this->urgentWaitingUnits : this->waitingUnits, now, wall);
    this->round.candidates = static_cast<std::int64_t>(candidates.size());
    std::map<std::string, FailedRequests> failedRequests;
    int evictionSearches = 0;
    this->hasDeferredAdvice = false;
    // Both identify a step by one of its units: a step of which a unit that excludes no worker could
    // not be placed, and the step that `siblings` was counted for.
    const UnitKey* blockedStep = nullptr;
    const UnitKey* countedStep = nullptr;
    WorkerCounts siblings;
    for (Candidate& candidate : candidates) {
        Unit& unit = *candidate.unit;
        if (blockedStep && isSameStep(*blockedStep, unit.key)) {
            unit.waitReason = WaitReason::BehindSibling;
            continue; // All units of a step make the same request, so this one would fail too.
        }
        const std::string& service = unit.terms->service;
        auto snapshot = snapshots.find(service);
        if (snapshot == snapshots.end()) {
            snapshot = snapshots.emplace(service, this->makeSnapshot(service, now)).first;
            snapshot->second.reserveForUrgent(this->urgentDemand(service, now));
        }
        PlacementRequest request = this->requestOf(unit);
        request.speedPreference = this->speedPreferenceOf(candidate, request, now);
        std::set<std::string> isolation;
        if (unit.suspect && now - unit.waitingSince < maxIsolationWait) {
            request.isolatedJob = unit.key.job;
            isolation = this->isolatedWorkersOf(unit.key.job);
            request.isolatedWorkers = isolation.empty() ? nullptr : &isolation;
        }
        std::set<std::string> allowed;
        const bool hasPolicy = this->hasPolicy(unit);
        if (hasPolicy) {
            allowed = this->allowedWorkers(this->adviceByStep[{ unit.key.job, unit.key.occurrence, unit.key.step }], snapshot->second, now);
            request.allowedWorkers = &allowed;
        }
        if (request.maxPerWorker > 0) {
            if (!countedStep || !isSameStep(*countedStep, unit.key))
                siblings = this->workersOfSiblings(unit.key);
            countedStep = &unit.key;
            request.siblingCounts = &siblings;
        }
        unit.waitReason = WaitReason::NoAdvice;
        const bool hasAdvice = !hasPolicy || this->resolveAdvice(unit, snapshot->second, request, now);
        // Rack preferences that no set of workers can satisfy are dropped, not waited for.
        if ((!request.rack.empty() || request.sameRack) && !snapshot->second.fitsWhenEmpty(request)) {
            request.rack.clear();
            request.sameRack = false;
        }
        bool couldFit = snapshot->second.fitsWhenEmpty(request);
        if (!couldFit) {
            request.excludedWorkers = nullptr; // A worker on which it failed is better than none.
            couldFit = !unit.excludedWorkers.empty() && snapshot->second.fitsWhenEmpty(request);
        }
        const bool isCacheable = request.isolatedJob.empty() && request.maxPerWorker == 0 && unit.excludedWorkers.empty() && !hasPolicy;
        FailedRequests& failed = failedRequests[service];
        const bool knownToFail = failed.covers(request);
        this->updateUnusedResources(unit, snapshot->second, request, now);
        if (knownToFail || !hasAdvice ? this->tryPlaceWithoutPreferences(candidate, snapshot->second, request, now) : this->tryPlace(candidate, snapshot->second, request, now)) {
            if (request.siblingCounts)
                count(siblings, unit.workers);
            continue;
        }
        if (!hasAdvice)
            continue;
        unit.waitReason = WaitReason::NoWorkerForIsolation;
        // A unit that needs isolation evicts nothing, gets no reservation and does not block its
        // siblings, which may find a place.
        if (!request.isolatedJob.empty())
            continue;
        // Eviction loses work, so a unit that fits on idle workers not polled yet waits instead:
        // after a takeover they answer within a fraction of a second.
        const bool hasUnpolledResources = !snapshot->second.unpolled.empty() && snapshot->second.fitsOnUnpolledWorkers(request);
        const bool mayReserve = couldFit && reservations[service] < maxReservations;
        request.takesBack = this->mayTakeBack(candidate, now);
        std::optional<Snapshot::Reservation> reservation;
        if (mayReserve)
            reservation = snapshot->second.findReservation(request);
        if (request.takesBack && reservation && reservation->at <= now && evictionSearches < maxEvictionSearches) {
            ++evictionSearches;
            ++this->round.evictionSearches;
            if (this->tryTakeBack(candidate, snapshot->second, request, now)) {
                unit.waitReason = WaitReason::AwaitsStops;
                failedRequests.erase(service);
                continue;
            }
        }
        if (couldFit && !hasUnpolledResources && evictionSearches < maxEvictionSearches && this->canEvict(candidate, now) && this->mustStopOthers(candidate, reservation, now)) {
            ++evictionSearches;
            ++this->round.evictionSearches;
            if (this->tryEvict(candidate, snapshot->second, request, now)) {
                unit.waitReason = WaitReason::AwaitsStops;
                failedRequests.erase(service); // The eviction changed which resources are free.
                continue;
            }
        }
        unit.waitReason = WaitReason::NotEnoughResources;
        this->reportGuaranteeWait(candidate, snapshot->second, request, now);
        if (unit.excludedWorkers.empty() && !unit.step().longRunning)
            blockedStep = &unit.key; // Long-running tasks of a step are passed over each on its own.
        if (isCacheable && !knownToFail)
            failed.add(request);
        if (mayReserve) {
            ++reservations[service];
            ++this->round.reservations;
            if (reservation)
                snapshot->second.reserve(request, *reservation);
        }
    }
    if (this->round.kind == RoundKind::Full && !this->hasDeferredAdvice)
        ++this->advicePass;
    if (this->round.kind == RoundKind::Full) {
        this->reportOldestWait(candidates, snapshots, now);
        this->updateLoads(candidates, now, wall);
    }
}

// Places the unit now, or commits resources of runs that are being stopped to it.
bool TaskPlanner::tryPlace(Candidate& candidate, Snapshot& snapshot, const PlacementRequest& request, Millis now)
{
    Unit& unit = *candidate.unit;
    ++this->round.searches;
    if (const auto places = snapshot.findFreeBySpeed(request)) {
        this->placeCandidate(candidate, snapshot, request, *places, now);
        return true;
    }
    if (this->tryPlaceWithoutPreferences(candidate, snapshot, request, now))
        return true;
    if (const auto places = snapshot.findAfterStops(request)) {
        snapshot.allocateAfterStops(request, *places);
        unit.waitReason = WaitReason::AwaitsStops;
        this->reportGuaranteeWait(candidate, snapshot, request, now);
        return true;
    }
    return false;
}

void TaskPlanner::placeCandidate(const Candidate& candidate, Snapshot& snapshot, const PlacementRequest& request, const Placement& places, Millis now)
{
    Unit& unit = *candidate.unit;
    std::vector<std::string> chosen;
    for (const std::size_t index : places)
        chosen.push_back(snapshot.workers[index].id);
    snapshot.allocate(request, places);
    unit.rankedPriority = candidate.queueKey.priority;
    const Step& step = unit.step();
    unit.placedRemotely = (!step.dataRack.empty() && request.rack.empty()) || (step.sameRack && !request.sameRack);
    this->place(unit, chosen, now);
    ++this->round.placed;
    unit.waitReportedAt = 0;
    if (!request.isolatedJob.empty())
        this->isolatedUnits.insert(unit.key);
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
    unit.recordsStarts = false;
    unit.borrows = false;
    unit.startedAt = 0;
    unit.inheritedWork.reset();
    const GroupForecast& forecast = this->forecastOf(unit);
    unit.forecastAtStart = forecast.learned ? std::optional(ForecastCoverage::quantilesOf(forecast.distribution)) : std::nullopt;
    unit.progress = unit.checkpointProgress;
    unit.progressAtStart = unit.checkpointProgress;
    unit.lastProgressAt = now;
    unit.lastReportAt = 0;
    unit.memberReports.assign(chosen.size(), {});
    unit.allStartedAt = 0;
    unit.hasInexactStart = false;
    unit.speedsLearned = false;
    unit.workers.clear();
    this->dequeue(unit.key);
    for (std::size_t member = 0; member < chosen.size(); ++member) {
        Worker& worker = this->workers.at(chosen[member]);
        unit.workers.push_back(worker.description.incarnation);
        PlacedRun placedRun { .run = { unit.task(static_cast<std::int64_t>(member)), unit.run }, .unit = unit.key };
        placedRun.resources = this->resourcesOf(placedRun.run.task);
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
