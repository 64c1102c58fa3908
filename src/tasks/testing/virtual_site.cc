// Jobs, the planner, and the network between the planner and workers. The workers are in
// virtual_site_workers.cc.

#include "tasks/testing/virtual_site.h"

#include "tasks/step_duration.h"

#include <algorithm>
#include <utility>

namespace rattan::tasks::testing {

namespace {

    // When calls without an answer are given up; a poll this long after the time for which the
    // worker may hold it.
    constexpr Millis orderTimeout = 230;
    constexpr Millis pollTimeout = 800;

} // namespace

void VirtualSite::newPlanner()
{
    this->recordFault();
    this->planner.reset();
    if (this->now < this->frozenUntil)
        this->frozenUntil = this->nextPlannerTurn = this->now; // Another process, which isn't frozen.
    ++this->term;
    ++this->plannerGeneration;
    PlannerOptions planning;
    planning.term = this->term;
    planning.previousTerm = this->term - 1;
    planning.maxLease = this->options.lease;
    planning.stopTimeout = this->options.maxStopTime;
    planning.hasAdviceService = true;
    planning.maxRecordBytes = this->options.maxRecordBytes;
    this->planner = std::make_unique<TaskPlanner>(planning, this->table, this->plans, this->now, this->now);
    this->planner->applyCatalog(this->planningCatalog);
    this->planner->setEvacuatedDomains(this->evacuatedDomains, true, this->now);
    this->planner->workersListed(this->workerDescriptions(), this->now);
}

void VirtualSite::killPlanner()
{
    this->planner.reset();
    ++this->plannerGeneration;
}

void VirtualSite::submit(Job job)
{
    job.acceptedAt = this->now;
    for (const Queue& queue : this->catalog->queues) {
        if (queue.terms.queue == job.terms.queue) {
            job.terms.service = queue.terms.service;
            job.terms.priority = queue.terms.priority;
            job.terms.version = queue.terms.version;
        }
    }
    this->servicesOfQueue[job.terms.queue].insert(job.terms.service);
    this->jobs[job.id] = job;
    this->write(formatKey({ RecordKind::Job, job.id }), encodeJob(job));
    if (this->planner)
        this->planner->jobAccepted(this->table.find(job.id)->job, this->now, this->now);
}

void VirtualSite::cancel(const std::string& id)
{
    this->cancelled.insert(id);
    this->write(formatKey({ RecordKind::Cancel, id }), encodeCancel());
    if (this->planner)
        this->planner->jobCancelled(id, this->now);
}

void VirtualSite::sendQueue(const std::string& queue, const std::string& service, std::optional<std::int64_t> priority)
{
    auto changed = std::make_shared<Catalog>(*this->catalog);
    ++changed->version;
    std::erase_if(changed->queues, [&](const Queue& known) { return known.terms.queue == queue; });
    for (auto& [id, job] : this->jobs) {
        if (service.empty() || job.terms.queue != queue)
            continue;
        job.terms.service = service;
        job.terms.priority = priority.value_or(job.terms.priority);
        if (changed->queueFor(queue, "/") == nullptr)
            changed->queues.push_back({ .host = queue, .pathPrefix = "/", .terms = job.terms });
    }
    for (Queue& known : changed->queues)
        known.terms.version = changed->version;
    this->servicesOfQueue[queue].insert(service);
    this->catalog = changed;
    if (this->hidesConfigurations)
        return;
    this->planningCatalog = this->catalog;
    if (this->planner)
        this->planner->applyCatalog(this->planningCatalog);
}

void VirtualSite::dropPolicy(const std::string& queue)
{
    for (auto& [id, job] : this->jobs)
        job.terms.advice = job.terms.queue == queue ? AdviceTerms {} : job.terms.advice;
    this->sendQueue(queue, "s");
}

void VirtualSite::run(Millis until)
{
    while (this->now < until) {
        this->advance();
        this->now += stepMillis;
    }
}

bool VirtualSite::runUntilFinished(Millis until)
{
    while (this->now < until) {
        if (this->allFinished())
            return true;
        this->advance();
        this->now += stepMillis;
    }
    return this->allFinished();
}

bool VirtualSite::allFinished() const
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
    return entry ? entry->visibleState() : JobState::Queued;
}

Millis VirtualSite::finishedAt(const std::string& id) const
{
    const auto found = this->finishTimes.find(id);
    return found == this->finishTimes.end() ? 0 : found->second;
}

