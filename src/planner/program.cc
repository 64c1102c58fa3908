#include "planner/program.h"

#include "base/log.h"
#include "base/random.h"
#include "base/stop_signal.h"
#include "planner/config_follower.h"
#include "planner/decision_loop.h"
#include "planner/events.h"
#include "planner/list_neighbours.h"
#include "planner/planner_service.h"
#include "rpc/server.h"

#include <csignal>

namespace rattan::planner {

namespace {

constexpr std::size_t recordRing = 4096;
constexpr std::size_t incarnationDigits = 16;
constexpr std::chrono::milliseconds textPeriod { 100 };

// Hands each new text in force to the decisions.
class TextFeeder {
public:
    TextFeeder(Neighbours& neighbours, SharedPlanner& shared)
        : neighbours(neighbours)
        , shared(shared)
    {
    }

    void look()
    {
        const config::Version version = this->neighbours.textInForce();
        if (version.number <= this->given || !version.text)
            return;
        this->given = version.number;
        const std::lock_guard lock(this->shared.mutex);
        this->shared.planner.applyText(static_cast<std::uint64_t>(version.number), *version.text, SystemClock().now());
    }

private:
    Neighbours& neighbours;
    SharedPlanner& shared;
    std::int64_t given { 0 };
};

} // namespace

int runPlanner(const PlannerOptions& options)
{
    const StopSignal stop;
    const std::string incarnation = randomHex(incarnationDigits);
    platform::HttpLog log(options.log, std::chrono::milliseconds(options.logTimeoutMs));
    platform::HttpInstanceList list(options.instances, std::chrono::milliseconds(options.logTimeoutMs));
    SharedPlanner shared({ .domain = options.domain, .incarnation = incarnation, .seed = static_cast<std::uint64_t>(options.seed), .retention = options.retentionSeconds * 1000 });
    BoundedRing<JobTailItem> ring(recordRing);
    JobTail tail(log, options.domain, &ring);
    LogWriter writer(log, options.domain);
    InstanceReport own;
    own.instance = options.instance;
    own.incarnation = incarnation;
    own.domain = options.domain;
    own.plannerAddress = options.rpcAnnounce.empty() ? options.rpcListen : options.rpcAnnounce;
    own.entryAddress = options.entryAddress;
    ListNeighbours neighbours(options, own, list, log);
    TextFeeder feeder(neighbours, shared);
    DecisionLoop loop(options, incarnation, shared, ring, writer, tail, [&] {
        feeder.look();
        return neighbours.ownIsActive();
    });
    rpc::ServerThread server(options.rpcListen, [&] { return kj::heap<PlannerService>(shared, neighbours, tail, [] { kill(getpid(), SIGTERM); }); });
    if (const auto error = attemptVoid([&] { return server.start(); })) {
        logEvent(events::stopped, { { "error", error->message }, { "peer", error->peer } });
        return 1;
    }
    neighbours.start();
    tail.start();
    writer.start();
    loop.start();
    logEvent(events::started, { { "rpc", server.address() }, { "domain", options.domain } });

    stop.wait();
    logEvent(events::stopping);
    neighbours.leave();
    loop.stop();
    ring.close();
    tail.stop();
    writer.stop();
    neighbours.stop();
    server.stop();
    logEvent(events::stopped);
    return 0;
}

} // namespace rattan::planner
