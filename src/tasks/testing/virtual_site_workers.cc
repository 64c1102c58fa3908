// Workers as they are: leases, runs and their ends, and the judge of every start.

#include "tasks/testing/virtual_site.h"

namespace rattan::tasks::testing {

void VirtualSite::leave(const std::string& id)
{
    this->disturb();
    this->workers.at(id).leaving = true;
    this->relist();
}

void VirtualSite::depart(const std::string& id)
{
    constexpr Millis stays = 2500;
    constexpr Millis listedFor = 1500;
    this->leave(id);
    this->at(this->now + stays, [this, id] {
        this->disturb();
        Worker& worker = this->workers.at(id);
        worker.crashed = true;
        worker.running.clear();
        worker.ended.clear();
    });
    this->at(this->now + stays + listedFor, [this, id] {
        this->disturb();
        this->workers.at(id).listed = false;
        this->relist();
    });
}

void VirtualSite::cutDomain(const std::string& domain, bool isCut)
{
    for (auto& [id, worker] : this->workers)
        worker.cut = worker.rack == domain ? isCut : worker.cut;
}

void VirtualSite::restart(const std::string& id)
{
    Worker& worker = this->workers.at(id);
    if (worker.crashed)
        return;
    this->disturb();
    this->loseRuns(worker, id);
    worker.endNumber = 0;
    worker.lapsedEnds.clear();
    worker.token = 0;
    worker.born = this->now;
    worker.ceilings.clear();
    this->at(this->now + 500, [this] { this->relist(); });
}

void VirtualSite::loseRuns(Worker& worker, const std::string& id)
{
    for (const auto& [ref, run] : worker.running) {
        this->tell(ref, id, "lost by a crash");
        ++this->crashes[ref.task];
    }
    worker.running.clear();
    worker.ended.clear();
}

void VirtualSite::crash(const std::string& id)
{
    constexpr Millis absence = 3000;
    constexpr Millis listedFor = 4500;
    Worker& worker = this->workers.at(id);
    if (worker.crashed)
        return;
    this->disturb();
    worker.crashed = true;
    this->loseRuns(worker, id);
    this->at(this->now + absence, [this, id] {
        this->disturb();
        Worker& before = this->workers.at(id);
        before.replaced = true;
        const std::string next = fmt::format("w{:02}", this->workers.size());
        this->addWorker(next, before.rack);
        this->workers.at(next).born = this->now;
        this->relist();
    });
    this->at(this->now + listedFor, [this, id] {
        this->disturb();
        this->workers.at(id).listed = false;
        this->relist();
    });
}

void VirtualSite::stall(const std::string& id, bool stalls)
{
    Worker& worker = this->workers.at(id);
    worker.stalls = stalls;
    worker.hasStalled = worker.hasStalled || stalls;
}

std::int64_t VirtualSite::crashesUnder(const std::string& job) const
{
    const auto found = this->crashes.find({ job, 0, 0, 0 });
    return found == this->crashes.end() ? 0 : found->second;
}

void VirtualSite::resize(const std::string& id, Resources capacity)
{
    this->disturb();
    Worker& worker = this->workers.at(id);
    worker.formerCapacities.emplace_back(this->now, worker.capacity);
    worker.capacity = capacity;
    this->at(this->now + 500, [this] { this->relist(); });
}

void VirtualSite::addWorker(const std::string& id)
{
    constexpr int perRack = 4;
    const std::size_t number = this->workers.size();
    this->addWorker(id, fmt::format("r{}", this->options.racks > 0 ? number % static_cast<std::size_t>(this->options.racks) : number / perRack));
}

void VirtualSite::addWorker(const std::string& id, const std::string& rack)
{
    Worker worker;
    worker.rack = rack;
    this->workers.emplace(id, worker);
}

std::vector<WorkerDescription> VirtualSite::sightings() const
{
    std::vector<WorkerDescription> seen;
    for (const auto& [id, worker] : this->workers) {
        if (!worker.listed)
            continue;
        WorkerDescription sighting;
        sighting.incarnation = { id, worker.born };
        sighting.address = id;
        sighting.service = std::string("s"); // GCC 12 warns wrongly where a literal of one letter is assigned.
        sighting.rack = worker.rack;
        sighting.domain = worker.rack; // Each rack is a failure domain of its own.
        sighting.labels = { "k", worker.rack };
        sighting.capacity = worker.capacity;
        sighting.leaving = worker.leaving;
        sighting.remaining = worker.leaving ? 2000 : 0;
        seen.push_back(sighting);
    }
    return seen;
}

std::string VirtualSite::ticketOf(const StepKey& step, const std::string& worker) const
{
    return fmt::format("{}.{}.{} on {} born {}", step.job, step.occurrence, step.step, worker, this->workers.at(worker).born);
}

StartAnswer VirtualSite::carryStart(const StartOrder& order, std::int64_t term, Millis until)
{
    this->tell(order.run, order.worker.id, "start arrives");
    Worker& worker = this->workers.at(order.worker.id);
    if (term < worker.token)
        return StartAnswer::Deposed;
    worker.token = term;
    if (until <= this->now)
        return StartAnswer::LeaseExpired;
    worker.leaseUntil = std::max(worker.leaseUntil, until);
    if (worker.running.contains(order.run))
        return StartAnswer::Started;
    if (worker.ceilings[order.run.task] >= order.run.run)
        return StartAnswer::Superseded;
    const TaskRef& task = order.run.task;
    if (this->jobs.at(task.job).terms.advice.ticketValidity > 0 && order.ticket != this->ticketOf({ task.job, task.occurrence, task.step }, order.worker.id)) {
        ++this->refusedTickets;
        return StartAnswer::InvalidTicket;
    }
    this->judgeStart(order, worker);
    const Step& step = this->stepOf(order.run.task);
    Run run;
    run.startedAt = this->now;
    run.total = std::max<Millis>(step.estimate, 1);
    if (this->options.uneven && order.run.task.index > 0)
        run.total /= 4;
    run.left = run.total;
    if (!order.checkpoint.empty())
        run.left -= std::min<Millis>(run.total, std::stoll(order.checkpoint));
    run.checkpoint = order.checkpoint;
    run.members = step.gang ? step.count : 1;
    run.waitingSince = this->now;
    run.room = step.perTask;
    run.fails = worker.failsAll || this->chance() < this->options.failures;
    worker.running.emplace(order.run, run);
    const auto crashes = this->crashing.find(task.job);
    if (crashes != this->crashing.end() && task.step == 0 && task.index == 0) {
        this->at(this->now + crashes->second, [this, id = order.worker.id, ref = order.run] {
            if (this->workers.at(id).running.contains(ref))
                this->crash(id);
        });
    }
    return StartAnswer::Started;
}

void VirtualSite::judgeStart(const StartOrder& order, const Worker& worker)
{
    const TaskRef& task = order.run.task;
    ++this->starts[task.job];
    const Job& job = this->jobs.at(task.job);
    const Step& step = this->stepOf(task);
    this->judgeRoom(order, worker);
    for (const auto& [id, other] : this->workers) {
        for (const auto& [ref, run] : other.running) {
            if (ref.task == task)
                this->breach(fmt::format("twice at a time (run {} on {})", ref.run, id), order);
        }
    }
    if (this->doneAndNoted.contains(task))
        this->breach("again after its end", order);
    for (const std::int64_t earlier : step.dependsOn) {
        const Step& before = job.steps[static_cast<std::size_t>(earlier)];
        for (std::int64_t index = 0; index < before.count; ++index) {
            if (!this->done.contains({ task.job, task.occurrence, earlier, index }))
                this->breach("before what it depends on", order);
        }
    }
    if (static_cast<std::int64_t>(this->failedNoted[task].size()) >= job.terms.maxAttempts)
        this->breach("after its last attempt", order);
    constexpr std::int64_t toBeGivenUp = 3;
    if (const auto crashed = this->crashes.find(task); crashed != this->crashes.end() && crashed->second >= toBeGivenUp && ++this->startsAfterCrashes[task] >= toBeGivenUp)
        this->breach("three times more after three crashes", order);
}

// A start is held against a smaller capacity only once the list must have shown it.
void VirtualSite::judgeRoom(const StartOrder& order, const Worker& worker)
{
    constexpr Millis knownAfter = 4500;
    Resources used = this->stepOf(order.run.task).perTask;
    for (const auto& [ref, run] : worker.running)
        used += run.room;
    bool isAllowed = used.fitsIn(worker.capacity);
    for (const auto& [replacedAt, capacity] : worker.formerCapacities)
        isAllowed = isAllowed || (this->now < replacedAt + knownAfter && used.fitsIn(capacity));
    if (!isAllowed)
        this->breach("over room", order);
}

void VirtualSite::judgeFailed(const std::string& id)
{
    constexpr std::int64_t enoughCrashes = 2;
    for (const auto& [task, crashed] : this->crashes) {
        if (task.job == id && crashed >= enoughCrashes)
            return;
    }
    for (const auto& [unit, runs] : this->failedRuns) {
        if (unit.job == id && static_cast<std::int64_t>(runs.size()) >= this->jobs.at(id).terms.maxAttempts)
            return;
    }
    this->broken.push_back(fmt::format("{} ms: failed without cause: {}", this->now, id));
}

void VirtualSite::breach(const std::string& what, const StartOrder& order)
{
    this->broken.push_back(fmt::format("{} ms: {}: {}.{}.{} run {} on {}", this->now, what, order.run.task.job, order.run.task.step, order.run.task.index, order.run.run, order.worker.id));
}

std::optional<WorkerReport> VirtualSite::carryPoll(const PollOrder& order, std::int64_t term, Millis until)
{
    Worker& worker = this->workers.at(order.worker.id);
    if (term < worker.token)
        return std::nullopt;
    worker.token = term;
    worker.leaseUntil = std::max(worker.leaseUntil, until);
    this->acknowledge(worker, order.acknowledged); // It cannot tell which incarnation the number is of.
    WorkerReport report;
    report.clock = this->now - worker.born;
    report.born = worker.born;
    for (const auto& [ref, run] : worker.running)
        report.running.push_back({ ref, run.checkpoint, 100 - run.left * 100 / run.total });
    report.ended = worker.ended;
    return report;
}

void VirtualSite::acknowledge(Worker& worker, std::int64_t through)
{
    for (const EndedTask& end : worker.ended) {
        if (end.number > through)
            continue;
        if (worker.lapsedEnds.contains(end.number))
            continue;
        if (end.end == RunEnd::Done)
            this->doneAndNoted.insert(end.run.task);
        if (end.end == RunEnd::Failed)
            this->failedNoted[end.run.task].insert(end.run.run);
    }
    std::erase_if(worker.ended, [&](const EndedTask& end) { return end.number <= through; });
}

std::int64_t VirtualSite::present(const RunRef& run) const
{
    std::int64_t count = 0;
    for (const auto& [id, worker] : this->workers) {
        for (const auto& [ref, other] : worker.running)
            count += ref.task.job == run.task.job && ref.task.occurrence == run.task.occurrence && ref.task.step == run.task.step && ref.run == run.run ? 1 : 0;
    }
    return count;
}

bool VirtualSite::allThrough(const RunRef& run) const
{
    for (const auto& [id, worker] : this->workers) {
        for (const auto& [ref, other] : worker.running) {
            if (ref.task.job == run.task.job && ref.task.occurrence == run.task.occurrence && ref.task.step == run.task.step && ref.run == run.run && other.left > 0)
                return false;
        }
    }
    return true;
}

void VirtualSite::work(const std::string& id, Worker& worker)
{
    std::vector<std::pair<RunRef, RunEnd>> over;
    if (worker.leaseUntil <= this->now) {
        for (const EndedTask& end : worker.ended)
            worker.lapsedEnds.insert(end.number);
    }
    for (auto& [ref, run] : worker.running) {
        if (worker.leaseUntil <= this->now) {
            over.emplace_back(ref, RunEnd::LeaseExpired);
            continue;
        }
        if (run.stopAt > 0 && this->now >= run.stopAt) {
            run.checkpoint = std::to_string(run.total - run.left);
            over.emplace_back(ref, RunEnd::Stopped);
            continue;
        }
        if (run.members > 1 && this->present(ref) < run.members) {
            if (this->gone.contains({ ref.task.job, ref.task.occurrence, ref.task.step, ref.run }))
                over.emplace_back(ref, this->gone.at({ ref.task.job, ref.task.occurrence, ref.task.step, ref.run }) ? RunEnd::Done : RunEnd::GangMemberEnded);
            else if (this->now - run.waitingSince >= this->options.gangTimeout)
                over.emplace_back(ref, RunEnd::GangIncomplete);
            continue;
        }
        if (worker.stalls)
            continue;
        run.left = std::max<Millis>(run.left - stepMillis, 0);
        if (run.members > 1 && run.left == 0 && !this->allThrough(ref))
            continue; // Members of a gang end together.
        if (run.fails && run.left < run.total / 2)
            over.emplace_back(ref, RunEnd::Failed);
        else if (run.left <= 0)
            over.emplace_back(ref, RunEnd::Done);
    }
    for (const auto& [ref, end] : over)
        this->finish(id, worker, ref, end);
}

void VirtualSite::noteFailures(Worker& worker, const std::string& id, const RunRef& ref, RunEnd end)
{
    if (end == RunEnd::Done)
        worker.failuresInARow = 0;
    if (end != RunEnd::Failed)
        return;
    ++worker.failuresInARow;
    const UnitKey unit { ref.task.job, ref.task.occurrence, ref.task.step, this->stepOf(ref.task).gang ? wholeGang : ref.task.index };
    this->failedRuns[unit].insert(ref.run);
    this->failedOn[unit].insert(id);
}

void VirtualSite::finish(const std::string& id, Worker& worker, const RunRef& ref, RunEnd end)
{
    const Run run = worker.running.at(ref);
    this->tell(ref, "", nameOf(end).data());
    worker.running.erase(ref);
    std::int64_t& ceiling = worker.ceilings[ref.task];
    ceiling = std::max(ceiling, ref.run);
    const bool saves = this->stepOf(ref.task).savesProgress;
    worker.ended.push_back({ ++worker.endNumber, ref, end, saves && end != RunEnd::Done ? run.checkpoint : "" });
    ++this->ends[end];
    this->noteFailures(worker, id, ref, end);
    if (run.members > 1)
        this->gone.emplace(std::tuple { ref.task.job, ref.task.occurrence, ref.task.step, ref.run }, end == RunEnd::Done);
    if (end == RunEnd::Done) {
        const Step& step = this->stepOf(ref.task);
        this->done.insert(ref.task);
        for (std::int64_t index = 0; step.gang && index < step.count; ++index)
            this->done.insert({ ref.task.job, ref.task.occurrence, ref.task.step, index });
    }
}

} // namespace rattan::tasks::testing
