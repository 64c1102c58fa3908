#include "planner/program.h"

#include "base/log.h"
#include "base/random.h"
#include "base/stop_signal.h"
#include "planner/decision_loop.h"
#include "planner/events.h"
#include "planner/planner_service.h"
#include "rpc/server.h"

#include <csignal>

namespace rattan::planner {

namespace {

    constexpr std::size_t recordRing = 4096;
    constexpr std::size_t incarnationDigits = 16;

    peers::PeersOptions peersOptions(const PlannerOptions& options, peers::InstanceReport own)
    {
        peers::PeersOptions result;
        result.own = std::move(own);
        result.seeds = options.peers;
        result.config.retention = options.retentionSeconds * 1000;
        return result;
    }

} // namespace

int runPlanner(const PlannerOptions& options)
{
    const StopSignal stop;
    const std::string incarnation = randomHex(incarnationDigits);
    platform::HttpLog log(options.log, std::chrono::milliseconds(options.logTimeoutMs));
    platform::HttpInstanceList list(options.instances, std::chrono::milliseconds(options.logTimeoutMs),
        { .kinds = { platform::InstanceKind::Entry } });
    SharedPlanner shared({ .domain = options.domain, .incarnation = incarnation, .seed = static_cast<std::uint64_t>(options.seed), .retention = options.retentionSeconds * 1000 });
    BoundedQueue<JobTailItem> ring(recordRing);
    JobTail tail(log, options.domain, &ring);
    LogWriter writer(log, options.domain);
    peers::InstanceReport own;
    own.instance = options.instance;
    own.incarnation = incarnation;
    own.domain = options.domain;
    own.plannerAddress = options.rpcAnnounce.empty() ? options.rpcListen : options.rpcAnnounce;
    own.entryAddress = options.entryAddress;
    const SystemClock clock;
    peers::Peers peers(peersOptions(options, own), clock, list, log);
    DecisionLoop loop(options, incarnation, shared, ring, writer, tail, peers);
    rpc::ServerThread server(options.rpcListen, [&] { return kj::heap<PlannerService>(shared, peers, tail, [] { kill(getpid(), SIGTERM); }); });
    if (const auto error = attemptVoid([&] { return server.start(); })) {
        logEvent(events::stopped, { { "error", error->message }, { "peer", error->peer } });
        return 1;
    }
    peers.start();
    tail.start();
    writer.start();
    loop.start();
    logEvent(events::started, { { "rpc", server.address() }, { "domain", options.domain } });

    stop.wait();
    logEvent(events::stopping);
    peers.leave();
    loop.stop();
    ring.close();
    tail.stop();
    writer.stop();
    peers.stop();
    server.stop();
    logEvent(events::stopped);
    return 0;
}

} // namespace rattan::planner
