#include "instance/leadership.h"

#include "instance/events.h"

#include <algorithm>
#include <fmt/format.h>

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

    constexpr std::chrono::milliseconds adviceTimeout { 700 }; // Beyond what the service takes for the question.

    constexpr std::chrono::milliseconds connectTimeout { 500 };

    // Starts of urgent work are due within little more than a second.
    constexpr Millis slowOrder = 300;
    constexpr Millis slowRecord = 200;
    constexpr Millis slowRound = 50;

    constexpr int turnRest = 2; // Times a turn's length: turns take a third of the processor time at most.

    constexpr Millis adviceQueue = 5; // Questions that may be before one, and itself.

    // Jobs that are over are told of for twice as long as callers were promised,
    // since an instance counts from when it first heard of the end.
    constexpr Millis statusSpare = 2;
    constexpr Millis forgetEvery = 5000;
    constexpr std::size_t mostForgotten = 100; // 20 a second; 11,000 jobs a day are one in eight seconds.

    // The list changes with every heartbeat of every worker, so reading on at once
    // would cost a call for each. Twice a second keeps what is seen of a worker
    // that leaves well under the time within which it must get nothing new.
    constexpr Millis listPause = 400;

    std::vector<StoreRecord> storeRecords(const tasks::RecordBatch::Records& records)
    {
        std::vector<StoreRecord> made;
        made.reserve(records.size());
        for (const auto& [key, value] : records)
            made.push_back({ key, value, 0 });
        return made;
    }

    StreamReaderOptions listOptions(const InstanceSettings& settings)
    {
        return { .stream = Stream::Workers, .address = settings.storeAddress, .wait = 0, .pause = listPause, .timeout = 900 };
    }

    std::string runText(const RunRef& run)
    {
        return fmt::format("{}.{}.{}.{}/{}", run.task.job, run.task.occurrence, run.task.step, run.task.index, run.run);
    }

    std::string_view nameOf(PlanEventKind kind)
    {
        constexpr std::array<std::string_view, 16> names { "unit_placed", "tasks_placed", "unit_evicted", "units_done", "unit_retried", "unit_stalled",
            "job_finished", "worker_known", "worker_silent", "worker_lapsed", "worker_gone", "worker_distrusted", "unit_waits", "guarantee_waits", "work_waits", "run_lost" };
        return names.at(static_cast<std::size_t>(kind));
    }

} // namespace

Leadership::Leadership(std::int64_t term, TermServices services, const tasks::JobTable& jobs, const tasks::PlanTable& plans)
    : number(term)
    , services(services)
    , jobs(jobs)
    , catalog(std::make_shared<tasks::Catalog>())
    , direct(services.client, services.workers, static_cast<int>(term), [this] { return this->stillLeads(); })
    , channel(term, services.roster, this->direct, services.port, services.clock)
    , workerList(services.client, services.store, services.clock, listOptions(services.settings), *this)
    , jobsStream(Stream::Jobs, term, services.client, services.store, services.clock, services.settings.storeAddress, services.metrics)
    , plansStream(Stream::Plans, term, services.client, services.store, services.clock, services.settings.storeAddress, services.metrics)
    , plans(plans)
{
}

Leadership::~Leadership() { this->services.client.cancelGroup(static_cast<int>(this->number)); }

void Leadership::applyCatalog(std::shared_ptr<const tasks::Catalog> newest)
{
    this->catalog = std::move(newest);
    if (this->planner)
        this->planner->applyCatalog(this->catalog);
}

void Leadership::jobChanged(const tasks::JobTable::Change& change, Millis now, Millis wall)
{
    if (!this->planner)
        return;
    const tasks::JobEntry* entry = this->jobs.find(change.job);
    if (!entry || isFinal(entry->state))
        return;
    if (change.kind == tasks::RecordKind::Job)
        this->planner->jobAccepted(entry->job, now, wall);
    if (entry->cancelled)
        this->planner->jobCancelled(change.job, now);
}

void Leadership::jobsConfirmed(Millis at, Millis now, Millis wall)
{
    if (this->jobsKnown || this->jobsStream.fencedAt() == 0 || at < this->jobsStream.fencedAt())
        return;
    this->jobsKnown = true;
    this->beginPlanning(now, wall);
}