std::int64_t VirtualSite::runsOf(const std::string& id) const
{
    const auto found = this->startCounts.find(id);
    return found == this->startCounts.end() ? 0 : found->second;
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
    const auto found = this->endCounts.find(end);
    return found == this->endCounts.end() ? 0 : found->second;
}

std::size_t VirtualSite::unacknowledgedEnds() const
{
    std::size_t count = 0;
    for (const auto& [id, worker] : this->workers)
        count += worker.ended.size();
    return count;
}

void VirtualSite::publishWorkers()
{
    if (this->planner)
        this->planner->workersListed(this->workerDescriptions(), this->now);
}

void VirtualSite::answerAdvice(const AdviceOrder& order)
{
    constexpr Millis timeout = 700; // In addition to the time of the request.
    ++this->adviceRequests;
    this->workersInAdviceRequests += static_cast<std::int64_t>(order.workers.size());
    const Millis duration = order.terms.perRequest + order.terms.perWorker * static_cast<Millis>(order.workers.size());
    if (this->isAdviceAway || this->randomShare() < this->options.lostAdvice) {
        this->deliver(this->now + duration + timeout, this->plannerGeneration, [this, order] { this->planner->adviceFailed(order.step, this->now); });
        return;
    }
    this->adviceBusyUntil = std::max(this->adviceBusyUntil, this->now) + duration;
    this->schedule(this->adviceBusyUntil, [this, order, generation = this->plannerGeneration] {
        this->deliver(this->now + this->adviceDelay, generation, [this, order, allowed = this->issueTickets(order)] { this->planner->adviceAnswered(order.step, allowed, this->now); });
    });
}

std::vector<AllowedWorker> VirtualSite::issueTickets(const AdviceOrder& order)
{
    std::vector<AllowedWorker> allowed;
    for (const std::string& worker : order.workers) {
        if ((worker.back() - '0') % 2 != 0)
            continue;
        const std::string ticket = fmt::format("ticket {}", this->tickets.size());
        this->tickets[ticket] = { order.step, { worker, this->workers.at(worker).born }, this->now + order.terms.ticketValidity };
        allowed.push_back({ worker, ticket });
    }
    return allowed;
}

bool VirtualSite::isTicketValid(const StartOrder& order) const
{
    const auto found = this->tickets.find(order.ticket);
    const TaskRef& task = order.run.task;
    const bool fits = found != this->tickets.end() && found->second.step == StepKey { task.job, task.occurrence, task.step };
    return fits && found->second.worker == Incarnation { order.worker.id, this->workers.at(order.worker.id).born } && this->now < found->second.until;
}

void VirtualSite::advance()
{
    while (!this->events.empty() && this->events.begin()->first <= this->now) {
        const std::function<void()> event = std::move(this->events.begin()->second);
        this->events.erase(this->events.begin());
        event();
    }
    for (auto& [id, worker] : this->workers)
        this->advanceWorker(id, worker);
    this->checkLostWork();
    if (this->planner && this->now >= this->nextPlannerTurn)
        this->runPlanner();
    else if (this->planner && this->now >= this->frozenUntil)
        this->sendDueOrders();
}

void VirtualSite::sendDueOrders()
{
    for (const StartOrder& order : this->planner->takeDueStarts())
        this->start(order);
    if (!this->pollsBetweenTurns)
        return;
    for (const PollOrder& order : this->planner->takeDuePolls(this->now).polls)
        this->poll(order);
}

void VirtualSite::runPlanner()
{
    this->nextPlannerTurn = this->now + this->plannerInterval;
    this->planner->step(this->now, this->now);
    if (this->planner->lastRound().kind == RoundKind::Full) {
        const Millis suspension = std::exchange(this->nextSuspension, 0);
        const Millis elapsed = this->roundDuration + suspension;
        this->planner->reportStepDuration(countedDuration({ .elapsed = elapsed, .processorTime = this->roundDuration }), this->now + elapsed);
        this->nextPlannerTurn = std::max(this->nextPlannerTurn, this->now + suspension);
    }
    Orders orders = this->planner->takeOrders(this->now);
    for (const PlanEvent& event : orders.events) {
        this->planEvents.push_back(event);
        if (event.job == this->tracedJob)
            this->trace.push_back(fmt::format("{} ms: event {} {} run {} on {}: {}", this->now, static_cast<int>(event.kind), event.unit, event.run, event.worker, event.detail));
    }
    for (const RecordBatch& batch : orders.batches)
        this->storeRecords(batch);
    for (const StopOrder& order : orders.stops)
        this->stop(order);
    for (const StartOrder& order : orders.starts)
        this->start(order);
    for (const PollOrder& order : orders.polls)
        this->poll(order);
    for (const AdviceOrder& order : orders.advice)
        this->answerAdvice(order);
    for (const std::string& problem : this->planner->violations())
        this->violations.push_back("planner: " + problem);
    if (this->planner->deposed())
        this->killPlanner();
}

