// The loop, callers' requests and answers, and appends of their records. Terms of planning are in
// control_loop_term.cc, stream events in control_loop_streams.cc, and the relaying of orders in
// control_loop_delivery.cc.

#include "instance/control_loop.h"

#include "base/random.h"
#include "base/thread_usage.h"
#include "instance/caller_limits.h"
#include "instance/claim_record.h"
#include "instance/control_loop_limits.h"
#include "instance/events.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::instance {

using namespace detail;

namespace {

    StreamReaderOptions readerOptions(const InstanceSettings& settings, Stream stream)
    {
        StreamReaderOptions options { .stream = stream, .address = settings.storeAddress, .wait = stream == Stream::Configuration ? configurationReadWait : streamReadWait };
        if (stream == Stream::Jobs)
            options.batchInterval = jobsBatchInterval;
        if (stream == Stream::Plans)
            options.wait = 0;
        if (stream == Stream::Claims && settings.processorCores < minPlanningCores)
            options.batchInterval = weakClaimsBatchInterval;
        return options;
    }

    tasks::ElectionOptions electionOptions(const InstanceSettings& settings)
    {
        constexpr std::size_t processDigits = 8;
        tasks::ElectionOptions options;
        options.machine = fmt::format("{}@{}", settings.name, settings.callerAddress);
        options.holder = formatHolder(settings.name, settings.callerAddress, randomHex(processDigits));
        const double weakness = 1 - std::min(settings.processorCores / minPlanningCores, 1.0);
        options.jitter = static_cast<Millis>(randomBelow(maxElectionJitter)) + static_cast<Millis>(weakness * static_cast<double>(maxWeaknessDelay));
        return options;
    }

    GatewayOptions gatewayOptions(const InstanceSettings& settings)
    {
        constexpr double maxAgeShare = 0.8; // Of the time after which a revoked key must be rejected.
        GatewayOptions options;
        options.maxSuspension = settings.statusRetention;
        options.maxRecordBytes = settings.maxRecordBytes;
        options.maxJobBytes = callerLimits(settings).maxJobBytes;
        options.maxConfigurationAge = static_cast<Millis>(static_cast<double>(settings.keyExpiry) * maxAgeShare);
        return options;
    }

} // namespace

ControlLoop::ControlLoop(InstanceSettings settings, Protocols protocols, const Clock& clock, Metrics& metrics)
    : settings(std::move(settings))
    , protocols(protocols)
    , clock(clock)
    , metrics(metrics)
    , client({ .maxConnectionsPerPeer = maxConnectionsPerPeer }, clock)
    , gateway(gatewayOptions(this->settings), protocols.callers, this->jobs)
    , requestForwarder(this->client, protocols.callers, clock, this->settings.callerAddress)
    , readiness(this->settings.domain)
    , configurationReader(this->client, protocols.store, clock, readerOptions(this->settings, Stream::Configuration), *this)
    , jobsReader(this->client, protocols.store, clock, readerOptions(this->settings, Stream::Jobs), *this)
    , claimsReader(this->client, protocols.store, clock, readerOptions(this->settings, Stream::Claims), *this)
    , plansReader(this->client, protocols.store, clock, readerOptions(this->settings, Stream::Plans), *this)
    , election(electionOptions(this->settings), clock.now())
    , deliveryThread(this->settings.peerAddress, [this] { this->client.wake(); })
    , orderForwarder(this->jobs, this->deliveryThread, clock, [this](std::uint64_t session) { return this->channelFor(session); })
    , relaySelector({ this->settings.processorCores, this->settings.linkMegabitsPerSecond })
    , catalog(std::make_shared<tasks::Catalog>())
    , requestQueue(maxQueuedRequests)
    , largeRequestQueue(maxQueuedLargeRequests)
    , trafficReport(metrics)
{
    this->requestForwarder.setPeerObserver([this](const CallerAnswer& answer) {
        const bool reachesStore = answer.outcome != Outcome::NotNow && answer.outcome != Outcome::Unknown;
        this->readiness.peerAnswered(answer.domain, reachesStore, this->clock.now());
        this->gateway.requireConfigurationVersion(answer.configurationVersion);
    });
}

