#include "instance/leadership.h"

#include "instance/events.h"
#include "instance/work_meter.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace rattan::instance {

using delivery::PollReply;
using delivery::StartReply;
using delivery::StopReply;
using delivery::WorkerAnswer;
using delivery::WorkerCall;
using tasks::Orders;
using tasks::PlanEventKind;
using tasks::RunRef;
using tasks::StartAnswer;

namespace {

    constexpr std::chrono::milliseconds adviceTimeoutMargin { 700 }; // Added to the expected processing time of the advice service.

    constexpr std::chrono::milliseconds connectTimeout { 500 };

    // Orders, record batches and planner runs that take this long are logged. Urgent tasks must
    // start within little more than a second.
    constexpr Millis slowOrderThreshold = 300;
    constexpr Millis slowBatchThreshold = 200;
    constexpr Millis slowRoundThreshold = 50;

    constexpr int planPauseFactor = 2; // Pause in multiples of a planner run's duration, which limits planning to a third of the processor time.

    constexpr Millis maxQueuedAdvice = 5; // Requests that the advice service may process before and including this one.

    // The state of an ended job is kept for twice the promised time, since each instance counts
    // from the time when it first read of the end. So is the cancel of a job that was never
    // submitted, which may be stored late by an instance that was suspended.
    constexpr Millis statusRetentionFactor = 2;
    constexpr Millis forgetInterval = 5000;
    constexpr std::size_t maxForgottenJobs = 100; // Per interval: 20 a second, while 11,000 jobs a day are one in eight seconds.

    // The worker list changes with every heartbeat of every worker, so continuous reads would
    // cost one call per heartbeat. Two reads a second notice a leaving worker well within the
    // time after which it must not get new work.
    constexpr Millis workerListInterval = 400;

    std::vector<StoreRecord> toStoreRecords(const tasks::RecordBatch::Records& records)
    {
        std::vector<StoreRecord> result;
        result.reserve(records.size());
        for (const auto& [key, value] : records)
            result.push_back({ key, value, 0 });
        return result;
    }

    StreamReaderOptions workerListOptions(const InstanceSettings& settings)
    {
        return { .stream = Stream::Workers, .address = settings.storeAddress, .wait = 0, .readInterval = workerListInterval, .timeout = 900 };
    }

    std::string formatRun(const RunRef& run)
    {
        return fmt::format("{}.{}.{}.{}/{}", run.task.job, run.task.occurrence, run.task.step, run.task.index, run.run);
    }

    std::string_view wayOf(const WorkerAnswer& answer) { return answer.relay.empty() ? "direct" : std::string_view(answer.relay); }

    std::string_view nameOf(PlanEventKind kind)
    {
        constexpr std::array<std::string_view, 20> names { "unit_placed", "tasks_placed", "unit_evicted", "units_done", "unit_retried", "unit_stalled",
            "job_finished", "worker_known", "worker_silent", "worker_lapsed", "worker_gone", "worker_distrusted", "unit_waits", "guarantee_waits", "work_waits", "job_idle", "job_passed_over", "job_held", "run_lost", "queue_moved" };
        return names.at(static_cast<std::size_t>(kind));
    }

} // namespace

Leadership::Leadership(std::int64_t term, TermServices services, const tasks::JobTable& jobs, const tasks::PlanTable& plans)
    : termNumber(term)
    , services(services)
    , jobs(jobs)
    , catalog(std::make_shared<tasks::Catalog>())
    , directChannel(services.client, services.workers, static_cast<int>(term), [this](const WorkerCall& call) { return this->confirmLeadership() && this->services.maySend(call); })
    , relayedChannel(term, services.relaySelector, this->directChannel, services.deliveryPort, services.clock)
    , workerList(services.workers, services.metrics)
    , workersReader(services.client, services.store, services.clock, workerListOptions(services.settings), this->workerList)
    , jobsAppender(Stream::Jobs, term, services.client, services.store, services.clock, services.settings.storeAddress, services.metrics)
    , plansAppender(Stream::Plans, term, services.client, services.store, services.clock, services.settings.storeAddress, services.metrics)
    , plans(plans)
{
}

