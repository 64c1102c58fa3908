#include "entry/planner_client.h"

#include "rpc/link.h"
#include "rpc/rattan.capnp.h"

namespace rattan::entry {

namespace {

    Json toJson(rpc::JobView::Reader view)
    {
        Json workers = Json::array();
        for (const auto worker : view.getWorkers())
            workers.push_back(worker.cStr());
        return { { "key", view.getKey().cStr() }, { "workspace", view.getWorkspace().cStr() },
            { "class", view.getJobClass().cStr() }, { "state", view.getState().cStr() },
            { "reason", view.getReason().cStr() }, { "members", view.getMembers() },
            { "members_ready", view.getMembersReady() }, { "accelerators", view.getAcceleratorsPerMember() },
            { "attempt", view.getAttempt() }, { "submitted_ms", view.getSubmittedMs() },
            { "started_ms", view.getStartedMs() }, { "finished_ms", view.getFinishedMs() },
            { "workers", std::move(workers) }, { "waits_for", view.getWaitsFor().cStr() },
            { "result", view.getResult().cStr() } };
    }

    Json toJson(rpc::WorkspaceView::Reader view)
    {
        return { { "workspace", view.getWorkspace().cStr() }, { "guaranteed_accelerators", view.getGuaranteedAccelerators() },
            { "used_accelerators", view.getUsedAccelerators() }, { "borrowed_accelerators", view.getBorrowedAccelerators() },
            { "queued_urgent", view.getQueuedUrgent() }, { "queued_ordinary", view.getQueuedOrdinary() },
            { "queued_patient", view.getQueuedPatient() }, { "running", view.getRunning() } };
    }

    Json toJson(rpc::RackView::Reader view)
    {
        return { { "rack", view.getRack().cStr() }, { "workers", view.getWorkers() },
            { "accelerators", view.getAccelerators() }, { "free", view.getFree() },
            { "quarantined", view.getQuarantined() } };
    }

    Json toJson(rpc::InstanceState::Reader state)
    {
        return { { "instance", state.getInstance().cStr() }, { "incarnation", state.getIncarnation().cStr() },
            { "domain", state.getDomain().cStr() }, { "planner", state.getPlannerAddress().cStr() },
            { "entry", state.getEntryAddress().cStr() }, { "config_version", state.getConfigVersion() },
            { "leaving", state.getLeaving() }, { "driver_ready", state.getDriverReady() },
            { "age_ms", state.getAgeMs() }, { "active_planner", state.getActivePlanner() }, { "epoch", state.getEpoch() } };
    }

    template <typename List>
    Json toArray(const List& list)
    {
        Json array = Json::array();
        for (const auto item : list)
            array.push_back(toJson(item));
        return array;
    }

    Json toJson(rpc::DomainView::Reader view)
    {
        Json quarantined = Json::array();
        for (const auto worker : view.getQuarantined())
            quarantined.push_back(worker.cStr());
        return { { "domain", view.getDomain().cStr() }, { "config_version", view.getConfigVersion() },
            { "active_instance", view.getActiveInstance().cStr() }, { "epoch", view.getEpoch() },
            { "ready", view.getReady() }, { "fragmentation", view.getFragmentation() },
            { "workspaces", toArray(view.getWorkspaces()) }, { "racks", toArray(view.getRacks()) },
            { "quarantined", std::move(quarantined) }, { "instances", toArray(view.getInstances()) },
            { "log_reachable", view.getLogReachable() } };
    }

} // namespace

RpcPlanner::RpcPlanner(std::string address, std::chrono::milliseconds timeout)
    : address(std::move(address))
    , timeout(timeout)
{
}

Result<PublishedText> RpcPlanner::config(std::uint64_t after)
{
    rpc::Link<rpc::Planner> link(this->address);
    return link.call<PublishedText>(
        "planner.config", this->timeout,
        [&](auto& client) {
            auto request = client.configRequest();
            request.setAfter(after);
            return request.send();
        },
        [](auto& response) -> Result<PublishedText> {
            const auto config = response.getConfig();
            return PublishedText { config.getVersion(), config.getText().cStr(), config.getAuthor().cStr() };
        });
}

Result<std::optional<Json>> RpcPlanner::job(const std::string& workspace, const std::string& key)
{
    rpc::Link<rpc::Planner> link(this->address);
    return link.call<std::optional<Json>>(
        "planner.job", this->timeout,
        [&](auto& client) {
            auto request = client.jobRequest();
            request.setWorkspace(workspace);
            request.setKey(key);
            return request.send();
        },
        [](auto& response) -> Result<std::optional<Json>> {
            if (!response.getFound())
                return std::optional<Json>();
            return std::optional<Json>(toJson(response.getView()));
        });
}

Result<Json> RpcPlanner::jobs(const std::string& workspace, std::uint32_t limit)
{
    rpc::Link<rpc::Planner> link(this->address);
    return link.call<Json>(
        "planner.jobs", this->timeout,
        [&](auto& client) {
            auto request = client.jobsRequest();
            request.setWorkspace(workspace);
            request.setLimit(limit);
            return request.send();
        },
        [](auto& response) -> Result<Json> { return toArray(response.getViews()); });
}

Result<Json> RpcPlanner::domain()
{
    rpc::Link<rpc::Planner> link(this->address);
    return link.call<Json>(
        "planner.domain", this->timeout, [](auto& client) { return client.domainRequest().send(); },
        [](auto& response) -> Result<Json> { return toJson(response.getView()); });
}

Result<void> RpcPlanner::drain()
{
    rpc::Link<rpc::Planner> link(this->address);
    return link.call<void>(
        "planner.drain", this->timeout, [](auto& client) { return client.drainRequest().send(); },
        [](auto&) -> Result<void> { return {}; });
}

} // namespace rattan::entry
