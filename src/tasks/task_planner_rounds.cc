// The choice of what runs where: a round looks at every waiting unit in the order
// of what its delay would cost, and gives it free room, room of runs that are
// being stopped, room of runs that it may stop, or a reservation.

#include "tasks/eviction.h"
#include "tasks/planner_limits.h"
#include "tasks/queue_order.h"
#include "tasks/task_planner.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace rattan::tasks {

using namespace detail;

struct TaskPlanner::Candidate {
    Unit* unit;
    Turn turn;
    Millis waitedSince;
};

void TaskPlanner::step(Millis now, Millis wall)
{
    this->expire(now);
    for (auto& [id, active] : this->jobs) {
        if (!isFinal(active.state))
            this->beginDue(active, now, wall);
    }
    const bool due = this->changed || now >= this->nextRound + idleRound || (this->roundDueBy > 0 && now >= this->roundDueBy);
    if (now < this->nextRound || now < this->roundsHeldUntil || !due)
        return;
    this->roundDueBy = 0;
    this->nextRound = now + roundGap;
    this->changed = false;
    this->noticeStalls(now);
    this->clearLeaving(now);
    this->markSure();
    this->decide(now, wall);
}

Millis TaskPlanner::nextWake(Millis now, Millis wall) const
{
    if (this->looksLeft)
        return now;
    Millis next = this->changed ? std::max(now, this->nextRound) : this->nextRound + idleRound;
    if (this->roundDueBy > 0)
        next = std::min(next, this->roundDueBy);
    if (!this->batchUnderWay)
        next = std::min(next, this->recordBy);
    for (const auto& [id, active] : this->jobs) {
        if (!isFinal(active.state) && active.nextOccurrence < active.job->occurrences())
            next = std::min(next, now + std::max<Millis>(active.job->dueAt(active.nextOccurrence) - wall, 0));
    }
    if (this->idleLooksFrom > now)
        next = std::min(next, this->idleLooksFrom);
    for (const auto& [id, worker] : this->workers) {
        if (!worker.lookUnderWay && worker.nextLookAt > now)
            next = std::min(next, worker.nextLookAt);
        if (worker.ackDueBy > now)
            next = std::min(next, worker.ackDueBy);
    }
    return std::max({ next, now, std::min(this->roundsHeldUntil, now + roundGap) });
}

Millis TaskPlanner::expectedRun(const Unit& unit) const
{
    const Millis whole = this->runTimes.expect(unit.job->terms.queue, unit.step().estimate).work;
    return std::max<Millis>(static_cast<Millis>(static_cast<double>(whole) * (1 - unit.saved)), 1);
}

Millis TaskPlanner::expectedEnd(const Unit& unit, Millis now) const
{
    if (unit.startedAt == 0)
        return now + this->expectedRun(unit);
    const double done = unit.progress - unit.progressAtStart;
    constexpr double enoughToTell = 0.1;
    if (done < enoughToTell || unit.heardAt <= unit.startedAt)
        return std::max(now, unit.startedAt + this->expectedRun(unit));
    const double perMilli = done / static_cast<double>(unit.heardAt - unit.startedAt);
    return std::max(now, unit.heardAt + static_cast<Millis>((1 - unit.progress) / perMilli));
}

// What would have to be done again, in core-seconds. A run that saves its
// progress does so when it is stopped, and loses next to nothing.
double TaskPlanner::lostWork(const Unit& unit, Millis now) const
{
    constexpr double restartSeconds = 0.3;
    const double weight = weightOf(unit.step().each) * static_cast<double>(unit.members());
    if (unit.startedAt == 0)
        return weight * restartSeconds;
    const double ran = static_cast<double>(now - unit.startedAt) / 1000.0;
    return weight * (unit.step().savesProgress ? restartSeconds : ran + restartSeconds);
}

// Core-seconds of others' work that may be thrown away so that a unit which is
// not guaranteed begins now.
double TaskPlanner::worthLosing(const Unit& unit) const
{
    if (unit.job->terms.priority == 0)
        return mostLostWork;
    const double work = weightOf(unit.step().each) * static_cast<double>(unit.members() * this->expectedRun(unit)) / 1000.0;
    return work * mostLostShare;
}