ControlLoop::~ControlLoop() { this->stop(); }

void ControlLoop::start()
{
    this->openPeerSocket();
    this->startDeliveryThread();
    this->thread = std::thread([this] { this->runLoop(); });
}

void ControlLoop::stop()
{
    this->stopping = true;
    this->client.wake();
    if (this->thread.joinable())
        this->thread.join();
    this->deliveryThread.stop();
}

void ControlLoop::drain(Millis answerDeadline)
{
    this->answerDeadline = answerDeadline;
    this->draining = true;
    this->client.wake();
}

void ControlLoop::apply(const InstanceSettings& newSettings)
{
    const std::lock_guard lock(this->newSettingsMutex);
    this->newSettings = newSettings;
}

CallerAnswer ControlLoop::handleRequest(CallerRequest request)
{
    const Millis timeout = request.timeout > 0 ? request.timeout : defaultCallerTimeout;
    QueuedRequest queued { .request = std::move(request), .answer = {}, .callerDeadline = this->clock.now() + timeout };
    std::future<CallerAnswer> answer = queued.answer.get_future();
    // NOLINTBEGIN(bugprone-use-after-move): tryPush() moves the request only if it succeeds.
    const bool isLarge = queued.request.body.size() > maxSmallBodyBytes;
    const bool isQueued = isLarge && this->largeRequestQueue.tryPush(std::move(queued));
    if (isLarge && !isQueued) {
        queued.request.body = {};
        queued.request.bodyRefusal = http::BodyRefusal::NoMemory;
    }
    // NOLINTEND(bugprone-use-after-move)
    if (!isQueued && (this->stopping || !this->requestQueue.tryPush(std::move(queued))))
        return { .outcome = Outcome::NotNow, .retryAfter = 1000, .message = "too many requests wait" };
    this->client.wake();
    return answer.get();
}

void ControlLoop::runLoop()
{
    while (!this->stopping) {
        const Millis startedAt = this->clock.now();
        const ThreadUsage usageAtStart = ThreadUsage::current();
        const std::uint64_t timeoutsAtStart = this->client.timedOutCalls();
        this->step();
        const Millis now = this->clock.now();
        const Millis wait = this->largeRequestQueue.size() > 0 ? 0 : std::clamp<Millis>(this->nextWake(now, this->clock.wall()) - now, 0, maxLoopWait);
        this->client.run(std::chrono::milliseconds(wait));
        const Millis overrun = this->clock.now() - startedAt - wait;
        if (overrun < slowIterationThreshold)
            continue;
        this->gateway.resumed(overrun, this->clock.now());
        const ThreadUsage used = ThreadUsage::current() - usageAtStart;
        logEvent(events::slowIteration, { { "late_ms", overrun }, { "round_ms", now - startedAt }, { "leads", this->leadership ? 1 : 0 }, { "processor_ms", used.processorTime }, { "preempted", used.involuntarySwitches }, { "major_faults", used.majorFaults }, { "timed_out", this->client.timedOutCalls() - timeoutsAtStart } });
    }
    this->endTerm("the program stops");
    for (BoundedQueue<QueuedRequest>* queue : { &this->requestQueue, &this->largeRequestQueue }) {
        queue->close();
        while (auto queued = queue->pop())
            queued->answer.set_value({ .outcome = Outcome::NotNow, .retryAfter = 1000, .message = "this instance stops" });
    }
    this->answerAll({ .outcome = Outcome::Unknown, .message = "this instance stops" });
}