Leadership::~Leadership() { this->services.client.cancelGroup(static_cast<int>(this->termNumber)); }

void Leadership::applyCatalog(std::shared_ptr<const tasks::Catalog> newCatalog)
{
    this->catalog = std::move(newCatalog);
    if (this->planner)
        this->planner->applyCatalog(this->catalog);
}

void Leadership::setEvacuatedDomains(const tasks::EvacuatedDomains& domains, Millis now)
{
    this->evacuatedDomains = domains;
    if (this->planner)
        this->planner->setEvacuatedDomains(this->evacuatedDomains, this->evacuationsKnown, now);
}

void Leadership::setEvacuationsKnown(bool known, Millis now)
{
    if (std::exchange(this->evacuationsKnown, known) != known)
        this->setEvacuatedDomains(tasks::EvacuatedDomains(this->evacuatedDomains), now);
}

void Leadership::jobChanged(const tasks::JobTable::Change& change, Millis now, Millis wallTime)
{
    if (!this->planner)
        return;
    const tasks::JobEntry* entry = this->jobs.find(change.job);
    if (!entry || isFinal(entry->state))
        return;
    if (change.kind == tasks::RecordKind::Job)
        this->planner->jobAccepted(entry->job, now, wallTime);
    if (entry->cancelled)
        this->planner->jobCancelled(change.job, now);
}

void Leadership::jobsConfirmed(Millis at, Millis now, Millis wallTime)
{
    if (this->jobsLoaded || this->jobsAppender.fencedAt() == 0 || at < this->jobsAppender.fencedAt())
        return;
    this->jobsLoaded = true;
    this->beginPlanning(now, wallTime);
}

// The catalog must be as new as any that the previous planner started tasks by.
void Leadership::configurationConfirmed(Millis at, Millis now, Millis wallTime)
{
    if (!this->needsConfiguration() || at < this->plansAppender.fencedAt())
        return;
    this->configurationLoaded = true;
    this->beginPlanning(now, wallTime);
}

void Leadership::plansConfirmed(Millis at, Millis now, Millis wallTime)
{
    if (!this->needsPlans() || at < this->plansAppender.fencedAt())
        return;
    this->plansLoaded = true;
    this->beginPlanning(now, wallTime);
}

void Leadership::beginPlanning(Millis now, Millis wallTime)
{
    if (this->planner || !this->jobsLoaded || !this->plansLoaded || !this->configurationLoaded)
        return;
    tasks::PlannerOptions options;
    options.term = this->termNumber;
    options.previousTerm = this->termNumber - 1;
    options.maxLease = this->services.settings.maxLease;
    options.stopTimeout = this->services.settings.stopTimeout;
    options.maxRecordBytes = this->services.settings.maxRecordBytes;
    options.hasAdviceService = !this->services.settings.adviceAddress.empty();
    this->planner = std::make_unique<tasks::TaskPlanner>(options, this->jobs, this->plans, now, wallTime);
    this->planner->applyCatalog(this->catalog);
    this->planner->setEvacuatedDomains(this->evacuatedDomains, this->evacuationsKnown, now);
    logEvent(events::leadTaken, { { "term", this->termNumber }, { "jobs", this->jobs.all().size() }, { "plans", this->plans.all().size() }, { "runs", this->planner->runCount() } });
    if (this->plans.unreadable() > 0)
        logEvent(events::recordUnreadable, { { "stream", "plans" }, { "records", this->plans.unreadable() } });
}

