#include "instance/control_loop.h"

#include "base/random.h"
#include "instance/claim_record.h"
#include "instance/events.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::instance {

using tasks::AppendOutcome;

namespace {

    constexpr std::size_t mostCommands = 1024; // Requests between callers' threads and the loop.

    // A wait of the loop; everything that must happen sooner wakes it.
    constexpr Millis longestWait = 100;

    // A turn that takes this much longer than it waits is told of: answers are read and terms
    // renewed that much late, which one cannot tell from a slow network otherwise.
    constexpr Millis slowTurn = 200;

    // A silent connection to the store is noticed this much later than a dead one:
    // soon where work hangs on it, and well before keys are not believed any more
    // for the text, which rarely changes.
    constexpr Millis usualWait = 1000;
    constexpr Millis configurationWait = 1500;
    // Weak instances leave planning to stronger ones, by claiming this much later.
    // An eighth of a core cannot keep up with 350 workers; a quarter can.
    constexpr double enoughToPlan = 0.25; // Cores.

    // Every instance reads what happens to every job. Where nobody waits for it, one
    // read for all records of this time is enough. The planner waits for new jobs, and
    // callers wait for the ends of theirs: they hear of each record at once.
    constexpr Millis jobsGather = 250;

    // Instances that hardly ever plan need not hear of each renewal.
    constexpr Millis weakClaimsGather = 900;

    // Without a newer reading of the claims they do not claim either: twice the time that
    // a reading usually takes them.
    constexpr Millis weakClaimsTrusted = 4000;

    constexpr Millis gaugesEvery = 500; // Whoever collects them does so every few seconds.

    constexpr Millis claimTimeout = 500; // Longer than a renewal takes at a slow store, and half a term.
    constexpr std::chrono::milliseconds connectTimeout { 400 };
    constexpr std::chrono::milliseconds appendTimeout { 700 }; // Callers wait three seconds; another instance must have time to try.
    constexpr std::size_t mostRecordsAtOnce = 200; // Of one append; at usual rates there is one.
    constexpr std::size_t mostBytesAtOnce = 1 << 20; // Half of what the store takes at once.
    constexpr Millis appendPause = 50; // After an append that the store did not take.

    // Instances that all find the planner gone must not all claim at once.
    constexpr Millis electionJitter = 100;

    // Of an instance without any processor time; one with half of what planning takes waits
    // half of it. Longer than the pauses between two tries to read a store that was away,
    // so that a strong instance comes first: 350 workers are too much for an eighth of a
    // core, and with a planner there only a quarter of all work was done in time.
    constexpr Millis weakestWaits = 2000;

    // To the store: three streams wait, and the list, records, claims, appends and
    // two probes must not wait for them.
    constexpr long connectionsPerPeer = 10;

    StreamReaderOptions readerOptions(const InstanceSettings& settings, Stream stream)
    {
        StreamReaderOptions options { .stream = stream, .address = settings.storeAddress, .wait = stream == Stream::Configuration ? configurationWait : usualWait };
        if (stream == Stream::Jobs)
            options.gather = jobsGather;
        if (stream == Stream::Claims && settings.processorShare < enoughToPlan)
            options.gather = weakClaimsGather;
        return options;
    }

    tasks::ElectionOptions electionOptions(const InstanceSettings& settings)
    {
        constexpr std::size_t processDigits = 8;
        tasks::ElectionOptions options;
        options.machine = fmt::format("{}@{}", settings.name, settings.callerAddress);
        options.holder = holderText(settings.name, settings.callerAddress, randomHex(processDigits));
        const double weakness = 1 - std::min(settings.processorShare / enoughToPlan, 1.0);
        options.jitter = static_cast<Millis>(randomBelow(electionJitter)) + static_cast<Millis>(weakness * static_cast<double>(weakestWaits));
        return options;
    }

    GatewayOptions gatewayOptions(const InstanceSettings& settings)
    {
        constexpr double trustedShare = 0.8; // Of the time after which a withdrawn key must not work.
        GatewayOptions options;
        options.configurationTrusted = static_cast<Millis>(static_cast<double>(settings.keyExpiry) * trustedShare);
        return options;
    }

} // namespace

