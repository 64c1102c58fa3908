// The thread, what callers ask and hear, and what is appended for them. Terms of
// planning are in control_loop_term.cc, what streams tell in control_loop_streams.cc.

#include "instance/control_loop.h"

#include "base/random.h"
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
        StreamReaderOptions options { .stream = stream, .address = settings.storeAddress, .wait = stream == Stream::Configuration ? configurationWait : usualWait };
        if (stream == Stream::Jobs)
            options.gather = jobsGather;
        if (stream == Stream::Plans)
            options.wait = 0;
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
    , client({ .maxConnectionsPerPeer = connectionsPerPeer }, clock)
    , gateway(gatewayOptions(this->settings), protocols.callers, this->jobs)
    , relay(this->client, protocols.callers, clock, this->settings.callerAddress)
    , configurationReader(this->client, protocols.store, clock, readerOptions(this->settings, Stream::Configuration), *this)
    , jobsReader(this->client, protocols.store, clock, readerOptions(this->settings, Stream::Jobs), *this)
    , claimsReader(this->client, protocols.store, clock, readerOptions(this->settings, Stream::Claims), *this)
    , plansReader(this->client, protocols.store, clock, readerOptions(this->settings, Stream::Plans), *this)
    , election(electionOptions(this->settings), clock.now())
    , deliveries(this->settings.peerAddress, [this] { this->client.wake(); })
    , carrier(this->jobs, this->deliveries, clock, [this](std::uint64_t session) { return this->channelFor(session); })
    , roster({ this->settings.processorShare, this->settings.linkMegabits })
    , catalog(std::make_shared<tasks::Catalog>())
    , commands(mostCommands)
    , trafficReport(metrics)
{
}

ControlLoop::~ControlLoop() { this->stop(); }

void ControlLoop::start()
{
    this->openPeerSocket();
    this->startDeliveries();
    this->thread = std::thread([this] { this->run(); });
}

void ControlLoop::stop()
{
    this->stopping = true;
    this->client.wake();
    if (this->thread.joinable())
        this->thread.join();
    this->deliveries.stop();
}

void ControlLoop::drain(Millis lastAnswerAt)
{
    this->lastAnswerAt = lastAnswerAt;
    this->draining = true;
    this->client.wake();
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
    this->answerAll({ .outcome = Outcome::Unknown, .message = "this instance stops" });
}

void ControlLoop::round()
{
    const Millis now = this->clock.now();
    const Millis wall = this->clock.wall();
    this->client.setGroup(0);
    this->takeSettings();
    this->takeCommands(now, wall);
    this->configurationReader.step(now);
    // Whoever carries starts needs the text of their jobs as soon as the planner has it.
    this->jobsReader.hurry(this->leadership || this->carrier.isUsed() || this->gateway.awaitsEnd());
    this->jobsReader.step(now);
    this->claimsReader.step(now);
    if (this->gateway.wantsRead() || (this->leadership && this->leadership->wantsRead()))
        this->jobsReader.probe();
    this->gateway.answerEverythingBy(this->lastAnswerAt);
    this->relay.answerEverythingBy(this->lastAnswerAt);
    this->gateway.step(now);
    this->appendRecords(now);
    this->answerCallers();
    // Requests that another instance has not answered yet.
    if (now >= this->lastAnswerAt)
        this->answerAll({ .outcome = Outcome::Unknown, .message = "this instance stops" });
    this->watchPlanner(now);
    this->runElection(now);
    this->lead(now, wall);
    this->takeDeliveries(now);
    this->isReady = this->gateway.ready(now);
    this->publishGauges(now);
}

Millis ControlLoop::nextWake(Millis now, Millis wall) const
{
    return std::min(this->carrier.nextWake(), this->leadership ? this->leadership->nextWake(now, wall) : now + longestWait);
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

void ControlLoop::answerAll(const CallerAnswer& answer)
{
    for (auto& [ticket, waiting] : this->asked) {
        const std::string& path = waiting.request.path;
        this->metrics.count("rattan_requests_total", { { "outcome", std::string(nameOf(answer.outcome)) } });
        logEvent(events::answered, { { "outcome", nameOf(answer.outcome) }, { "job", path.substr(path.rfind('/') + 1) }, { "configuration", this->catalog->version }, { "why", answer.message } });
        waiting.answer.set_value(answer);
    }
    this->asked.clear();
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
    call.purpose = "append";
    call.address = this->settings.storeAddress;
    call.timeout = appendTimeout;
    call.connectTimeout = connectTimeout;
    this->appendUnderWay = true;
    this->metrics.count("rattan_store_calls_total", { { "call", "append" } });
    this->client.send(std::move(call), [this, keys](const http::Reply& reply) {
        this->appendUnderWay = false;
        const AppendStatus status = this->protocols.store.parseAppend(reply).status;
        const Millis now = this->clock.now();
        if (reply.transmissions > 1)
            logEvent(events::appendRepeated, { { "stream", "jobs" }, { "status", nameOf(status) }, { "http_status", reply.status }, { "transmissions", reply.transmissions }, { "keys", fmt::format("{}", fmt::join(keys, ",")) } });
        if (status != AppendStatus::Appended) {
            this->nextAppendAt = now + appendPause;
            logEvent(events::appendFailed, { { "stream", "jobs" }, { "status", nameOf(status) }, { "http_status", reply.status }, { "transmissions", reply.transmissions }, { "records", keys.size() }, { "keys", fmt::format("{}", fmt::join(keys, ",")) } });
        }
        this->gateway.appended(keys, status, now);
    });
}

void ControlLoop::publishGauges(Millis now)
{
    if (now < this->gaugesAt)
        return;
    this->gaugesAt = now + gaugesEvery;
    this->metrics.set("rattan_configuration_version", {}, static_cast<double>(this->catalog->version));
    this->metrics.set("rattan_leads", {}, this->leadership ? 1 : 0);
    this->metrics.set("rattan_requests_waiting", {}, static_cast<double>(this->gateway.waiting()));
    this->trafficReport.publish(this->client.traffic(), now);
    constexpr double millisPerSecond = 1000;
    if (this->leadership)
        this->metrics.set("rattan_term_left_seconds", {}, static_cast<double>(this->election.leadsUntilTime() - now) / millisPerSecond);
    for (const auto& [stream, reader] : { std::pair("configuration", &this->configurationReader), std::pair("jobs", &this->jobsReader), std::pair("claims", &this->claimsReader) })
        this->metrics.set("rattan_picture_age_seconds", { { "stream", stream } }, static_cast<double>(now - reader->confirmedAt()) / millisPerSecond);
}

} // namespace rattan::instance