void VirtualSite::storeRecords(const RecordBatch& batch)
{
    const int generation = this->plannerGeneration;
    const auto isTooLarge = [this](const auto& record) { return record.first.size() + record.second.size() >= this->options.maxRecordBytes; };
    if (std::any_of(batch.plans.begin(), batch.plans.end(), isTooLarge))
        return;
    const Millis jobsAt = this->now + this->recordDelay + this->randomBetween(5, 20);
    const Millis plansAt = this->now + this->recordDelay + this->randomBetween(5, 20);
    this->schedule(jobsAt, [this, batch, generation] {
        for (const auto& [key, value] : batch.jobs) {
            if (generation != this->plannerGeneration)
                continue; // The planner's epoch was fenced before the write arrived.
            this->write(key, value);
            if (const auto queue = queueOfLoadKey(key))
                this->loadRecords.push_back({ this->now, *queue, decodeLoad(value) });
            const auto parsed = attempt([&, text = key] { return parseKey(text); });
            if (parsed.value && parsed.value->kind == RecordKind::State && isFinal(this->stateOf(parsed.value->job)))
                this->finishTimes.try_emplace(parsed.value->job, this->now);
            if (parsed.value && parsed.value->kind == RecordKind::State && this->stateOf(parsed.value->job) == JobState::Failed)
                this->checkFailedJob(parsed.value->job);
        }
    });
    // Batches with split values are written slowly, so that planners die between their records.
    const bool isSplit = std::any_of(batch.plans.begin(), batch.plans.end(), [](const auto& record) { return keyOfPart(record.first).has_value(); });
    Millis recordAt = plansAt;
    for (const auto& [recordKey, recordValue] : batch.plans) {
        this->schedule(recordAt, [this, key = recordKey, value = recordValue, generation] {
            if (generation == this->plannerGeneration)
                this->plans.apply(key, value, this->offset++);
        });
        recordAt += isSplit ? 2 : 0;
    }
    this->deliver(std::max(jobsAt, recordAt) + 1, generation, [this, number = batch.number] { this->planner->batchRecorded(number, this->now); });
}

void VirtualSite::freezePlanner(Millis until)
{
    this->frozenUntil = until;
    this->nextPlannerTurn = std::max(this->nextPlannerTurn, until);
}

void VirtualSite::deliver(Millis when, int generation, std::function<void()> report)
{
    this->schedule(when, [this, generation, report = std::move(report)] {
        if (generation != this->plannerGeneration || !this->planner)
            return;
        if (this->now < this->frozenUntil)
            return this->deliver(this->frozenUntil, generation, report);
        report();
    });
}

std::optional<CallFault> VirtualSite::takeCallFault(CallKind kind, const std::string& worker)
{
    const auto found = std::find_if(this->callFaults.begin(), this->callFaults.end(), [&](const CallFault& fault) { return fault.kind == kind && (fault.worker.empty() || fault.worker == worker); });
    if (found == this->callFaults.end())
        return std::nullopt;
    this->recordFault();
    const CallFault fault = *found;
    if (--found->count <= 0)
        this->callFaults.erase(found);
    return fault;
}