void Leadership::step(Millis now, Millis wallTime)
{
    this->jobsAppender.step(now);
    this->plansAppender.step(now);
    this->workersReader.step(now);
    if (!this->planner || !this->workersReader.loaded())
        return;
    if (this->workerList.takeChanged())
        this->updateWorkers(now);
    this->checkBatch(now);
    if (now >= this->nextPlanAt)
        this->runPlanner(now, wallTime);
    else
        this->sendDueOrders(now);
    this->jobsAppender.step(now);
    this->plansAppender.step(now);
    if (this->confirmLeadership())
        this->relayedChannel.step(this->services.clock.now());
}

// Each run examines every worker. With a thousand workers whose answers arrive continuously,
// one run per answer would use all processor time. Several answers share a run instead.
void Leadership::runPlanner(Millis now, Millis wallTime)
{
    const WorkMeter meter(this->services.clock, now, this->services.settings.processorCores);
    this->forgetExpiredJobs(now);
    this->planner->step(now, wallTime);
    // The planner spaces its runs by their duration, so that on a slow machine they do not delay
    // the renewal of the term.
    this->planner->reportStepDuration(meter.counted(), this->services.clock.now());
    if (const Millis duration = meter.elapsed(); duration >= slowRoundThreshold)
        this->logSlowRound(duration);
    this->executeOrders(this->planner->takeOrders(now), now);
    this->nextPlanAt = this->services.clock.now() + meter.counted() * planPauseFactor;
}

void Leadership::sendDueOrders(Millis now)
{
    for (const tasks::StartOrder& order : this->planner->takeDueStarts())
        this->sendStart(order);
    if (now < this->nextPollsAt || !this->planner->hasDuePolls())
        return;
    const WorkMeter meter(this->services.clock, now, this->services.settings.processorCores);
    for (const tasks::PollOrder& order : this->planner->takeDuePolls(now).polls)
        this->sendPoll(order, now);
    this->nextPollsAt = this->services.clock.now() + std::max<Millis>(meter.counted(), 1);
}

void Leadership::checkBatch(Millis now)
{
    if (this->batchInFlight == 0 || !this->jobsAppender.isIdle() || !this->plansAppender.isIdle())
        return;
    if (now - this->batchSentAt >= slowBatchThreshold)
        logEvent(events::recordSlow, { { "batch", this->batchInFlight }, { "took_ms", now - this->batchSentAt }, { "term", this->termNumber } });
    this->planner->batchRecorded(std::exchange(this->batchInFlight, 0), now);
}

void Leadership::append(const tasks::RecordBatch& batch)
{
    this->batchInFlight = batch.number;
    this->batchSentAt = this->services.clock.now();
    this->jobsAppender.append(toStoreRecords(batch.jobs));
    this->plansAppender.append(toStoreRecords(batch.plans));
}

void Leadership::updateWorkers(Millis now)
{
    std::vector<tasks::WorkerDescription> currentWorkerDescriptions;
    std::vector<delivery::WorkerLocation> places;
    for (const auto& [id, description] : this->workerList.workers()) {
        currentWorkerDescriptions.push_back(description);
        places.push_back({ id, description.domain });
    }
    this->planner->workersListed(currentWorkerDescriptions, now);
    this->services.relaySelector.setWorkers(std::move(places));
}

// The process may have been suspended since an order was decided. Sent now, the order could
// reach a worker after the orders of a later planner.
bool Leadership::confirmLeadership()
{
    if (!this->services.election.leads(this->services.clock.now()))
        this->termLost = true;
    return !this->termLost;
}

void Leadership::peerLost(const delivery::PeerLost& peer, Millis now)
{
    if (peer.term != this->termNumber)
        return;
    logEvent(events::relayLost, { { "peer", peer.peer }, { "term", peer.term }, { "why", peer.reason } });
    this->relayedChannel.handlePeerLost(peer, now);
}