ControlLoop::ControlLoop(InstanceSettings settings, Protocols protocols, const Clock& clock, Metrics& metrics)
    : settings(std::move(settings))
    , protocols(protocols)
    , clock(clock)
    , metrics(metrics)
    , client({ .connectionsPerPeer = connectionsPerPeer }, clock)
    , gateway(gatewayOptions(this->settings), protocols.callers, this->jobs)
    , relay(this->client, protocols.callers, clock, this->settings.callerAddress)
    , configurationReader(this->client, protocols.store, clock, readerOptions(this->settings, Stream::Configuration), *this)
    , jobsReader(this->client, protocols.store, clock, readerOptions(this->settings, Stream::Jobs), *this)
    , claimsReader(this->client, protocols.store, clock, readerOptions(this->settings, Stream::Claims), *this)
    , election(electionOptions(this->settings), clock.now())
    , catalog(std::make_shared<tasks::Catalog>())
    , commands(mostCommands)
{
}

ControlLoop::~ControlLoop() { this->stop(); }

void ControlLoop::start()
{
    this->openPeerSocket();
    this->thread = std::thread([this] { this->run(); });
}

void ControlLoop::stop()
{
    this->stopping = true;
    this->client.wake();
    if (this->thread.joinable())
        this->thread.join();
}

void ControlLoop::apply(const InstanceSettings& fresh)
{
    const std::lock_guard lock(this->freshMutex);
    this->fresh = fresh;
}

CallerAnswer ControlLoop::ask(CallerRequest request)
{
    Command command { .request = std::move(request), .answer = {} };
    std::future<CallerAnswer> answer = command.answer.get_future();
    if (this->stopping || !this->commands.tryPush(std::move(command)))
        return { .outcome = Outcome::NotNow, .retryAfter = 1000, .message = "too many requests wait" };
    this->client.wake();
    return answer.get();
}

void ControlLoop::run()
{
    while (!this->stopping) {
        const Millis begun = this->clock.now();
        this->round();
        const Millis now = this->clock.now();
        const Millis wait = std::clamp<Millis>(this->nextWake(now, this->clock.wall()) - now, 0, longestWait);
        this->client.run(std::chrono::milliseconds(wait));
        const Millis late = this->clock.now() - begun - wait;
        if (late >= slowTurn)
            logEvent(events::slowTurn, { { "late_ms", late }, { "round_ms", now - begun }, { "leads", this->leadership ? 1 : 0 } });
    }
    this->endTerm("the program stops");
    this->commands.close();
    while (auto command = this->commands.pop())
        command->answer.set_value({ .outcome = Outcome::NotNow, .retryAfter = 1000, .message = "this instance stops" });
    for (auto& [ticket, waiting] : this->asked)
        waiting.answer.set_value({ .outcome = Outcome::Unknown, .message = "this instance stops" });
    this->asked.clear();
}

void ControlLoop::round()
{
    const Millis now = this->clock.now();
    const Millis wall = this->clock.wall();
    this->client.useGroup(0);
    this->takeSettings();
    this->takeCommands(now, wall);
    this->configurationReader.step(now);
    this->jobsReader.hurry(this->leadership || this->gateway.awaitsEnd());
    this->jobsReader.step(now);
    this->claimsReader.step(now);
    if (this->gateway.wantsRead() || (this->leadership && this->leadership->wantsRead()))
        this->jobsReader.probe();
    this->gateway.step(now);
    this->appendRecords(now);
    this->answerCallers();
    this->watchPlanner(now);
    this->runElection(now);
    this->lead(now, wall);
    this->isReady = this->gateway.ready(now);
    this->publishGauges(now);
}

Millis ControlLoop::nextWake(Millis now, Millis wall) const
{
    return this->leadership ? this->leadership->nextWake(now, wall) : now + longestWait;
}

void ControlLoop::takeCommands(Millis now, Millis wall)
{
    while (this->commands.size() > 0) {
        std::optional<Command> command = this->commands.popFor(std::chrono::milliseconds(0));
        if (!command)
            return;
        const std::uint64_t ticket = ++this->lastTicket;
        this->gateway.ask(ticket, command->request, now, wall);
        this->asked.emplace(ticket, Asked { std::move(command->answer), std::move(command->request) });
    }
}