template <typename Execute, typename Answer>
void VirtualSite::send(const std::string& id, CallKind kind, Millis timeout, Execute execute, Answer answer)
{
    using Reply = decltype(execute());
    const auto deliverReply = [this, generation = this->plannerGeneration, answer](const Reply& reply, Millis when) {
        this->deliver(when, generation, [answer, reply] { answer(reply); });
    };
    const double sample = this->randomShare();
    Worker& worker = this->workers.at(id);
    const double lostThreshold = this->options.lostOrders;
    const double lostAnswerThreshold = lostThreshold + this->options.lostAnswers;
    const double lateThreshold = lostAnswerThreshold + this->options.lateOrders;
    const std::optional<CallFault> fault = this->takeCallFault(kind, id);
    if (worker.crashed) {
        constexpr Millis refusedAfter = 5;
        deliverReply(Reply(), this->now + (worker.replaced ? refusedAfter : timeout));
    } else if (worker.isPartitioned || sample < lostThreshold || (fault && fault->fate == CallFate::Lost)) {
        deliverReply(Reply(), this->now + timeout);
    } else if (fault && fault->fate == CallFate::Late) {
        this->schedule(this->now + fault->delay, [this, id, execute] {
            this->recordFault();
            if (!this->workers.at(id).crashed)
                execute();
        });
        deliverReply(Reply(), this->now + timeout);
    } else if (sample < lostAnswerThreshold || fault) {
        this->schedule(this->now + this->randomBetween(1, 8), [this, id, execute] {
            if (!this->workers.at(id).crashed)
                execute();
        });
        deliverReply(Reply(), this->now + timeout);
    } else if (sample < lateThreshold) {
        // The order waits at the worker, and is dropped if the worker crashes in the meantime.
        this->schedule(this->now + this->randomBetween(2000, 12000), [this, id, execute, born = worker.born] {
            this->recordFault();
            if (this->workers.at(id).born == born && !this->workers.at(id).crashed)
                execute();
        });
        deliverReply(Reply(), this->now + timeout);
    } else {
        this->schedule(this->now + this->randomBetween(1, 8), [this, id, execute, deliverReply, timeout] {
            if (this->workers.at(id).isPartitioned || this->workers.at(id).crashed)
                return deliverReply(Reply(), this->now + timeout);
            const Reply reply = execute();
            deliverReply(reply, this->now + this->randomBetween(1, 8));
        });
    }
}

void VirtualSite::start(const StartOrder& order)
{
    if (this->suppressedStarts > 0) {
        --this->suppressedStarts;
        this->deliver(this->now + 5, this->plannerGeneration, [this, order] { this->planner->startAnswered(order.worker, order.run, StartAnswer::NotSent, this->now); });
        return;
    }
    if (this->startDelay == 0)
        return this->sendStart(order);
    this->schedule(this->now + this->startDelay, [this, order, generation = this->plannerGeneration] {
        if (generation == this->plannerGeneration && this->planner)
            this->sendStart(order);
    });
}

void VirtualSite::sendStart(const StartOrder& order)
{
    this->traceRun(order.run, order.worker.id, "start sent");
    const std::int64_t term = this->term;
    const Millis until = order.decidedAt + this->options.lease;
    if (const Millis wait = std::exchange(this->nextStartDelay, 0); wait > 0) {
        this->schedule(this->now + wait, [this, order, term, until] {
            this->recordFault();
            this->executeStart(order, term, until);
        });
        this->deliver(this->now + orderTimeout, this->plannerGeneration, [this, order] { this->planner->startAnswered(order.worker, order.run, StartAnswer::NoAnswer, this->now); });
        return;
    }
    const Millis repeatDelay = std::exchange(this->nextStartRepeatDelay, 0);
    if (repeatDelay > 0) {
        this->schedule(this->now + repeatDelay, [this, order, term, until] {
            this->recordFault();
            this->executeStart(order, term, until);
        });
    }
    this->send(
        order.worker.id, CallKind::Start, orderTimeout, [this, order, term, until] { return std::optional(this->executeStart(order, term, until)); },
        [this, order, repeatDelay](const std::optional<StartAnswer>& answer) {
            const StartAnswer defaultAnswer = this->workers.at(order.worker.id).replaced ? StartAnswer::OtherIncarnation : StartAnswer::NoAnswer;
            const StartAnswer received = answer.value_or(defaultAnswer);
            this->planner->startAnswered(order.worker, order.run, repeatDelay > 0 ? answerToRepeatedStart(received) : received, this->now);
        });
}

void VirtualSite::traceRun(const RunRef& run, const std::string& worker, const char* what)
{
    if (run.task.job == this->tracedJob)
        this->trace.push_back(fmt::format("{} ms: {} {}.{} run {} on {}", this->now, what, run.task.step, run.task.index, run.run, worker));
}