void Leadership::plansConfirmed(Millis at, Millis now, Millis wall)
{
    if (!this->wantsPlans() || at < this->plansStream.fencedAt())
        return;
    this->plansKnown = true;
    this->beginPlanning(now, wall);
}

void Leadership::beginPlanning(Millis now, Millis wall)
{
    if (this->planner || !this->jobsKnown || !this->plansKnown)
        return;
    tasks::PlannerOptions options;
    options.longestLease = this->services.settings.longestLease;
    options.stopTimeout = this->services.settings.stopTimeout;
    options.advised = !this->services.settings.adviceAddress.empty();
    this->planner = std::make_unique<tasks::TaskPlanner>(options, this->jobs, this->plans, now, wall);
    this->planner->applyCatalog(this->catalog);
    this->listChanged = true;
    logEvent(events::leading, { { "term", this->number }, { "jobs", this->jobs.all().size() }, { "plans", this->plans.all().size() }, { "runs", this->planner->runs() } });
    if (this->plans.unreadable() > 0)
        logEvent(events::recordUnreadable, { { "stream", "plans" }, { "records", this->plans.unreadable() } });
}

void Leadership::step(Millis now, Millis wall)
{
    this->jobsStream.step(now);
    this->plansStream.step(now);
    this->workerList.step(now);
    if (!this->planner || !this->workerList.loaded())
        return;
    if (this->listChanged)
        this->tellWorkers(now);
    this->stepRecords(now);
    if (now >= this->nextTurn)
        this->plan(now, wall);
    else if (now >= this->nextPolls && this->planner->hasPollsLeft())
        this->sendPollsLeft(now);
    this->jobsStream.step(now);
    this->plansStream.step(now);
    if (this->stillLeads())
        this->channel.step(this->services.clock.now());
}

// Each turn looks at every worker. Beside a thousand of them, and with answers that arrive
// all the time, turns would take all of the processor; answers share one instead.
void Leadership::plan(Millis now, Millis wall)
{
    this->forgetOldJobs(now);
    this->planner->step(now, wall);
    // On a weak machine rounds must not keep the term from being renewed.
    const Millis took = this->services.clock.now() - now;
    this->planner->stepTook(took, this->services.clock.now());
    if (took >= slowRound)
        this->logRound(took);
    this->carryOut(this->planner->take(now), now);
    const Millis ended = this->services.clock.now();
    this->nextTurn = ended + (ended - now) * turnRest;
}

void Leadership::sendPollsLeft(Millis now)
{
    for (const tasks::PollOrder& order : this->planner->takePolls(now).polls)
        this->sendPoll(order, now);
    const Millis ended = this->services.clock.now();
    this->nextPolls = ended + std::max<Millis>(ended - now, 1);
}

void Leadership::stepRecords(Millis now)
{
    if (this->batchUnderWay == 0 || !this->jobsStream.isIdle() || !this->plansStream.isIdle())
        return;
    if (now - this->batchSentAt >= slowRecord)
        logEvent(events::recordSlow, { { "batch", this->batchUnderWay }, { "took_ms", now - this->batchSentAt }, { "term", this->number } });
    this->planner->recorded(std::exchange(this->batchUnderWay, 0), now);
}

void Leadership::append(const tasks::RecordBatch& batch)
{
    this->batchUnderWay = batch.number;
    this->batchSentAt = this->services.clock.now();
    this->jobsStream.append(storeRecords(batch.jobs));
    this->plansStream.append(storeRecords(batch.plans));
}

void Leadership::tellWorkers(Millis now)
{
    this->listChanged = false;
    std::vector<tasks::WorkerSighting> seen;
    std::vector<delivery::WorkerPlace> places;
    for (const auto& [id, sighting] : this->sightings) {
        seen.push_back(sighting);
        places.push_back({ id, sighting.domain });
    }
    this->planner->workersSeen(seen, now);
    this->services.roster.setWorkers(std::move(places));
}

// The machine may have stood still since an order was decided. Sent now, it could reach a
// worker after the orders of a planner that took over.
bool Leadership::stillLeads()
{
    if (!this->services.election.leads(this->services.clock.now()))
        this->isLost = true;
    return !this->isLost;
}

