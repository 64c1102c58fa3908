#include "tasks/testing/virtual_site.h"

namespace rattan::tasks::testing {

void VirtualSite::newPlanner()
{
    this->planner.reset();
    ++this->term;
    ++this->generation;
    PlannerOptions planning;
    planning.longestLease = this->options.lease;
    planning.stopTimeout = this->options.stopTime;
    planning.advised = true;
    this->planner = std::make_unique<TaskPlanner>(planning, this->table, this->now, this->now);
    this->planner->applyCatalog(this->catalog);
    this->planner->workersSeen(this->sightings(), this->now);
}

void VirtualSite::killPlanner()
{
    this->planner.reset();
    ++this->generation;
}

void VirtualSite::submit(Job job)
{
    job.acceptedAt = this->now;
    this->jobs[job.id] = job;
    this->write(keyText({ RecordKind::Job, job.id }), encodeJob(job));
    if (this->planner)
        this->planner->jobAccepted(this->table.find(job.id)->job, this->now, this->now);
}

void VirtualSite::cancel(const std::string& id)
{
    this->write(keyText({ RecordKind::Cancel, id }), encodeCancel());
    if (this->planner)
        this->planner->jobCancelled(id, this->now);
}

void VirtualSite::leave(const std::string& id)
{
    this->workers.at(id).leaving = true;
    this->relist();
}

void VirtualSite::restart(const std::string& id)
{
    Worker& worker = this->workers.at(id);
    for (const auto& [ref, run] : worker.running)
        this->tell(ref, id, "lost by a restart");
    worker.running.clear();
    worker.ended.clear();
    worker.endNumber = 0;
    worker.lapsedEnds.clear();
    worker.token = 0;
    worker.born = this->now;
    worker.ceilings.clear();
    this->at(this->now + 500, [this] { this->relist(); });
}

void VirtualSite::run(Millis until)
{
    while (this->now < until) {
        this->advance();
        this->now += stepMillis;
    }
}

bool VirtualSite::runUntilOver(Millis until)
{
    while (this->now < until) {
        if (this->allOver())
            return true;
        this->advance();
        this->now += stepMillis;
    }
    return this->allOver();
}

bool VirtualSite::allOver() const
{
    for (const auto& [id, job] : this->jobs) {
        if (!isFinal(this->stateOf(id)))
            return false;
    }
    return true;
}

JobState VirtualSite::stateOf(const std::string& id) const
{
    const JobEntry* entry = this->table.find(id);
    return entry ? entry->shown() : JobState::Queued;
}

std::int64_t VirtualSite::runsOf(const std::string& id) const
{
    const auto found = this->starts.find(id);
    return found == this->starts.end() ? 0 : found->second;
}

std::string VirtualSite::hostOf(const std::string& job, std::int64_t index) const
{
    for (const auto& [id, worker] : this->workers) {
        for (const auto& [ref, run] : worker.running) {
            if (ref.task == TaskRef { job, 0, 0, index })
                return id;
        }
    }
    return "";
}

std::int64_t VirtualSite::countEnds(RunEnd end) const
{
    const auto found = this->ends.find(end);
    return found == this->ends.end() ? 0 : found->second;
}

void VirtualSite::addWorker(const std::string& id)
{
    Worker worker;
    constexpr int perRack = 4;
    worker.rack = fmt::format("r{}", this->workers.size() / perRack);
    this->workers.emplace(id, worker);
}

std::vector<WorkerSighting> VirtualSite::sightings() const
{
    std::vector<WorkerSighting> seen;
    for (const auto& [id, worker] : this->workers) {
        WorkerSighting sighting;
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

void VirtualSite::relist()
{
    if (this->planner)
        this->planner->workersSeen(this->sightings(), this->now);
}

std::string VirtualSite::ticketOf(const StepKey& step, const std::string& worker) const
{
    return fmt::format("{}.{}.{} on {} born {}", step.job, step.occurrence, step.step, worker, this->workers.at(worker).born);
}

void VirtualSite::advise(const AdviceOrder& order)
{
    this->adviceAsked += static_cast<std::int64_t>(order.workers.size());
    const Millis takes = order.terms.each + order.terms.perWorker * static_cast<Millis>(order.workers.size());
    const bool isLost = this->chance() < this->options.lostAdvice;
    this->at(this->now + takes, [this, order, isLost, mine = this->generation] {
        if (mine != this->generation || !this->planner)
            return;
        if (isLost)
            return this->planner->adviceFailed(order.step, this->now);
        std::vector<AllowedWorker> allowed;
        for (const std::string& worker : order.workers) {
            if ((worker.back() - '0') % 2 == 0)
                allowed.push_back({ worker, this->ticketOf(order.step, worker) });
        }
        this->planner->adviceAnswered(order.step, allowed, this->now);
    });
}

void VirtualSite::advance()
{
    while (!this->events.empty() && this->events.begin()->first <= this->now) {
        const std::function<void()> event = std::move(this->events.begin()->second);
        this->events.erase(this->events.begin());
        event();
    }
    for (auto& [id, worker] : this->workers)
        this->work(id, worker);
    if (!this->planner)
        return;
    this->planner->step(this->now, this->now);
    Orders orders = this->planner->take(this->now);
    this->planEvents.insert(this->planEvents.end(), orders.events.begin(), orders.events.end());
    for (const RecordBatch& batch : orders.batches)
        this->record(batch);
    for (const StopOrder& order : orders.stops)
        this->stop(order);
    for (const StartOrder& order : orders.starts)
        this->start(order);
    for (const PollOrder& order : orders.polls)
        this->poll(order);
    for (const AdviceOrder& order : orders.advice)
        this->advise(order);
    for (const std::string& problem : this->planner->violations())
        this->broken.push_back("planner: " + problem);
    if (this->planner->deposed())
        this->killPlanner();
}

void VirtualSite::record(const RecordBatch& batch)
{
    const int mine = this->generation;
    this->at(this->now + this->between(5, 20), [this, batch, mine] {
        if (mine != this->generation)
            return; // Its epoch was fenced before it arrived.
        for (const auto& [key, value] : batch.records)
            this->write(key, value);
        this->planner->recorded(batch.number, this->now);
    });
}

template <typename Carry, typename Answer>
void VirtualSite::send(const std::string& id, Carry carry, Answer answer)
{
    constexpr Millis timeout = 230;
    const int mine = this->generation;
    const auto told = [this, mine, answer](auto reply, Millis when) {
        this->at(when, [this, mine, answer, reply] {
            if (mine == this->generation && this->planner)
                answer(reply);
        });
    };
    using Reply = decltype(carry());
    const double luck = this->chance();
    Worker& worker = this->workers.at(id);
    const double lost = this->options.lostOrders;
    const double deaf = lost + this->options.lostAnswers;
    const double late = deaf + this->options.lateOrders;
    if (worker.cut || luck < lost) {
        told(Reply(), this->now + timeout);
    } else if (luck < deaf) {
        this->at(this->now + this->between(1, 8), [carry] { carry(); });
        told(Reply(), this->now + timeout);
    } else if (luck < late) {
        // It waits at the worker, and is gone if that crashes meanwhile.
        this->at(this->now + this->between(2000, 12000), [this, id, carry, born = worker.born] {
            if (this->workers.at(id).born == born)
                carry();
        });
        told(Reply(), this->now + timeout);
    } else {
        this->at(this->now + this->between(1, 8), [this, id, carry, told] {
            if (!this->workers.at(id).cut)
                told(carry(), this->now + this->between(1, 8));
            else
                told(Reply(), this->now + timeout);
        });
    }
}

void VirtualSite::start(const StartOrder& order)
{
    if (this->startsWait == 0)
        return this->sendStart(order);
    this->at(this->now + this->startsWait, [this, order, mine = this->generation] {
        if (mine == this->generation && this->planner)
            this->sendStart(order);
    });
}

void VirtualSite::sendStart(const StartOrder& order)
{
    this->tell(order.run, order.worker.id, "start sent");
    const std::int64_t term = this->term;
    const Millis until = order.decidedAt + this->options.lease;
    this->send(
        order.worker.id, [this, order, term, until] { return std::optional(this->carryStart(order, term, until)); },
        [this, order](const std::optional<StartAnswer>& answer) {
            this->planner->startAnswered(order.worker, order.run, answer.value_or(StartAnswer::NoAnswer), this->now);
        });
}

void VirtualSite::tell(const RunRef& run, const std::string& worker, const char* what)
{
    if (run.task.job == this->traced)
        this->trace.push_back(fmt::format("{} ms: {} {}.{} run {} on {}", this->now, what, run.task.step, run.task.index, run.run, worker));
}

StartAnswer VirtualSite::carryStart(const StartOrder& order, std::int64_t term, Millis until)
{
    this->tell(order.run, order.worker.id, "start arrives");
    Worker& worker = this->workers.at(order.worker.id);
    if (term < worker.token)
        return StartAnswer::Deposed;
    worker.token = term;
    if (until <= this->now)
        return StartAnswer::Late;
    worker.leaseUntil = std::max(worker.leaseUntil, until);
    if (worker.running.contains(order.run))
        return StartAnswer::Started;
    if (worker.ceilings[order.run.task] >= order.run.run)
        return StartAnswer::Old;
    const TaskRef& task = order.run.task;
    if (this->jobs.at(task.job).terms.advice.valid > 0 && order.ticket != this->ticketOf({ task.job, task.occurrence, task.step }, order.worker.id)) {
        ++this->refusedTickets;
        return StartAnswer::NoTicket;
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
    run.room = step.each;
    run.fails = worker.failsAll || this->chance() < this->options.failures;
    worker.running.emplace(order.run, run);
    return StartAnswer::Started;
}

void VirtualSite::judgeStart(const StartOrder& order, const Worker& worker)
{
    const TaskRef& task = order.run.task;
    ++this->starts[task.job];
    const Job& job = this->jobs.at(task.job);
    const Step& step = this->stepOf(task);
    Room used = step.each;
    for (const auto& [ref, run] : worker.running)
        used += run.room;
    if (!used.within(worker.capacity))
        this->breach("over room", order);
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
    if (static_cast<std::int64_t>(this->failedNoted[task].size()) >= job.terms.mostAttempts)
        this->breach("after its last attempt", order);
}

void VirtualSite::breach(const std::string& what, const StartOrder& order)
{
    this->broken.push_back(fmt::format("{} ms: {}: {}.{}.{} run {} on {}", this->now, what, order.run.task.job, order.run.task.step, order.run.task.index, order.run.run, order.worker.id));
}

void VirtualSite::stop(const StopOrder& order)
{
    const std::int64_t term = this->term;
    this->send(
        order.worker.id,
        [this, order, term] {
            Worker& worker = this->workers.at(order.worker.id);
            this->tell(order.run, order.worker.id, "stop arrives");
            if (term < worker.token)
                return std::optional(false);
            worker.token = term;
            std::int64_t& ceiling = worker.ceilings[order.run.task];
            ceiling = std::max(ceiling, order.run.run);
            const auto found = worker.running.find(order.run);
            if (found != worker.running.end() && found->second.stopAt == 0)
                found->second.stopAt = this->now + this->between(0, this->options.stopTime);
            return std::optional(true);
        },
        [this, order](const std::optional<bool>& taken) { this->planner->stopAnswered(order.worker, order.run, taken.value_or(false), this->now); });
}

void VirtualSite::poll(const PollOrder& order)
{
    const Millis sentAt = this->now;
    const std::int64_t term = this->term;
    const Millis until = order.renews ? this->now + this->options.lease : 0;
    // A waiting poll is acted out by its answer alone: it is given after 100 ms.
    constexpr Millis shortWait = 100;
    this->at(this->now + (order.wait > 0 ? shortWait : 0), [this, order, term, until, sentAt, mine = this->generation] {
        if (mine != this->generation)
            return;
        this->send(
            order.worker.id, [this, order, term, until] { return this->carryPoll(order, term, until); },
            [this, order, sentAt](const std::optional<WorkerReport>& report) {
                if (report)
                    this->planner->pollAnswered(order.worker, sentAt, order.beside, *report, this->now);
                else
                    this->planner->pollFailed(order.worker, order.beside, WorkerFault::NoAnswer, this->now);
            });
    });
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

void VirtualSite::work(const std::string&, Worker& worker)
{
    std::vector<std::pair<RunRef, RunEnd>> over;
    if (worker.leaseUntil <= this->now) {
        for (const EndedTask& end : worker.ended)
            worker.lapsedEnds.insert(end.number);
    }
    for (auto& [ref, run] : worker.running) {
        if (worker.leaseUntil <= this->now) {
            over.emplace_back(ref, RunEnd::Lapsed);
            continue;
        }
        if (run.stopAt > 0 && this->now >= run.stopAt) {
            run.checkpoint = std::to_string(run.total - run.left);
            over.emplace_back(ref, RunEnd::Stopped);
            continue;
        }
        if (run.members > 1 && this->present(ref) < run.members) {
            if (this->gone.contains({ ref.task.job, ref.task.occurrence, ref.task.step, ref.run }))
                over.emplace_back(ref, this->gone.at({ ref.task.job, ref.task.occurrence, ref.task.step, ref.run }) ? RunEnd::Done : RunEnd::Broken);
            else if (this->now - run.waitingSince >= this->options.gangTimeout)
                over.emplace_back(ref, RunEnd::Alone);
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
        this->finish(worker, ref, end);
}

void VirtualSite::finish(Worker& worker, const RunRef& ref, RunEnd end)
{
    const Run run = worker.running.at(ref);
    this->tell(ref, "", nameOf(end).data());
    worker.running.erase(ref);
    std::int64_t& ceiling = worker.ceilings[ref.task];
    ceiling = std::max(ceiling, ref.run);
    const bool saves = this->stepOf(ref.task).savesProgress;
    worker.ended.push_back({ ++worker.endNumber, ref, end, saves && end != RunEnd::Done ? run.checkpoint : "" });
    ++this->ends[end];
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