void VirtualSite::stop(const StopOrder& order)
{
    const std::int64_t term = this->term;
    this->send(
        order.worker.id, CallKind::Stop, orderTimeout,
        [this, order, term] {
            Worker& worker = this->workers.at(order.worker.id);
            this->traceRun(order.run, order.worker.id, "stop received");
            if (term < worker.highestTerm)
                return std::optional(false);
            worker.highestTerm = term;
            std::int64_t& highestRefusedRun = worker.highestRefusedRuns[order.run.task];
            highestRefusedRun = std::max(highestRefusedRun, order.run.run);
            const auto found = worker.running.find(order.run);
            if (found != worker.running.end() && found->second.stopsAt == 0)
                found->second.stopsAt = this->now + this->randomBetween(0, this->options.maxStopTime);
            return std::optional(true);
        },
        [this, order](const std::optional<bool>& stopped) { this->planner->stopAnswered(order.worker, order.run, stopped.value_or(false), this->now); });
}

void VirtualSite::poll(const PollOrder& order)
{
    if (this->options.longPolls)
        return this->sendLongPoll(order);
    const Millis sentAt = this->now;
    const std::int64_t term = this->term;
    const Millis until = order.renewsLease ? this->now + this->options.lease : 0;
    // A waiting poll is simulated by its answer alone, which is given after 100 ms.
    constexpr Millis pollHoldTime = 100;
    this->schedule(this->now + (order.wait > 0 ? pollHoldTime : 0), [this, order, term, until, sentAt, generation = this->plannerGeneration] {
        if (generation != this->plannerGeneration)
            return;
        this->send(
            order.worker.id, CallKind::Poll, orderTimeout, [this, order, term, until] { return this->executePoll(order, term, until); },
            [this, order, sentAt](const std::optional<WorkerReport>& report) { this->reportPoll(order, sentAt, report); });
    });
}

void VirtualSite::reportPoll(const PollOrder& order, Millis sentAt, const std::optional<WorkerReport>& report)
{
    if (!report)
        return this->planner->pollFailed(order.worker, order.concurrent, this->workers.at(order.worker.id).replaced ? WorkerFault::OtherIncarnation : WorkerFault::NoAnswer, this->now);
    this->recordReportedEnds(*report);
    this->planner->pollAnswered(order.worker, sentAt, order.concurrent, *report, this->now);
}

void VirtualSite::sendLongPoll(const PollOrder& order)
{
    const Worker& worker = this->workers.at(order.worker.id);
    const std::optional<CallFault> fault = this->takeCallFault(CallKind::Poll, order.worker.id);
    HeldPoll held { order, this->now, this->term, worker.born, this->plannerGeneration, fault.has_value() };
    if (worker.replaced)
        return this->deliver(this->now + stepMillis, held.generation, [this, held] { this->reportPoll(held.order, held.sentAt, std::nullopt); });
    if (worker.crashed || worker.isPartitioned || (fault && fault->fate == CallFate::Lost))
        return this->deliver(this->now + order.wait + pollTimeout, held.generation, [this, held] { this->reportPoll(held.order, held.sentAt, std::nullopt); });
    this->schedule(this->now + this->randomBetween(1, 8) + (fault ? fault->delay : 0), [this, held] { this->holdPoll(held); });
}

// Answers the poll once there is an end or the wait is over. A held poll is lost if the worker
// restarts.
void VirtualSite::holdPoll(const HeldPoll& held)
{
    const PollOrder& order = held.order;
    const Worker& worker = this->workers.at(order.worker.id);
    const Millis timeoutAt = std::max(held.sentAt + order.wait + pollTimeout, this->now);
    const auto fail = [&] { this->deliver(timeoutAt, held.generation, [this, held] { this->reportPoll(held.order, held.sentAt, std::nullopt); }); };
    if (worker.crashed || worker.born > held.born)
        return fail();
    const std::optional<WorkerReport> report = this->executePoll(order, held.term, order.renewsLease ? held.sentAt + this->options.lease : 0);
    if (report && report->ended.empty() && this->now < held.sentAt + order.wait)
        return this->schedule(this->now + stepMillis, [this, held] { this->holdPoll(held); });
    if (worker.isPartitioned || held.answerIsLost || !report)
        return fail();
    this->deliver(this->now + this->randomBetween(1, 8), held.generation, [this, held, report] { this->reportPoll(held.order, held.sentAt, report); });
}

} // namespace rattan::tasks::testing