void Leadership::peerLost(const delivery::PeerLost& peer, Millis now)
{
    if (peer.term != this->number)
        return;
    logEvent(events::relayLost, { { "peer", peer.peer }, { "term", peer.term }, { "why", peer.why } });
    this->channel.lost(peer, now);
}

// A few at a time, so that the records of a busy hour do not go out in one append.
void Leadership::forgetOldJobs(Millis now)
{
    if (now < this->forgetAt)
        return;
    this->forgetAt = now + forgetEvery;
    std::vector<std::string> old;
    for (const auto& [id, entry] : this->jobs.all()) {
        const bool over = entry.job && entry.finalSince > 0 && now - entry.finalSince > this->services.settings.statusKept * statusSpare;
        if (over && old.size() < mostForgotten)
            old.push_back(id);
    }
    this->planner->forget(old);
}

Millis Leadership::nextWake(Millis now, Millis wall) const
{
    if (!this->planner)
        return now + listPause;
    Millis nextPlan = std::max(this->planner->nextWake(now, wall), this->nextTurn);
    if (this->planner->hasPollsLeft())
        nextPlan = std::min(nextPlan, std::max(now, this->nextPolls));
    return std::min({ nextPlan, this->channel.nextWake(), now + listPause });
}

void Leadership::carryOut(Orders orders, Millis now)
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

// The service takes questions one after the other, so a question may wait for those
// that were asked just before.
void Leadership::sendAdvice(const tasks::AdviceOrder& order)
{
    http::Call call = this->services.workers.advise(order);
    call.purpose = "advice";
    call.address = this->services.settings.adviceAddress;
    const Millis expected = order.terms.each + order.terms.perWorker * static_cast<Millis>(order.workers.size());
    call.timeout = std::chrono::milliseconds(expected * adviceQueue) + adviceTimeout;
    call.connectTimeout = connectTimeout;
    this->services.client.send(std::move(call), [this, order](const http::Reply& reply) {
        const auto allowed = this->services.workers.parseAdvice(reply);
        const Millis now = this->services.clock.now();
        this->services.metrics.count("rattan_orders_total", { { "order", "advice" }, { "outcome", allowed ? "answered" : "no_answer" } });
        if (allowed)
            return this->planner->adviceAnswered(order.step, *allowed, now);
        logEvent(events::orderRefused, { { "order", "advice" }, { "job", order.step.job }, { "step", order.step.step }, { "workers", order.workers.size() }, { "status", reply.status } });
        this->planner->adviceFailed(order.step, now);
    });
}

// An order may wait for seconds behind others that get no answer. A lease from when it is
// sent would outlive what the planner counts from its decision: it would take the run for
// over, and start the task a second time while it still runs.
void Leadership::sendStart(const tasks::StartOrder& order)
{
    const Millis leaseEnd = this->clocks.show(order.worker, order.decidedAt).value_or(0) + this->services.settings.longestLease;
    const Millis sentAt = this->services.clock.now();
    this->channel.send({ order, this->number, leaseEnd }, [this, order, sentAt](const WorkerAnswer& answer) {
        const auto& reply = std::get<StartReply>(answer.reply);
        const Millis now = this->services.clock.now();
        this->observeOrder("start", sentAt, now);
        if (reply.clock)
            this->clocks.heard(order.worker, *reply.clock, now);
        this->services.metrics.count("rattan_orders_total", { { "order", "start" }, { "outcome", std::string(tasks::nameOf(reply.answer)) } });
        if (now - order.decidedAt >= slowOrder)
            logEvent(events::orderSlow, { { "order", "start" }, { "run", runText(order.run) }, { "worker", order.worker.id }, { "since_decided_ms", now - order.decidedAt }, { "since_sent_ms", now - sentAt } });
        if (reply.answer != StartAnswer::Started)
            logEvent(events::orderRefused, { { "order", "start" }, { "run", runText(order.run) }, { "worker", order.worker.id }, { "answer", tasks::nameOf(reply.answer) }, { "status", answer.status } });
        this->planner->startAnswered(order.worker, order.run, reply.answer, now);
    });
}