// The worker whose member has done least; null if several are as far.
TaskPlanner::Worker* TaskPlanner::slowestMember(const Unit& unit)
{
    Worker* slowest = nullptr;
    double least = std::numeric_limits<double>::max();
    bool shared = false;
    for (std::size_t member = 0; member < unit.workers.size(); ++member) {
        Worker* worker = this->find(unit.workers[member]);
        const auto occupant = worker ? worker->occupants.find({ unit.task(static_cast<std::int64_t>(member)), unit.run }) : std::map<RunRef, Occupant>::iterator();
        if (!worker || occupant == worker->occupants.end())
            continue;
        shared = shared || (occupant->second.progress == least && worker != slowest);
        if (occupant->second.progress < least) {
            least = occupant->second.progress;
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
        if (unit.heardAt - unit.movedAt >= limit)
            stalled.push_back(key);
    }
    for (const UnitKey& key : stalled) {
        Unit& unit = this->units.at(key);
        this->note(NoteKind::UnitStalled, key, unit.run, unit.workers.front().id, fmt::format("at {}%", static_cast<int>(unit.progress * 100)));
        if (Worker* worker = this->slowestMember(unit)) {
            unit.avoid.push_back(worker->seen.life.id);
            worker->trust.stalled(now);
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
        if (!worker.seen.leaving)
            continue;
        for (const auto& [run, occupant] : worker.occupants) {
            const Unit* unit = occupant.stray || occupant.stopWanted ? nullptr : this->find(occupant.unit);
            if (unit && this->expectedEnd(*unit, now) > worker.leavesAt - leaveMargin)
                moved.push_back(occupant.unit);
        }
    }
    for (const UnitKey& key : moved) {
        if (Unit* unit = this->find(key)) {
            this->note(NoteKind::UnitEvicted, key, unit->run, "", "its worker leaves");
            this->stopUnit(*unit, now);
        }
    }
}

void TaskPlanner::markSure()
{
    std::vector<ActiveJob*> urgent;
    for (auto& [id, active] : this->jobs) {
        active.sure = false;
        if (active.job->terms.priority == 0 && !isFinal(active.state))
            urgent.push_back(&active);
    }
    std::sort(urgent.begin(), urgent.end(), [](const ActiveJob* a, const ActiveJob* b) { return a->job->acceptedAt < b->job->acceptedAt; });
    std::map<std::string, std::int64_t> used;
    for (ActiveJob* active : urgent) {
        std::int64_t& sum = used[active->job->workspace];
        sum += acceleratorsOf(*active->job);
        active->sure = sum <= this->catalog->guaranteeOf(active->job->workspace);
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
            present += static_cast<double>(unit.members() * unit.step().each.accelerators);
    }
    Demanded& demanded = this->urgentDemanded[service];
    const double decayed = demanded.accelerators * std::exp2(-static_cast<double>(now - demanded.at) / halvesIn);
    demanded = { std::max(present, decayed), now };
    return static_cast<std::int64_t>(demanded.accelerators);
}

Floor TaskPlanner::makeFloor(const std::string& service, Millis now) const
{
    Floor floor;
    floor.now = now;
    for (const auto& [id, worker] : this->workers) {
        const bool present = worker.listed && !worker.silent && !worker.seen.leaving && worker.seen.service == service;
        if (!present || now < worker.takesNothingUntil || !worker.trust.takesWork(now, worker.occupants.empty()))
            continue;
        FloorWorker place { .id = id, .rack = worker.seen.rack, .labels = &worker.seen.labels, .capacity = worker.seen.capacity };
        if (!worker.known) {
            if (worker.occupants.empty())
                floor.unasked.push_back(std::move(place));
            continue;
        }
        place.speed = this->speeds.of(id);
        place.free = worker.seen.capacity;
        place.free -= worker.used;
        place.soon = place.free;
        place.oneMore = worker.trust.onTrial();
        for (const auto& [run, occupant] : worker.occupants) {
            const bool ending = occupant.stray || occupant.stopWanted;
            if (ending)
                place.soon += occupant.room;
            const auto unit = this->units.find(occupant.unit);
            const Millis endsAt = ending || unit == this->units.end() ? now + this->options.stopTimeout : this->expectedEnd(unit->second, now);
            place.holders.push_back({ occupant.unit, occupant.room, endsAt, ending });
        }
        floor.workers.push_back(std::move(place));
    }
    return floor;
}

Ask TaskPlanner::askOf(const Unit& unit) const
{
    const Step& step = unit.step();
    Ask ask;
    ask.members = unit.members();
    ask.each = step.each;
    if (step.fills)
        ask.each.milliCores = 0;
    ask.label = step.label;
    ask.rack = step.dataRack;
    ask.sameRack = step.sameRack;
    ask.mostPerWorker = step.mostPerWorker;
    ask.avoid = &unit.avoid;
    ask.expected = this->expectedRun(unit);
    ask.urgent = unit.job->terms.priority == 0;
    return ask;
}

std::vector<TaskPlanner::Candidate> TaskPlanner::rank(Millis now, Millis wall)
{
    std::vector<Candidate> candidates;
    for (const UnitKey& key : this->waitingUnits) {
        Unit& unit = this->units.at(key);
        if (unit.notBefore > now)
            continue;
        const ActiveJob& active = this->jobs.at(key.job);
        const Job& job = *active.job;
        Demand demand;
        demand.sure = active.sure;
        demand.priority = job.terms.priority;
        demand.waitedSince = now - (wall - (job.repeats > 0 ? job.dueAt(key.occurrence) : job.acceptedAt));
        demand.expected = this->expectedRun(unit);
        demand.chain = this->runTimes.expect(job.terms.queue, unit.step().estimate).work;
        demand.stretch = job.terms.stretch;
        demand.target = job.terms.latencyTarget;
        candidates.push_back({ &unit, turnOf(demand, now), demand.waitedSince });
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) { return a.turn < b.turn; });
    return candidates;
}

void TaskPlanner::decide(Millis now, Millis wall)
{
    std::map<std::string, Floor> floors;
    std::map<std::string, int> reservations;
    std::vector<Candidate> candidates = this->rank(now, wall);
    std::map<std::string, FailedAsks> failedAsks;
    int evictionSearches = 0;
    const UnitKey* blocked = nullptr; // A step of which a unit found no place.
    for (Candidate& candidate : candidates) {
        Unit& unit = *candidate.unit;
        if (blocked && blocked->job == unit.key.job && blocked->occurrence == unit.key.occurrence && blocked->step == unit.key.step)
            continue; // Its units ask for the same, so the next finds none either.
        const std::string& service = unit.job->terms.service;
        auto floor = floors.find(service);
        if (floor == floors.end()) {
            floor = floors.emplace(service, this->makeFloor(service, now)).first;
            floor->second.keep(this->urgentDemand(service, now));
        }
        Ask ask = this->askOf(unit);
        std::set<std::string> allowed;
        const bool hasPolicy = this->options.advised && unit.job->terms.advice.valid > 0;
        if (hasPolicy) {
            allowed = this->allowedWorkers(this->advice[{ unit.key.job, unit.key.occurrence, unit.key.step }], floor->second, now);
            ask.allowed = &allowed;
        }
        std::vector<std::string> siblings;
        if (ask.mostPerWorker > 0) {
            for (auto other = this->units.lower_bound({ unit.key.job, unit.key.occurrence, unit.key.step, wholeGang });
                 other != this->units.end() && other->first.job == unit.key.job && other->first.occurrence == unit.key.occurrence && other->first.step == unit.key.step; ++other) {
                for (const WorkerLife& life : other->second.workers)
                    siblings.push_back(life.id);
            }
            ask.siblings = &siblings;
        }
        if (hasPolicy && !this->isAdvised(unit, floor->second, ask, now))
            continue;
        // A place that no set of workers can offer is not waited for.
        if ((!ask.rack.empty() || ask.sameRack) && !floor->second.couldEverFit(ask)) {
            ask.rack.clear();
            ask.sameRack = false;
        }
        if (!floor->second.couldEverFit(ask)) {
            ask.avoid = nullptr; // Rather one that failed it than none.
        }
        const bool plain = ask.mostPerWorker == 0 && unit.avoid.empty() && !hasPolicy;
        FailedAsks& failed = failedAsks[service];
        const bool hopeless = failed.cover(ask);
        if (!hopeless && this->tryPlace(candidate, floor->second, ask, now))
            continue;
        // Stopping others throws work away; the idle workers that a planner which has
        // just taken over has not heard yet answer within a fraction of a second.
        const bool roomIsNear = !floor->second.unasked.empty() && floor->second.couldFitUnasked(ask);
        if (!roomIsNear && evictionSearches < mostEvictionSearches && this->mayEvict(candidate, now)) {
            ++evictionSearches;
            if (this->tryEvict(candidate, floor->second, ask, now)) {
                failedAsks.erase(service); // It moved room from one to another.
                continue;
            }
        }
        blocked = &unit.key;
        if (plain && !hopeless)
            failed.add(ask);
        if (reservations[service]++ < mostReservations)
            floor->second.reserve(ask);
    }
}

bool TaskPlanner::tryPlace(Candidate& candidate, Floor& floor, const Ask& ask, Millis now)
{
    Unit& unit = *candidate.unit;
    if (const auto places = floor.findFreeAtPace(ask)) {
        std::vector<std::string> chosen;
        for (const std::size_t index : *places)
            chosen.push_back(floor.workers[index].id);
        floor.take(ask, *places);
        const Step& step = unit.step();
        unit.placedFar = (!step.dataRack.empty() && ask.rack.empty()) || (step.sameRack && !ask.sameRack);
        this->place(unit, chosen, now);
        return true;
    }
    if (const auto places = floor.findSoon(ask)) {
        floor.promise(ask, *places);
        return true;
    }
    return false;
}

bool TaskPlanner::mayEvict(const Candidate& candidate, Millis now)
{
    if (candidate.turn.useless && !candidate.turn.sure)
        return false;
    if (candidate.unit->job->terms.priority == 0)
        return true;
    const Millis patientUntil = candidate.turn.latestStart - evictionLead;
    if (now >= patientUntil)
        return true;
    this->roundDueBy = this->roundDueBy == 0 ? patientUntil : std::min(this->roundDueBy, patientUntil);
    return false;
}

bool TaskPlanner::tryEvict(Candidate& candidate, Floor& floor, const Ask& ask, Millis now)
{
    const Unit& unit = *candidate.unit;
    const bool sure = candidate.turn.sure;
    const std::int64_t priority = unit.job->terms.priority;
    const auto lost = [&](const UnitKey& key) {
        const auto found = this->units.find(key);
        if (found == this->units.end())
            return -1.0;
        const ActiveJob& active = this->jobs.at(key.job);
        if (active.sure || (!sure && active.job->terms.priority <= priority))
            return -1.0;
        // Else the same unit, begun anew each time, would always be the cheapest.
        const bool saves = found->second.step().savesProgress;
        return this->lostWork(found->second, now) * (saves ? 1.0 : static_cast<double>(1 + found->second.evictions));
    };
    const auto plan = planEviction(floor, ask, lost, sure ? std::numeric_limits<double>::max() : this->worthLosing(unit));
    if (!plan)
        return false;
    for (const UnitKey& victim : plan->victims) {
        Unit& stopped = this->units.at(victim);
        this->note(NoteKind::UnitEvicted, victim, stopped.run, "", fmt::format("for {}, {:.0f} core-seconds lost", unit.key.job, this->lostWork(stopped, now)));
        ++stopped.evictions;
        this->stopUnit(stopped, now);
        for (FloorWorker& worker : floor.workers) {
            for (Holder& holder : worker.holders) {
                if (holder.unit == victim && !holder.ending) {
                    holder.ending = true;
                    worker.soon += holder.room;
                }
            }
        }
    }
    floor.promise(ask, plan->places);
    return true;
}

void TaskPlanner::place(Unit& unit, const std::vector<std::string>& chosen, Millis now)
{
    ++unit.run;
    unit.state = UnitState::Running;
    unit.left = static_cast<std::int64_t>(chosen.size());
    unit.failed = false;
    unit.stopping = false;
    unit.placedAt = now;
    unit.adopted = false;
    unit.startedAt = 0;
    unit.progress = unit.saved;
    unit.progressAtStart = unit.saved;
    unit.movedAt = now;
    unit.heardAt = 0;
    unit.workers.clear();
    this->waitingUnits.erase(unit.key);
    for (std::size_t member = 0; member < chosen.size(); ++member) {
        Worker& worker = this->workers.at(chosen[member]);
        unit.workers.push_back(worker.seen.life);
        Occupant occupant { .run = { unit.task(static_cast<std::int64_t>(member)), unit.run }, .unit = unit.key };
        occupant.room = this->roomOf(occupant.run.task);
        worker.used += occupant.room;
        worker.occupants.emplace(occupant.run, occupant);
        this->startsToRecord.emplace_back(chosen[member], occupant.run);
    }
    ActiveJob& active = this->jobs.at(unit.key.job);
    active.started = true;
    active.state = JobState::Running;
    this->markDirty(unit.key.job);
    this->note(NoteKind::UnitPlaced, unit.key, unit.run, chosen.front(), fmt::format("waited {} ms, {} members, priority {}{}, declared {} ms", now - unit.waitingSince, chosen.size(), unit.job->terms.priority, active.sure ? ", guaranteed" : "", unit.step().estimate));
}

} // namespace rattan::tasks
