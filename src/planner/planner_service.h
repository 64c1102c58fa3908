#pragma once

// The RPC face of the planner. Lives on the RPC server's thread and must not
// block: it reads the shared state under its lock. Questions about jobs and the
// domain go on to the active planner of the domain, once, when that is another
// instance.

#include "peers/peers.h"
#include "planner/decision_loop.h"
#include "rpc/rattan.capnp.h"

#include <capnp/ez-rpc.h>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace rattan::planner {

class PlannerService final : public rpc::Planner::Server {
public:
    PlannerService(SharedPlanner&, peers::Peers&, const JobTail&, std::function<void()> onDrain);

protected:
    kj::Promise<void> config(ConfigContext) override;
    kj::Promise<void> job(JobContext) override;
    kj::Promise<void> jobs(JobsContext) override;
    kj::Promise<void> domain(DomainContext) override;
    kj::Promise<void> greet(GreetContext) override;
    kj::Promise<void> drain(DrainContext) override;
    kj::Promise<void> jobRecords(JobRecordsContext) override;

private:
    // The active planner to ask instead; null if the answer is to be had here.
    std::unique_ptr<capnp::EzRpcClient> elsewhere(bool forwarded);

    SharedPlanner& shared;
    peers::Peers& peers;
    const JobTail& tail;
    std::function<void()> onDrain;
};

} // namespace rattan::planner