void Leadership::sendStop(const tasks::StopOrder& order)
{
    const Millis sentAt = this->services.clock.now();
    this->channel.send({ order, this->number, std::nullopt }, [this, order, sentAt](const WorkerAnswer& answer) {
        const auto& reply = std::get<StopReply>(answer.reply);
        const Millis now = this->services.clock.now();
        this->observeOrder("stop", sentAt, now);
        if (reply.clock)
            this->clocks.heard(order.worker, *reply.clock, now);
        this->services.metrics.count("rattan_orders_total", { { "order", "stop" }, { "outcome", reply.taken ? "taken" : "not_taken" } });
        if (!reply.taken)
            logEvent(events::orderRefused, { { "order", "stop" }, { "run", runText(order.run) }, { "worker", order.worker.id }, { "status", answer.status } });
        if (reply.deposed)
            this->isLost = true;
        this->planner->stopAnswered(order.worker, order.run, reply.taken, now);
    });
}

void Leadership::observeOrder(const char* kind, Millis sentAt, Millis now)
{
    constexpr double millisPerSecond = 1000;
    this->services.metrics.observe("rattan_order_seconds", { { "order", kind } }, static_cast<double>(now - sentAt) / millisPerSecond);
}

void Leadership::sendPoll(const tasks::PollOrder& order, Millis now)
{
    std::optional<Millis> leaseEnd;
    if (const auto shown = this->clocks.show(order.worker, now); shown && order.renews)
        leaseEnd = *shown + this->services.settings.longestLease;
    this->channel.send({ order, this->number, leaseEnd }, [this, order, now](const WorkerAnswer& answer) {
        const auto& reply = std::get<PollReply>(answer.reply);
        const Millis heardAt = this->services.clock.now();
        this->services.metrics.count("rattan_orders_total", { { "order", "poll" }, { "outcome", reply.report ? "answered" : std::string(tasks::nameOf(reply.fault)) } });
        if (!reply.report)
            return this->planner->pollFailed(order.worker, order.beside, reply.fault, heardAt);
        this->clocks.heard(order.worker, reply.report->clock, heardAt);
        this->planner->pollAnswered(order.worker, now, order.beside, *reply.report, heardAt);
    });
}

void Leadership::logPlanEvent(const tasks::PlanEvent& event) const
{
    this->services.metrics.count("rattan_decisions_total", { { "kind", std::string(nameOf(event.kind)) } });
    const std::string_view kind = nameOf(event.kind);
    logEvent(events::decided, { { "kind", kind }, { "job", event.job }, { "unit", event.unit }, { "run", event.run }, { "worker", event.worker }, { "why", event.detail }, { "term", this->number } }, kind);
}

void Leadership::logRound(Millis took) const
{
    const tasks::TaskPlanner::Round& round = this->planner->lastRound();
    logEvent(events::roundSlow, { { "took_ms", took }, { "units", round.kind == tasks::RoundKind::Urgent ? "urgent" : "all" }, { "candidates", round.candidates }, { "placed", round.placed }, { "searches", round.searches }, { "eviction_searches", round.evictionSearches }, { "reservations", round.reservations }, { "term", this->number } });
}

void Leadership::recordRead(Stream, const StoreRecord& record, Millis)
{
    auto& target = this->loadingList ? this->loadingSightings : this->sightings;
    this->listChanged = true;
    if (record.value.empty()) {
        target.erase(record.key);
        return;
    }
    const Attempt<tasks::WorkerSighting> sighting = attempt([&] { return this->services.workers.parseSighting(record.key, record.value); });
    if (sighting.value) {
        target[record.key] = *sighting.value;
        return;
    }
    // Written by somebody else, or damaged: it names no worker to use.
    target.erase(record.key);
    logEvent(events::recordUnreadable, { { "stream", "workers" }, { "key", record.key }, { "why", sighting.error.message } });
}

void Leadership::loadBegun(Stream)
{
    this->loadingList = true;
    this->loadingSightings.clear();
}

void Leadership::streamConfirmed(Stream, std::int64_t, Millis, Millis)
{
    if (!this->loadingList)
        return;
    this->loadingList = false;
    this->sightings = std::move(this->loadingSightings);
    this->loadingSightings.clear();
    this->listChanged = true;
}

void Leadership::streamFailed(Stream, const std::string& why, Millis)
{
    this->services.metrics.count("rattan_store_failures_total", { { "stream", "workers" } });
    static_cast<void>(why);
}

} // namespace rattan::instance