void ControlLoop::step()
{
    const Millis now = this->clock.now();
    const Millis wallTime = this->clock.wall();
    this->client.setGroup(0);
    this->applyNewSettings();
    this->acceptRequests(now, wallTime);
    this->configurationReader.step(now);
    // A relay can send a start only if it has the job, so it needs each job as soon as the
    // planner has it.
    this->jobsReader.setLowLatency(this->leadership || this->orderForwarder.hasSessions() || this->gateway.isAwaitingJobEnd());
    this->jobsReader.step(now);
    this->claimsReader.step(now);
    if (this->gateway.needsJobsRead() || this->gateway.shouldProbeStore(now) || (this->leadership && this->leadership->needsJobsRead()))
        this->jobsReader.probe();
    if (this->leadership && this->leadership->needsConfiguration())
        this->configurationReader.probe();
    this->gateway.setAnswerDeadline(this->answerDeadline);
    this->requestForwarder.setAnswerDeadline(this->answerDeadline);
    this->gateway.setPeerAvailable(this->requestForwarder.hasPeer());
    this->gateway.step(now);
    this->appendRecords(now);
    this->answerCallers();
    // Covers forwarded requests that the other instance has not answered yet.
    if (now >= this->answerDeadline)
        this->answerAll({ .outcome = Outcome::Unknown, .message = "this instance stops" });
    this->watchPlanner(now);
    this->runElection(now);
    if (this->leadership)
        this->leadership->setEvacuationsKnown(this->areEvacuationsKnown(now), now);
    this->stepLeadership(now, wallTime);
    this->processDeliveryEvents(now);
    this->updateReadiness(now);
    this->publishGauges(now);
}

void ControlLoop::updateReadiness(Millis now)
{
    const Readiness::Condition condition { .isLoaded = this->gateway.isLoaded(), .isStopping = this->draining, .reachesStore = this->gateway.isStoreReachable(now), .hasCurrentConfiguration = this->gateway.hasCurrentConfiguration(now) };
    if (this->readiness.step(condition, now))
        logEvent(events::readinessChanged, { { "state", nameOf(this->readiness.state()) }, { "ready", this->readiness.isReady() ? 1 : 0 } });
    this->ready = this->readiness.isReady();
    this->gateway.setStoreAway(this->readiness.state() == ReadinessState::StoreAway, now);
}

Millis ControlLoop::nextWake(Millis now, Millis wallTime) const
{
    return std::min(this->orderForwarder.nextWake(), this->leadership ? this->leadership->nextWake(now, wallTime) : now + maxLoopWait);
}

void ControlLoop::acceptRequests(Millis now, Millis wallTime)
{
    while (this->requestQueue.size() > 0) {
        std::optional<QueuedRequest> queued = this->requestQueue.popFor(std::chrono::milliseconds(0));
        if (!queued)
            break;
        this->acceptRequest(std::move(*queued), now, wallTime);
    }
    if (this->largeRequestQueue.size() == 0)
        return;
    std::optional<QueuedRequest> queued = this->largeRequestQueue.popFor(std::chrono::milliseconds(0));
    if (!queued)
        return;
    if (now < queued->callerDeadline)
        return this->acceptRequest(std::move(*queued), now, wallTime);
    queued->answer.set_value({ .outcome = Outcome::Unknown, .message = "too many requests with large bodies wait" });
}

void ControlLoop::acceptRequest(QueuedRequest queued, Millis now, Millis wallTime)
{
    const std::uint64_t ticket = ++this->lastTicket;
    this->gateway.handleRequest(ticket, queued.request, now, wallTime);
    this->unansweredRequests.emplace(ticket, UnansweredRequest { std::move(queued.answer), std::move(queued.request) });
}

// Applies the settings that can change at runtime. Addresses cannot change before a restart,
// since other instances and callers know this instance by them.
void ControlLoop::applyNewSettings()
{
    const std::lock_guard lock(this->newSettingsMutex);
    if (!this->newSettings)
        return;
    this->settings.maxLease = this->newSettings->maxLease;
    this->settings.stopTimeout = this->newSettings->stopTimeout;
    this->settings.statusRetention = this->newSettings->statusRetention;
    this->settings.stopGrace = this->newSettings->stopGrace;
    this->newSettings.reset();
}

