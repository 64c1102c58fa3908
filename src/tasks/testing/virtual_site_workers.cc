// Workers: their leases, their runs and the ends of those, and the check of every start.

#include "tasks/testing/virtual_site.h"

#include <cmath>

namespace rattan::tasks::testing {

void VirtualSite::leave(const std::string& id)
{
    this->recordFault();
    this->workers.at(id).leaving = true;
    this->publishWorkers();
}

void VirtualSite::leaveAndStop(const std::string& id)
{
    constexpr Millis timeUntilStop = 2500;
    constexpr Millis timeUntilUnlisted = 1500;
    this->leave(id);
    this->schedule(this->now + timeUntilStop, [this, id] {
        this->recordFault();
        Worker& worker = this->workers.at(id);
        worker.crashed = true;
        this->clearRuns(worker);
        worker.ended.clear();
    });
    this->schedule(this->now + timeUntilStop + timeUntilUnlisted, [this, id] {
        this->recordFault();
        this->workers.at(id).listed = false;
        this->publishWorkers();
    });
}

void VirtualSite::evacuate(const std::set<std::string>& domains)
{
    const auto before = this->evacuatedDomains.all();
    for (const auto& [domain, since] : before) {
        if (!domains.contains(domain))
            this->evacuatedDomains.withdraw(domain, ++this->evacuationOffset);
    }
    for (const std::string& domain : domains)
        this->evacuatedDomains.request(domain, ++this->evacuationOffset, this->now);
    if (this->planner)
        this->planner->setEvacuatedDomains(this->evacuatedDomains, true, this->now);
}

std::int64_t VirtualSite::startsInDomain(const std::string& domain) const
{
    const auto found = this->startCountsByDomain.find(domain);
    return found == this->startCountsByDomain.end() ? 0 : found->second;
}

void VirtualSite::setDomainPartitioned(const std::string& domain, bool isPartitioned)
{
    for (auto& [id, worker] : this->workers)
        worker.isPartitioned = worker.rack == domain ? isPartitioned : worker.isPartitioned;
}

void VirtualSite::restart(const std::string& id)
{
    Worker& worker = this->workers.at(id);
    if (worker.crashed)
        return;
    this->recordFault();
    this->dropRuns(worker, id);
    worker.lastEndNumber = 0;
    worker.lapsedEnds.clear();
    worker.highestTerm = 0;
    worker.born = this->now;
    worker.highestRefusedRuns.clear();
    this->schedule(this->now + 500, [this] { this->publishWorkers(); });
}

void VirtualSite::dropRuns(Worker& worker, const std::string& id)
{
    for (const auto& [ref, run] : worker.running) {
        this->traceRun(ref, id, "lost by a crash");
        ++this->crashes[ref.task];
        std::int64_t& crashesAtStart = this->crashesAtStart[ref.task];
        crashesAtStart = this->now - run.startedAt < maxStartTime ? crashesAtStart + 1 : 0;
        if (crashesAtStart >= minCrashesOfFailedJob)
            this->mayHaveFailedByCrashes.insert(ref.task.job);
    }
    this->clearRuns(worker);
    worker.ended.clear();
}

void VirtualSite::removeForGood(const std::string& id)
{
    constexpr Millis timeUntilUnlisted = 4500;
    Worker& worker = this->workers.at(id);
    if (worker.crashed)
        return;
    this->recordFault();
    worker.crashed = true;
    this->dropRuns(worker, id);
    this->schedule(this->now + timeUntilUnlisted, [this, id] {
        this->workers.at(id).listed = false;
        this->publishWorkers();
    });
}

void VirtualSite::crash(const std::string& id)
{
    constexpr Millis replacementDelay = 3000;
    constexpr Millis timeUntilUnlisted = 4500;
    Worker& worker = this->workers.at(id);
    if (worker.crashed)
        return;
    this->recordFault();
    worker.crashed = true;
    this->dropRuns(worker, id);
    this->schedule(this->now + replacementDelay, [this, id] {
        this->recordFault();
        Worker& crashedWorker = this->workers.at(id);
        crashedWorker.replaced = true;
        const std::string replacementId = fmt::format("w{:02}", this->workers.size());
        this->addWorker(replacementId, crashedWorker.rack, crashedWorker.service);
        this->workers.at(replacementId).born = this->now;
        this->publishWorkers();
    });
    this->schedule(this->now + timeUntilUnlisted, [this, id] {
        this->recordFault();
        this->workers.at(id).listed = false;
        this->publishWorkers();
    });
}

void VirtualSite::setStalled(const std::string& id, bool isStalled)
{
    Worker& worker = this->workers.at(id);
    worker.isStalled = isStalled;
    worker.wasStalled = worker.wasStalled || isStalled;
}

std::int64_t VirtualSite::crashCountOf(const std::string& job) const
{
    const auto found = this->crashes.find({ job, 0, 0, 0 });
    return found == this->crashes.end() ? 0 : found->second;
}

void VirtualSite::resize(const std::string& id, Resources capacity)
{
    this->recordFault();
    Worker& worker = this->workers.at(id);
    worker.formerCapacities.emplace_back(this->now, worker.capacity);
    worker.capacity = capacity;
    this->schedule(this->now + 500, [this] { this->publishWorkers(); });
}

void VirtualSite::addWorker(const std::string& id)
{
    constexpr int workersPerRack = 4;
    const std::size_t number = this->workers.size();
    this->addWorker(id, fmt::format("r{}", this->options.racks > 0 ? number % static_cast<std::size_t>(this->options.racks) : number / workersPerRack), static_cast<int>(number) < this->options.workers - this->options.workersOfSecondService ? "s" : "t");
}

void VirtualSite::addWorker(const std::string& id, const std::string& rack, const std::string& service)
{
    Worker worker;
    worker.service = service;
    worker.capacity = this->options.workerCapacity;
    worker.rack = rack;
    if (!this->options.speeds.empty())
        worker.speed = this->options.speeds[this->workers.size() % this->options.speeds.size()];
    this->workers.emplace(id, worker);
}

std::vector<WorkerDescription> VirtualSite::workerDescriptions() const
{
    std::vector<WorkerDescription> result;
    for (const auto& [id, worker] : this->workers) {
        if (!worker.listed)
            continue;
        WorkerDescription description;
        description.incarnation = { id, worker.born };
        description.address = id;
        description.service = worker.service;
        description.rack = worker.rack;
        description.domain = worker.rack; // Each rack is a separate failure domain.
        description.labels = { "k", worker.rack };
        description.capacity = worker.capacity;
        description.leaving = worker.leaving;
        description.remaining = worker.leaving ? 2000 : 0;
        result.push_back(description);
    }
    return result;
}

StartAnswer VirtualSite::executeStart(const StartOrder& order, std::int64_t term, Millis until)
{
    this->traceRun(order.run, order.worker.id, "start received");
    Worker& worker = this->workers.at(order.worker.id);
    if (term < worker.highestTerm)
        return StartAnswer::Deposed;
    worker.highestTerm = term;
    if (until <= this->now)
        return StartAnswer::LeaseExpired;
    worker.leaseEnd = std::max(worker.leaseEnd, until);
    if (worker.running.contains(order.run))
        return StartAnswer::Started;
    if (worker.highestRefusedRuns[order.run.task] >= order.run.run)
        return StartAnswer::Superseded;
    const TaskRef& task = order.run.task;
    if (this->jobs.at(task.job).terms.advice.ticketValidity > 0 && (this->rejectedTickets > 0 || !this->isTicketValid(order))) {
        this->rejectedTickets = std::max(this->rejectedTickets - 1, 0);
        ++this->startsWithoutTicket;
        return StartAnswer::InvalidTicket;
    }
    this->checkStart(order, worker);
    ++this->startCountsByDomain[worker.rack];
    const Step& step = this->stepOf(order.run.task);
    Run run;
    run.startedAt = this->now;
    run.totalWork = this->workOf(order.run.task);
    if (const auto factor = this->workFactors.find(this->jobs.at(task.job).workspace); factor != this->workFactors.end())
        run.totalWork = static_cast<Millis>(static_cast<double>(run.totalWork) * factor->second);
    run.remaining = run.totalWork;
    if (!order.checkpoint.empty())
        run.remaining -= std::min(run.totalWork, std::stod(order.checkpoint));
    run.checkpoint = order.checkpoint;
    run.gangSize = step.gang ? step.count : 1;
    run.waitingSince = this->now;
    run.resources = step.perTask;
    run.isLongRunning = step.longRunning;
    const auto failureShare = this->failureShares.find(task.job);
    run.willFail = worker.failsAll || this->randomShare() < (failureShare == this->failureShares.end() ? this->options.failures : failureShare->second);
    this->joinGangRun(order.run, run);
    worker.running.emplace(order.run, run);
    const auto crashDelay = this->crashDelays.find(task.job);
    if (crashDelay != this->crashDelays.end() && task.step == 0 && task.index == 0) {
        this->schedule(this->now + crashDelay->second, [this, id = order.worker.id, ref = order.run] {
            if (this->workers.at(id).running.contains(ref))
                this->crash(id);
        });
    }
    return StartAnswer::Started;
}

double VirtualSite::workOf(const TaskRef& task) const
{
    double work = static_cast<double>(std::max<Millis>(this->stepOf(task).estimate, 1));
    if (this->options.uneven && task.index > 0)
        work = std::floor(work / 4);
    if (this->options.workSpread > 0 || this->options.longTasks > 0) {
        std::mt19937_64 taskRandom(std::hash<std::string> {}(fmt::format("{}/{}.{}.{}.{}", this->options.seed, task.job, task.occurrence, task.step, task.index)));
        work *= std::lognormal_distribution<double>(0, this->options.workSpread)(taskRandom);
        constexpr double longFactor = 7;
        if (std::uniform_real_distribution<double>(0, 1)(taskRandom) < this->options.longTasks)
            work *= longFactor;
    }
    return std::max(work, 1.0);
}

void VirtualSite::checkStart(const StartOrder& order, const Worker& worker)
{
    const TaskRef& task = order.run.task;
    ++this->startCounts[task.job];
    this->startsWhileLeaving += worker.leaving ? 1 : 0;
    const Job& job = this->jobs.at(task.job);
    const Step& step = this->stepOf(task);
    this->checkCapacity(order, worker);
    if (!this->servicesOfQueue.at(job.terms.queue).contains(worker.service))
        this->reportViolation("on a service to which its queue was never sent", order);
    for (const auto& [id, other] : this->workers) {
        for (const auto& [ref, run] : other.running) {
            if (ref.task == task)
                this->reportViolation(fmt::format("already running (run {} on {})", ref.run, id), order);
        }
    }
    if (this->acknowledgedDone.contains(task))
        this->reportViolation("started after its acknowledged end", order);
    for (const std::int64_t earlier : step.dependsOn) {
        const Step& dependency = job.steps[static_cast<std::size_t>(earlier)];
        for (std::int64_t index = 0; index < dependency.count; ++index) {
            if (!this->done.contains({ task.job, task.occurrence, earlier, index }))
                this->reportViolation("started before a step that it depends on has ended", order);
        }
    }
    if (static_cast<std::int64_t>(this->acknowledgedFailures[task].size()) >= job.terms.maxAttempts)
        this->reportViolation("started after its last attempt", order);
    constexpr std::int64_t crashLimit = 3;
    const bool crashesWorkers = this->crashDelays.contains(task.job) && task.step == 0 && task.index == 0;
    if (crashesWorkers && this->crashCountOf(task.job) >= crashLimit && ++this->startsAfterCrashes[task] >= crashLimit)
        this->reportViolation("started three more times after three crashes", order);
}

// A reduced capacity applies only once the list must have shown it.
void VirtualSite::checkCapacity(const StartOrder& order, const Worker& worker)
{
    constexpr Millis maxListDelay = 4500;
    Resources used = this->stepOf(order.run.task).perTask;
    for (const auto& [ref, run] : worker.running)
        used += run.resources;
    bool isAllowed = used.fitsIn(worker.capacity);
    for (const auto& [replacedAt, capacity] : worker.formerCapacities)
        isAllowed = isAllowed || (this->now < replacedAt + maxListDelay && used.fitsIn(capacity));
    if (!isAllowed)
        this->reportViolation("exceeds the capacity of the worker", order);
}

// Only runs that end as failed count as attempts. A run that was lost with its worker doesn't,
// unless its task may be one that crashes each worker that starts it.
void VirtualSite::checkFailedJob(const std::string& id)
{
    if (this->mayHaveFailedByCrashes.contains(id))
        return;
    for (const auto& [unit, runs] : this->failedRuns) {
        if (unit.job == id && static_cast<std::int64_t>(runs.size()) >= this->jobs.at(id).terms.maxAttempts)
            return;
    }
    this->violations.push_back(fmt::format("{} ms: failed without cause: {}", this->now, id));
}

void VirtualSite::reportViolation(const std::string& what, const StartOrder& order)
{
    this->violations.push_back(fmt::format("{} ms: {}: {}.{}.{} run {} on {}", this->now, what, order.run.task.job, order.run.task.step, order.run.task.index, order.run.run, order.worker.id));
}

std::optional<WorkerReport> VirtualSite::executePoll(const PollOrder& order, std::int64_t term, Millis until)
{
    Worker& worker = this->workers.at(order.worker.id);
    if (term < worker.highestTerm)
        return std::nullopt;
    worker.highestTerm = term;
    worker.leaseEnd = std::max(worker.leaseEnd, until);
    this->acknowledge(worker, order.acknowledged); // The worker cannot know which incarnation the number belongs to.
    WorkerReport report;
    report.clock = this->now - worker.born;
    report.born = worker.born;
    for (const auto& [ref, run] : worker.running)
        report.running.push_back({ ref, run.checkpoint, run.isLongRunning ? 100 : 100 - static_cast<std::int64_t>(run.remaining * 100 / run.totalWork) });
    const std::size_t listedEnds = std::min(worker.ended.size(), this->options.maxEndsPerReport);
    report.ended.assign(worker.ended.begin(), worker.ended.begin() + static_cast<std::ptrdiff_t>(listedEnds));
    report.hasMoreEnds = listedEnds == this->options.maxEndsPerReport;
    return report;
}

void VirtualSite::acknowledge(Worker& worker, std::int64_t lastAcknowledged)
{
    for (const EndedTask& end : worker.ended) {
        if (end.number > lastAcknowledged)
            continue;
        if (worker.lapsedEnds.contains(end.number))
            continue;
        if (end.end == RunEnd::Done)
            this->acknowledgedDone.insert(end.run.task);
        if (end.end == RunEnd::Failed)
            this->acknowledgedFailures[end.run.task].insert(end.run.run);
    }
    std::erase_if(worker.ended, [&](const EndedTask& end) { return end.number <= lastAcknowledged; });
}

std::size_t VirtualSite::gangRunOf(const RunRef& run)
{
    RunRef first = run;
    first.task.index = 0;
    const auto [number, isNew] = this->gangRunNumbers.try_emplace(first, this->gangRuns.size());
    if (isNew)
        this->gangRuns.emplace_back();
    return number->second;
}

void VirtualSite::joinGangRun(const RunRef& ref, Run& run)
{
    if (run.gangSize <= 1)
        return;
    run.gangRun = this->gangRunOf(ref);
    GangRun& gangRun = this->gangRuns[run.gangRun];
    ++gangRun.running;
    gangRun.finished += run.remaining <= 0 ? 1 : 0;
}

void VirtualSite::removeRun(Worker& worker, const RunRef& ref)
{
    const Run& run = worker.running.at(ref);
    if (run.isLongRunning)
        this->lastRunEndedAt[ref.task] = this->now;
    if (run.gangSize > 1) {
        GangRun& gangRun = this->gangRuns[run.gangRun];
        --gangRun.running;
        gangRun.finished -= run.remaining <= 0 ? 1 : 0;
    }
    worker.running.erase(ref);
}

void VirtualSite::clearRuns(Worker& worker)
{
    while (!worker.running.empty())
        this->removeRun(worker, RunRef(worker.running.begin()->first));
}

void VirtualSite::advanceWorker(const std::string& id, Worker& worker)
{
    std::vector<std::pair<RunRef, RunEnd>> endedRuns;
    if (worker.leaseEnd <= this->now) {
        for (const EndedTask& end : worker.ended)
            worker.lapsedEnds.insert(end.number);
    }
    for (auto& [ref, run] : worker.running) {
        if (worker.leaseEnd <= this->now) {
            endedRuns.emplace_back(ref, RunEnd::LeaseExpired);
            continue;
        }
        if (run.stopsAt > 0 && this->now >= run.stopsAt) {
            run.checkpoint = std::to_string(static_cast<std::int64_t>(run.totalWork - run.remaining));
            endedRuns.emplace_back(ref, RunEnd::Stopped);
            continue;
        }
        if (run.gangSize > 1 && this->gangRuns[run.gangRun].running < run.gangSize) {
            if (this->endedGangs.contains({ ref.task.job, ref.task.occurrence, ref.task.step, ref.run }))
                endedRuns.emplace_back(ref, this->endedGangs.at({ ref.task.job, ref.task.occurrence, ref.task.step, ref.run }) ? RunEnd::Done : RunEnd::GangMemberEnded);
            else if (this->now - run.waitingSince >= this->options.gangTimeout)
                endedRuns.emplace_back(ref, RunEnd::GangIncomplete);
            continue;
        }
        if (worker.isStalled)
            continue;
        const bool wasFinished = run.remaining <= 0;
        run.remaining = std::max(run.remaining - static_cast<double>(stepMillis) * worker.speed, 0.0);
        if (run.gangSize > 1 && run.remaining <= 0) {
            GangRun& gangRun = this->gangRuns[run.gangRun];
            gangRun.finished += wasFinished ? 0 : 1;
            if (gangRun.finished < gangRun.running)
                continue; // All members of a gang end at the same time.
        }
        if (run.willFail && run.remaining < run.totalWork / 2)
            endedRuns.emplace_back(ref, RunEnd::Failed);
        else if (run.remaining <= 0 && !run.isLongRunning)
            endedRuns.emplace_back(ref, RunEnd::Done);
    }
    for (const auto& [ref, end] : endedRuns)
        this->finishRun(id, worker, ref, end);
}

void VirtualSite::recordFailure(Worker& worker, const std::string& id, const RunRef& ref, RunEnd end)
{
    if (end == RunEnd::Done)
        worker.consecutiveFailures = 0;
    if (end != RunEnd::Failed)
        return;
    ++worker.consecutiveFailures;
    const UnitKey unit { ref.task.job, ref.task.occurrence, ref.task.step, this->stepOf(ref.task).gang ? wholeGang : ref.task.index };
    this->failedRuns[unit].insert(ref.run);
    this->failedOn[unit].insert(id);
}

void VirtualSite::finishRun(const std::string& id, Worker& worker, const RunRef& ref, RunEnd end)
{
    const Run run = worker.running.at(ref);
    if (this->now - run.startedAt >= maxStartTime)
        this->crashesAtStart.erase(ref.task);
    this->traceRun(ref, "", nameOf(end).data());
    this->removeRun(worker, ref);
    std::int64_t& highestRefusedRun = worker.highestRefusedRuns[ref.task];
    highestRefusedRun = std::max(highestRefusedRun, ref.run);
    const bool savesProgress = this->stepOf(ref.task).savesProgress;
    worker.ended.push_back({ ++worker.lastEndNumber, ref, end, savesProgress && end != RunEnd::Done ? run.checkpoint : "" });
    ++this->endCounts[end];
    this->recordFailure(worker, id, ref, end);
    if (run.gangSize > 1)
        this->endedGangs.emplace(std::tuple { ref.task.job, ref.task.occurrence, ref.task.step, ref.run }, end == RunEnd::Done);
    if (end == RunEnd::Done) {
        const Step& step = this->stepOf(ref.task);
        this->done.insert(ref.task);
        for (std::int64_t index = 0; step.gang && index < step.count; ++index)
            this->done.insert({ ref.task.job, ref.task.occurrence, ref.task.step, index });
    }
}

} // namespace rattan::tasks::testing