// Limited per interval, so that the records of a busy hour are not deleted in a single append.
void Leadership::forgetExpiredJobs(Millis now)
{
    if (now < this->nextForgetAt)
        return;
    this->nextForgetAt = now + forgetInterval;
    std::vector<std::string> expired;
    for (const auto& [id, entry] : this->jobs.all()) {
        const bool isExpired = (entry.job || entry.cancelled) && entry.finalSince > 0 && now - entry.finalSince > this->services.settings.statusRetention * statusRetentionFactor;
        if (isExpired && expired.size() < maxForgottenJobs)
            expired.push_back(id);
    }
    this->planner->forgetJobs(expired);
}

Millis Leadership::nextWake(Millis now, Millis wallTime) const
{
    if (!this->planner)
        return now + workerListInterval;
    if (this->planner->hasDueStarts())
        return now;
    Millis wakeAt = std::max(this->planner->nextWake(now, wallTime), this->nextPlanAt);
    if (this->planner->hasDuePolls())
        wakeAt = std::min(wakeAt, std::max(now, this->nextPollsAt));
    return std::min({ wakeAt, this->relayedChannel.nextWake(), now + workerListInterval });
}

void Leadership::executeOrders(Orders orders, Millis now)
{
    for (const tasks::PlanEvent& event : orders.events)
        this->logPlanEvent(event);
    if (!orders.batches.empty())
        this->append(orders.batches.front());
    for (const tasks::StopOrder& order : orders.stops)
        this->sendStop(order);
    for (const tasks::StartOrder& order : orders.starts)
        this->sendStart(order);
    for (const tasks::PollOrder& order : orders.polls)
        this->sendPoll(order, now);
    for (const tasks::AdviceOrder& order : orders.advice)
        this->sendAdvice(order);
}

// The advice service processes requests sequentially, so a request may wait for earlier ones.
void Leadership::sendAdvice(const tasks::AdviceOrder& order)
{
    http::Call call = this->services.workers.advise(order);
    call.purpose = "advice";
    call.address = this->services.settings.adviceAddress;
    const Millis expected = order.terms.perRequest + order.terms.perWorker * static_cast<Millis>(order.workers.size());
    call.timeout = std::chrono::milliseconds(expected * maxQueuedAdvice) + adviceTimeoutMargin;
    call.connectTimeout = connectTimeout;
    this->services.client.send(std::move(call), [this, order](const http::Reply& reply) {
        const auto allowedWorkers = this->services.workers.parseAdvice(reply);
        const Millis now = this->services.clock.now();
        this->services.metrics.count("rattan_orders_total", { { "order", "advice" }, { "outcome", allowedWorkers ? "answered" : "no_answer" } });
        if (allowedWorkers)
            return this->planner->adviceAnswered(order.step, *allowedWorkers, now);
        logEvent(events::orderRefused, { { "order", "advice" }, { "job", order.step.job }, { "step", order.step.step }, { "workers", order.workers.size() }, { "status", reply.status } });
        this->planner->adviceFailed(order.step, now);
    });
}

// The lease starts at the decision, not at the transmission. An order may wait for seconds
// behind orders without answers. A lease from the transmission would outlast the one that the
// planner counts: the planner would consider the run ended and start the task a second time
// while it still runs.
void Leadership::sendStart(const tasks::StartOrder& order)
{
    const Millis leaseEnd = this->workerClocks.estimate(order.worker, order.decidedAt).value_or(0) + this->services.settings.maxLease;
    const Millis sentAt = this->services.clock.now();
    this->relayedChannel.send({ order, this->termNumber, leaseEnd }, [this, order, sentAt](const WorkerAnswer& answer) {
        const auto& reply = std::get<StartReply>(answer.reply);
        const Millis now = this->services.clock.now();
        this->observeOrderTime("start", sentAt, now);
        if (reply.clock)
            this->workerClocks.update(order.worker, *reply.clock, now);
        this->services.metrics.count("rattan_orders_total", { { "order", "start" }, { "outcome", std::string(tasks::nameOf(reply.answer)) } });
        if (now - order.decidedAt >= slowOrderThreshold)
            logEvent(events::orderSlow, { { "order", "start" }, { "run", formatRun(order.run) }, { "worker", order.worker.id }, { "since_decided_ms", now - order.decidedAt }, { "since_sent_ms", now - sentAt } });
        if (reply.answer != StartAnswer::Started)
            logEvent(events::orderRefused, { { "order", "start" }, { "run", formatRun(order.run) }, { "worker", order.worker.id }, { "answer", tasks::nameOf(reply.answer) }, { "status", answer.status }, { "since_sent_ms", now - sentAt }, { "way", wayOf(answer) } });
        this->planner->startAnswered(order.worker, order.run, reply.answer, now);
    });
}