void ControlLoop::answerCallers()
{
    for (GatewayAnswer& answered : this->gateway.takeAnswers()) {
        const auto found = this->unansweredRequests.find(answered.ticket);
        if (found == this->unansweredRequests.end())
            continue;
        if (!this->requestForwarder.shouldForward(found->second.request, answered.answer, answered.waitTime)) {
            if (!answered.isProvisional)
                this->answerCaller(answered);
            continue;
        }
        this->metrics.count("rattan_relayed_total", { { "for_want_of", std::string(nameOf(answered.answer.outcome)) } });
        found->second.request.configurationVersion = this->gateway.requiredOfPeers();
        const Millis forwardedAt = this->clock.now();
        this->requestForwarder.forward(found->second.request, answered.answer, answered.waitTime, [this, answered, forwardedAt](const CallerAnswer& answer) {
            if (answered.isProvisional && answer.outcome == Outcome::Unknown)
                return; // The gateway still tries to resolve the request.
            if (answered.isProvisional)
                this->gateway.withdraw(answered.ticket);
            GatewayAnswer forwarded = answered;
            forwarded.answer = answer;
            forwarded.waitTime += this->clock.now() - forwardedAt;
            this->answerCaller(forwarded);
        });
    }
}

void ControlLoop::answerCaller(const GatewayAnswer& answered)
{
    const auto found = this->unansweredRequests.find(answered.ticket);
    if (found == this->unansweredRequests.end())
        return;
    const Outcome outcome = answered.answer.outcome;
    constexpr double millisPerSecond = 1000;
    this->metrics.count("rattan_requests_total", { { "outcome", std::string(nameOf(outcome)) } });
    this->metrics.observe("rattan_request_seconds", {}, static_cast<double>(answered.waitTime) / millisPerSecond);
    const bool isStateReply = found->second.request.kind == RequestKind::State && (outcome == Outcome::State || outcome == Outcome::Pending);
    if (!isStateReply)
        logEvent(events::callerAnswered, { { "outcome", nameOf(outcome) }, { "job", answered.jobId }, { "waited_ms", answered.waitTime }, { "configuration", this->catalog->version }, { "why", answered.answer.message } });
    CallerAnswer answer = answered.answer;
    if (!found->second.request.forwarded)
        answer.configurationVersion = 0;
    answer.domain = found->second.request.forwarded ? this->settings.domain : "";
    found->second.answer.set_value(std::move(answer));
    this->unansweredRequests.erase(found);
}

void ControlLoop::answerAll(const CallerAnswer& answer)
{
    for (auto& [ticket, unanswered] : this->unansweredRequests) {
        const std::string& path = unanswered.request.path;
        this->metrics.count("rattan_requests_total", { { "outcome", std::string(nameOf(answer.outcome)) } });
        logEvent(events::callerAnswered, { { "outcome", nameOf(answer.outcome) }, { "job", path.substr(path.rfind('/') + 1) }, { "configuration", this->catalog->version }, { "why", answer.message } });
        unanswered.answer.set_value(answer);
    }
    this->unansweredRequests.clear();
}

