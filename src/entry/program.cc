#include "entry/program.h"

#include "base/random.h"
#include "entry/events.h"
#include "records/job_record.h"

#include <fmt/format.h>
#include <thread>

namespace rattan::entry {

namespace {

    constexpr std::int64_t spareShare = 8; // Of the connections.

    constexpr std::chrono::milliseconds plannerTimeout(1000);
    constexpr std::chrono::milliseconds logTimeout(1500);
    constexpr std::chrono::milliseconds listTimeout(1000);
    constexpr std::size_t incarnationDigits = 12;

    constexpr std::chrono::milliseconds stopCheck(10);

    ClaimLimits claimLimits(const EntryOptions& options)
    {
        ClaimLimits limits;
        limits.window = options.claimWindowMs;
        limits.keys = static_cast<std::size_t>(options.claimsKept);
        return limits;
    }

    TicketLimits ticketLimits(const EntryOptions& options)
    {
        TicketLimits limits;
        limits.kept = static_cast<std::size_t>(options.ticketsKept);
        limits.lifetime = options.ticketTtlMs;
        return limits;
    }

} // namespace

Program::Program(const EntryOptions& given, const TextParser& parser)
    : options(given)
    , incarnation(fmt::format("{}.{}", given.instance, randomHex(incarnationDigits)))
    , planner(given.planner, plannerTimeout)
    , log(given.log, logTimeout)
    , list(given.instances, listTimeout, { .domain = given.domain, .kinds = { platform::InstanceKind::Entry, platform::InstanceKind::Executor } })
    , config(this->planner, parser)
    , publisher(this->log, this->config, parser)
    , gate(given.domain, static_cast<std::size_t>(given.waitingLimit), this->clock)
    , listWatch(this->list, this->executors, this->gate)
    , retries(given.retryPercent)
    , forwarder(this->gate, this->executors, this->retries, this->metrics, this->clock)
    , claims(this->log, this->incarnation, claimLimits(given), this->clock)
    , jobs(this->log, records::jobStream(given.domain))
    , tickets(this->incarnation, ticketLimits(given), this->clock)
    , requests(this->config, this->forwarder, this->claims, this->tickets, this->otherTickets, this->metrics, this->clock, { given.deadlineLimitMs })
    , rpcServer(given.rpcListen, [this] { return kj::heap<RpcService>(this->requests, this->ticketWorkers, this->state); })
    , server({ .address = given.listen, .maxBodyBytes = given.bodyLimit, .bodyBudgetBytes = static_cast<std::size_t>(given.bodyMemory), .maxConnections = given.connectionLimit, .spareConnections = given.connectionLimit / spareShare })
    , api({ given.instance, given.domain, given.operatorTokenSha256, this->config, this->planner, this->publisher, this->jobs,
          this->requests, this->tickets, this->gate, this->claims, this->state, this->metrics, this->clock })
    , spans(given.otlp, "rattan-entry", given.instance)
{
}

Program::~Program() { this->stop(); }

Result<void> Program::start()
{
    BOOST_LEAF_CHECK(this->rpcServer.start());
    this->tickets.setAddress(this->rpcServer.address());
    this->config.start();
    this->listWatch.start();
    this->claims.start();
    this->jobs.start();
    if (!this->options.otlp.empty())
        this->spans.start();
    this->running = true;
    this->api.install(this->server);
    BOOST_LEAF_CHECK(this->server.start());
    logEvent(entryStarted, { { "listen", this->server.address() }, { "rpc", this->rpcServer.address() }, { "incarnation", this->incarnation } });
    return {};
}

void Program::stop()
{
    if (!this->running)
        return;
    this->running = false;
    this->state.leaving = true;
    logEvent(entryStopping, { { "in_flight", this->state.inFlight.load() } });
    // The balancer needs a moment to see the 503 and look elsewhere.
    std::this_thread::sleep_for(std::chrono::milliseconds(this->options.stopNoticeMs));
    const Millis deadline = this->clock.now() + this->options.stopGraceMs;
    while (this->state.inFlight > 0 && this->clock.now() < deadline)
        std::this_thread::sleep_for(stopCheck);
    this->server.stop();
    this->ticketWorkers.stop();
    this->rpcServer.stop();
    this->listWatch.stop();
    this->config.stop();
    this->claims.stop();
    this->jobs.stop();
    this->spans.stop();
    logEvent(entryStopped, { { "in_flight", this->state.inFlight.load() } });
}

} // namespace rattan::entry