void Leadership::sendStop(const tasks::StopOrder& order)
{
    const Millis sentAt = this->services.clock.now();
    this->relayedChannel.send({ order, this->termNumber, std::nullopt }, [this, order, sentAt](const WorkerAnswer& answer) {
        const auto& reply = std::get<StopReply>(answer.reply);
        const Millis now = this->services.clock.now();
        this->observeOrderTime("stop", sentAt, now);
        if (reply.clock)
            this->workerClocks.update(order.worker, *reply.clock, now);
        this->services.metrics.count("rattan_orders_total", { { "order", "stop" }, { "outcome", reply.stopped ? "taken" : "not_taken" } });
        if (!reply.stopped)
            logEvent(events::orderRefused, { { "order", "stop" }, { "run", formatRun(order.run) }, { "worker", order.worker.id }, { "status", answer.status }, { "since_sent_ms", now - sentAt }, { "way", wayOf(answer) } });
        if (reply.deposed)
            this->termLost = true;
        this->planner->stopAnswered(order.worker, order.run, reply.stopped, now);
    });
}

void Leadership::observeOrderTime(const char* kind, Millis sentAt, Millis now)
{
    constexpr double millisPerSecond = 1000;
    this->services.metrics.observe("rattan_order_seconds", { { "order", kind } }, static_cast<double>(now - sentAt) / millisPerSecond);
}

void Leadership::sendPoll(const tasks::PollOrder& order, Millis now)
{
    std::optional<Millis> leaseEnd;
    if (const auto estimated = this->workerClocks.estimate(order.worker, now); estimated && order.renewsLease)
        leaseEnd = *estimated + this->services.settings.maxLease;
    this->relayedChannel.send({ order, this->termNumber, leaseEnd }, [this, order, now](const WorkerAnswer& answer) {
        const auto& reply = std::get<PollReply>(answer.reply);
        const Millis answeredAt = this->services.clock.now();
        this->services.metrics.count("rattan_orders_total", { { "order", "poll" }, { "outcome", reply.report ? "answered" : std::string(tasks::nameOf(reply.fault)) } });
        if (!reply.report)
            return this->planner->pollFailed(order.worker, order.concurrent, reply.fault, answeredAt);
        this->workerClocks.update(order.worker, reply.report->clock, answeredAt);
        this->planner->pollAnswered(order.worker, now, order.concurrent, *reply.report, answeredAt);
    });
}

void Leadership::logPlanEvent(const tasks::PlanEvent& event) const
{
    this->services.metrics.count("rattan_decisions_total", { { "kind", std::string(nameOf(event.kind)) } });
    const std::string_view kind = nameOf(event.kind);
    logEvent(events::planDecided, { { "kind", kind }, { "job", event.job }, { "unit", event.unit }, { "run", event.run }, { "worker", event.worker }, { "why", event.detail }, { "term", this->termNumber } }, kind);
}

void Leadership::logSlowRound(Millis duration) const
{
    const tasks::TaskPlanner::Round& round = this->planner->lastRound();
    logEvent(events::roundSlow, { { "took_ms", duration }, { "units", round.kind == tasks::RoundKind::Urgent ? "urgent" : "all" }, { "candidates", round.candidates }, { "placed", round.placed }, { "searches", round.searches }, { "eviction_searches", round.evictionSearches }, { "reservations", round.reservations }, { "term", this->termNumber } });
}

} // namespace rattan::instance