// Times and bounds are taken while running. Addresses are where others know this
// instance to be, so they stay until the next start.
void ControlLoop::takeSettings()
{
    const std::lock_guard lock(this->freshMutex);
    if (!this->fresh)
        return;
    this->settings.longestLease = this->fresh->longestLease;
    this->settings.stopTimeout = this->fresh->stopTimeout;
    this->settings.statusKept = this->fresh->statusKept;
    this->settings.grace = this->fresh->grace;
    this->fresh.reset();
}

void ControlLoop::answerCallers()
{
    for (GatewayAnswer& answered : this->gateway.takeAnswers()) {
        const auto found = this->asked.find(answered.ticket);
        if (found == this->asked.end())
            continue;
        if (!this->relay.wants(found->second.request, answered.answer, answered.waited)) {
            this->answerCaller(answered);
            continue;
        }
        this->metrics.count("rattan_relayed_total", { { "for_want_of", std::string(nameOf(answered.answer.outcome)) } });
        answered.answer.configurationVersion = this->catalog->version;
        const Millis passedAt = this->clock.now();
        this->relay.pass(found->second.request, answered.answer, answered.waited, [this, answered, passedAt](const CallerAnswer& answer) {
            this->gateway.configurationUsedElsewhere(answer.configurationVersion);
            GatewayAnswer relayed = answered;
            relayed.answer = answer;
            relayed.waited += this->clock.now() - passedAt;
            this->answerCaller(relayed);
        });
    }
}

void ControlLoop::answerCaller(const GatewayAnswer& answered)
{
    const auto found = this->asked.find(answered.ticket);
    if (found == this->asked.end())
        return;
    const Outcome outcome = answered.answer.outcome;
    constexpr double millisPerSecond = 1000;
    this->metrics.count("rattan_requests_total", { { "outcome", std::string(nameOf(outcome)) } });
    this->metrics.observe("rattan_request_seconds", {}, static_cast<double>(answered.waited) / millisPerSecond);
    const bool plain = found->second.request.kind == RequestKind::State && (outcome == Outcome::State || outcome == Outcome::Pending);
    if (!plain)
        logEvent(events::answered, { { "outcome", nameOf(outcome) }, { "job", answered.job }, { "waited_ms", answered.waited }, { "configuration", this->catalog->version }, { "why", answered.answer.message } });
    CallerAnswer answer = answered.answer;
    answer.configurationVersion = found->second.request.relayed ? this->catalog->version : 0;
    found->second.answer.set_value(std::move(answer));
    this->asked.erase(found);
}

void ControlLoop::appendRecords(Millis now)
{
    if (this->appendUnderWay || now < this->nextAppendAt)
        return;
    const std::vector<StoreRecord> records = this->gateway.takeRecords(mostRecordsAtOnce, mostBytesAtOnce);
    if (records.empty())
        return;
    std::vector<std::string> keys;
    keys.reserve(records.size());
    for (const StoreRecord& record : records)
        keys.push_back(record.key);
    http::Call call = this->protocols.store.append(Stream::Jobs, records, {});
    call.address = this->settings.storeAddress;
    call.timeout = appendTimeout;
    call.connectTimeout = connectTimeout;
    this->appendUnderWay = true;
    this->metrics.count("rattan_store_calls_total", { { "call", "append" } });
    this->client.send(std::move(call), [this, keys](const http::Reply& reply) {
        this->appendUnderWay = false;
        const AppendStatus status = this->protocols.store.parseAppend(reply).status;
        const Millis now = this->clock.now();
        if (status != AppendStatus::Appended) {
            this->nextAppendAt = now + appendPause;
            logEvent(events::appendFailed, { { "stream", "jobs" }, { "status", nameOf(status) }, { "records", keys.size() }, { "first", keys.front() } });
        }
        this->gateway.appended(keys, status, now);
    });
}