void ControlLoop::appendRecords(Millis now)
{
    if (this->appendInFlight || now < this->nextAppendAt)
        return;
    const std::vector<StoreRecord> records = this->gateway.takeRecords(maxRecordsPerAppend, maxBytesPerAppend);
    if (records.empty())
        return;
    std::vector<std::string> keys;
    keys.reserve(records.size());
    for (const StoreRecord& record : records)
        keys.push_back(record.key);
    http::Call call = this->protocols.store.append(Stream::Jobs, records, {});
    call.purpose = "append";
    call.address = this->settings.storeAddress;
    call.timeout = appendTimeout;
    call.connectTimeout = connectTimeout;
    this->appendInFlight = true;
    this->metrics.count("rattan_store_calls_total", { { "call", "append" } });
    this->client.send(std::move(call), [this, keys](const http::Reply& reply) {
        this->appendInFlight = false;
        const AppendStatus status = this->protocols.store.parseAppend(reply).status;
        const Millis now = this->clock.now();
        if (reply.transmissions > 1)
            logEvent(events::appendRepeated, { { "stream", "jobs" }, { "status", nameOf(status) }, { "http_status", reply.status }, { "transmissions", reply.transmissions }, { "keys", fmt::format("{}", fmt::join(keys, ",")) } });
        if (status != AppendStatus::Appended) {
            this->nextAppendAt = now + appendRetryDelay;
            logEvent(events::appendFailed, { { "stream", "jobs" }, { "status", nameOf(status) }, { "http_status", reply.status }, { "transmissions", reply.transmissions }, { "records", keys.size() }, { "keys", fmt::format("{}", fmt::join(keys, ",")) } });
        }
        this->gateway.appendCompleted(keys, status, now);
    });
}

void ControlLoop::publishGauges(Millis now)
{
    if (now < this->nextGaugesAt)
        return;
    this->nextGaugesAt = now + gaugesInterval;
    this->metrics.set("rattan_configuration_version", {}, static_cast<double>(this->catalog->version));
    this->metrics.set("rattan_leads", {}, this->leadership ? 1 : 0);
    this->metrics.set("rattan_job_bytes", {}, static_cast<double>(this->jobs.heldBytes()));
    this->metrics.set("rattan_requests_waiting", {}, static_cast<double>(this->gateway.waitingCount()));
    this->trafficReport.publish(this->client.traffic(), now);
    constexpr double millisPerSecond = 1000;
    for (const auto& [domain, since] : this->evacuatedDomains.all())
        this->metrics.set("rattan_evacuated_runs", { { "domain", domain } }, this->leadership ? static_cast<double>(this->leadership->runCountIn(domain)) : 0);
    if (const tasks::ForecastCoverage* coverage = this->leadership ? this->leadership->forecastCoverage() : nullptr) {
        for (std::size_t i = 0; i < tasks::ForecastCoverage::quantiles.size(); ++i) {
            if (coverage->runs(i) > 0)
                this->metrics.set("rattan_forecast_coverage", { { "quantile", fmt::format("{}", tasks::ForecastCoverage::quantiles.at(i)) } }, coverage->share(i));
        }
    }
    const tasks::IdleJobCounts* known = this->leadership ? this->leadership->idleJobs() : nullptr;
    const tasks::IdleJobCounts idleJobs = known ? *known : tasks::IdleJobCounts {};
    for (std::size_t i = 0; i < tasks::idleCauseNames.size(); ++i)
        this->metrics.set("rattan_idle_jobs", { { "cause", std::string(tasks::idleCauseNames.at(i)) } }, static_cast<double>(idleJobs.byCause.at(i)));
    for (std::size_t i = 0; i < tasks::withholdingNames.size(); ++i)
        this->metrics.set("rattan_passed_over_jobs", { { "withheld_by", std::string(tasks::withholdingNames.at(i)) } }, static_cast<double>(idleJobs.passedOver.at(i)));
    this->metrics.set("rattan_idle_jobs_beside_unused_resources", {}, static_cast<double>(idleJobs.besideUnusedResources));
    this->metrics.set("rattan_longest_idle_seconds", {}, static_cast<double>(idleJobs.longest) / millisPerSecond);
    if (this->leadership)
        this->metrics.set("rattan_term_left_seconds", {}, static_cast<double>(this->election.termEndTime() - now) / millisPerSecond);
    for (const auto& [stream, reader] : { std::pair("configuration", &this->configurationReader), std::pair("jobs", &this->jobsReader), std::pair("claims", &this->claimsReader) })
        this->metrics.set("rattan_picture_age_seconds", { { "stream", stream } }, static_cast<double>(now - reader->confirmedAt()) / millisPerSecond);
}

} // namespace rattan::instance