void ControlLoop::runElection(Millis now)
{
    if (this->draining)
        this->election.retire();
    const bool isWeak = this->settings.processorShare < enoughToPlan;
    if (this->claimUnderWay || (isWeak && !this->election.leads(now) && now - this->claimsReader.confirmedAt() > weakClaimsTrusted))
        return;
    const std::optional<tasks::Election::Append> append = this->election.step(now);
    if (!append)
        return;
    http::Call call = this->protocols.store.append(Stream::Claims, { { std::string(claimKey), encodeClaim(append->claim), 0 } }, { .at = append->at, .producer = std::nullopt });
    call.address = this->settings.storeAddress;
    call.timeout = std::chrono::milliseconds(claimTimeout);
    call.connectTimeout = connectTimeout;
    this->claimUnderWay = true;
    this->metrics.count("rattan_store_calls_total", { { "call", "claim" } });
    this->client.send(std::move(call), [this](const http::Reply& reply) {
        this->claimUnderWay = false;
        const AppendStatus status = this->protocols.store.parseAppend(reply).status;
        const AppendOutcome outcome = status == AppendStatus::Appended ? AppendOutcome::Appended
            : status == AppendStatus::Elsewhere                        ? AppendOutcome::Elsewhere
            : status == AppendStatus::NotDone                          ? AppendOutcome::NotDone
                                                                       : AppendOutcome::Unknown;
        this->election.appended(outcome, this->clock.now());
    });
}

// Without the socket this instance waits for terms to run out, as it does where its
// datagrams do not get through.
void ControlLoop::openPeerSocket()
{
    if (this->settings.peerAddress.empty())
        return;
    if (const auto error = attemptVoid([&] { return this->peerSocket.open(this->settings.peerAddress); }))
        logEvent(events::watchImpossible, { { "address", this->settings.peerAddress }, { "why", error->message } });
}

void ControlLoop::watchPlanner(Millis now)
{
    while (const auto datagram = this->peerSocket.receive())
        this->plannerWatch.received(datagram->from, datagram->text, now);
    const std::int64_t ownTerm = this->election.leads(now) ? this->election.term() : 0;
    const bool asks = this->settings.processorShare >= enoughToPlan;
    for (const WatchMessage& message : this->plannerWatch.step(ownTerm, this->election.renewalFailed(), now)) {
        if (ownTerm > 0 || asks)
            this->peerSocket.send(message.peer, message.text);
    }
    if (ownTerm == 0 && this->plannerWatch.plannerGone(now))
        this->election.suspect(now);
}

// Where the holder of a claim takes datagrams: all instances use the same port.
std::string ControlLoop::peerOf(const std::string& holder) const
{
    const std::string& own = this->settings.peerAddress;
    const std::string address = addressOfHolder(holder);
    if (own.empty() || address.empty() || address == this->settings.callerAddress)
        return {};
    return address.substr(0, address.rfind(':')) + own.substr(own.rfind(':'));
}

void ControlLoop::lead(Millis now, Millis wall)
{
    const bool leads = this->election.leads(now);
    if (this->leadership && (!leads || this->leadership->term() != this->election.term()))
        this->endTerm("the term was not renewed in time");
    if (this->leadership && this->leadership->lost()) {
        this->election.resign();
        this->endTerm("a later term is known to workers or the store");
    }
    if (!this->election.leads(now))
        return;
    this->client.useGroup(static_cast<int>(this->election.term()));
    if (!this->leadership) {
        const TermServices services { this->client, this->protocols.store, this->protocols.workers, this->clock, this->election, this->settings, this->metrics };
        this->metrics.count("rattan_terms_total", { { "event", "taken" } });
        this->leadership = std::make_unique<Leadership>(this->election.term(), services, this->jobs);
        this->leadership->applyCatalog(this->catalog);
    }
    this->leadership->step(now, wall);
    this->client.useGroup(0);
}

void ControlLoop::endTerm(const char* why)
{
    if (!this->leadership)
        return;
    this->metrics.count("rattan_terms_total", { { "event", "ended" } });
    logEvent(events::leadLost, { { "term", this->leadership->term() }, { "why", why } });
    this->leadership.reset();
}

void ControlLoop::recordRead(Stream stream, const StoreRecord& record, Millis now)
{
    switch (stream) {
    case Stream::Jobs:
        return this->jobRecordRead(record, now);
    case Stream::Configuration:
        return this->configurationRecordRead(record);
    case Stream::Claims:
        return this->claimRecordRead(record, now);
    case Stream::Workers:
        return;
    }
}

void ControlLoop::jobRecordRead(const StoreRecord& record, Millis now)
{
    const auto change = this->jobs.apply(record.key, record.value, record.offset, now);
    if (!change)
        return;
    this->gateway.jobChanged(change->job, now);
    if (this->leadership)
        this->leadership->jobChanged(*change, now, this->clock.wall());
}

void ControlLoop::configurationRecordRead(const StoreRecord& record)
{
    if (!this->protocols.text.isConfiguration(record.key) || record.value.empty())
        return;
    Attempt<tasks::Catalog> text = attempt([&] { return this->protocols.text.parseConfiguration(record.value); });
    if (!text.value) {
        logEvent(events::configurationUnreadable, { { "key", record.key }, { "offset", record.offset }, { "why", text.error.message } });
        return;
    }
    if (text.value->version < this->catalog->version)
        return;
    const bool newer = text.value->version > this->catalog->version;
    this->catalog = std::make_shared<const tasks::Catalog>(std::move(*text.value));
    this->gateway.configurationRead(this->catalog);
    if (this->leadership)
        this->leadership->applyCatalog(this->catalog);
    if (newer)
        logEvent(events::configurationInForce, { { "version", this->catalog->version }, { "queues", this->catalog->queues.size() }, { "offset", record.offset } });
}

void ControlLoop::claimRecordRead(const StoreRecord& record, Millis now)
{
    if (record.value.empty())
        return;
    const Attempt<tasks::Claim> claim = attempt([&] { return decodeClaim(record.value); });
    if (!claim.value) {
        logEvent(events::recordUnreadable, { { "stream", "claims" }, { "key", record.key }, { "why", claim.error.message } });
        return;
    }
    if (claim.value->holder != this->election.newestClaim().holder)
        logEvent(events::leadSeen, { { "term", claim.value->term }, { "holder", claim.value->holder } });
    this->election.recordRead(*claim.value, record.offset, now);
    this->relay.planned(addressOfHolder(claim.value->holder));
    this->plannerWatch.claimed({ claim.value->term, this->peerOf(claim.value->holder) }, now);
}

void ControlLoop::streamConfirmed(Stream stream, std::int64_t end, Millis confirmedAt, Millis now)
{
    bool& known = this->reachable[stream];
    if (!known)
        logEvent(events::storeRegained, { { "stream", nameOf(stream) }, { "end", end } });
    if (!known && stream == Stream::Claims)
        this->election.unreadUntil(now);
    known = true;
    if (stream == Stream::Configuration)
        this->gateway.configurationConfirmed(confirmedAt);
    if (stream == Stream::Claims)
        this->election.caughtUp(end);
    if (stream != Stream::Jobs)
        return;
    this->gateway.jobsRead(confirmedAt, now);
    if (this->leadership)
        this->leadership->jobsConfirmed(confirmedAt, now, this->clock.wall());
}

void ControlLoop::streamFailed(Stream stream, const std::string& why, Millis now)
{
    if (stream == Stream::Claims)
        this->election.unreadUntil(now);
    this->metrics.count("rattan_store_failures_total", { { "stream", std::string(nameOf(stream)) } });
    bool& known = this->reachable[stream];
    if (known)
        logEvent(events::storeLost, { { "stream", nameOf(stream) }, { "why", why } });
    known = false;
}

void ControlLoop::publishGauges(Millis now)
{
    if (now < this->gaugesAt)
        return;
    this->gaugesAt = now + gaugesEvery;
    this->metrics.set("rattan_configuration_version", {}, static_cast<double>(this->catalog->version));
    this->metrics.set("rattan_leads", {}, this->leadership ? 1 : 0);
    this->metrics.set("rattan_requests_waiting", {}, static_cast<double>(this->gateway.waiting()));
    constexpr double millisPerSecond = 1000;
    for (const auto& [stream, reader] : { std::pair("configuration", &this->configurationReader), std::pair("jobs", &this->jobsReader), std::pair("claims", &this->claimsReader) })
        this->metrics.set("rattan_picture_age_seconds", { { "stream", stream } }, static_cast<double>(now - reader->confirmedAt()) / millisPerSecond);
}

} // namespace rattan::instance
