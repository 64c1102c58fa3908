#include "planner/planner_service.h"

#include "peers/state_message.h"
#include "planner/view_messages.h"

namespace rattan::planner {

namespace {

    constexpr std::uint32_t mostJobViews = 1000;
    constexpr std::uint32_t mostSnapshotRecords = 5000;

} // namespace

PlannerService::PlannerService(SharedPlanner& shared, peers::Peers& peers, const JobTail& tail, std::function<void()> onDrain)
    : shared(shared)
    , peers(peers)
    , tail(tail)
    , onDrain(std::move(onDrain))
{
}

kj::Promise<void> PlannerService::config(ConfigContext context)
{
    const config::Version version = this->peers.textInForce();
    auto config = context.getResults().initConfig();
    config.setVersion(static_cast<std::uint64_t>(version.number));
    if (static_cast<std::uint64_t>(version.number) > context.getParams().getAfter()) {
        config.setText(version.yaml);
        config.setAuthor(version.author);
    }
    return kj::READY_NOW;
}

kj::Promise<void> PlannerService::job(JobContext context)
{
    const auto params = context.getParams();
    if (auto active = this->elsewhere(params.getForwarded())) {
        auto request = active->getMain<rpc::Planner>().jobRequest();
        request.setWorkspace(params.getWorkspace());
        request.setKey(params.getKey());
        request.setForwarded(true);
        return request.send().then([context, active = kj::mv(active)](auto&& response) mutable { context.setResults(response); });
    }
    const std::lock_guard lock(this->shared.mutex);
    const auto report = this->shared.planner.report(params.getWorkspace(), params.getKey());
    context.getResults().setFound(report.has_value());
    if (report)
        fill(context.getResults().initView(), *report);
    return kj::READY_NOW;
}

kj::Promise<void> PlannerService::jobs(JobsContext context)
{
    const auto params = context.getParams();
    if (auto active = this->elsewhere(params.getForwarded())) {
        auto request = active->getMain<rpc::Planner>().jobsRequest();
        request.setWorkspace(params.getWorkspace());
        request.setLimit(params.getLimit());
        request.setForwarded(true);
        return request.send().then([context, active = kj::mv(active)](auto&& response) mutable { context.setResults(response); });
    }
    const std::lock_guard lock(this->shared.mutex);
    const auto reports = this->shared.planner.newest(params.getWorkspace(), std::min(params.getLimit(), mostJobViews));
    auto views = context.getResults().initViews(static_cast<unsigned>(reports.size()));
    for (unsigned i = 0; i < views.size(); ++i)
        fill(views[i], reports[i]);
    return kj::READY_NOW;
}

kj::Promise<void> PlannerService::domain(DomainContext context)
{
    if (auto active = this->elsewhere(context.getParams().getForwarded())) {
        auto request = active->getMain<rpc::Planner>().domainRequest();
        request.setForwarded(true);
        return request.send().then([context, active = kj::mv(active)](auto&& response) mutable { context.setResults(response); });
    }
    const std::lock_guard lock(this->shared.mutex);
    auto view = context.getResults().initView();
    fill(view, this->shared.planner.domainReport());
    view.setLogReachable(this->tail.reachable());
    if (this->shared.planner.stage() != Stage::Standby)
        view.setActiveInstance(this->peers.own().instance);
    const auto known = this->peers.known();
    auto instances = view.initInstances(static_cast<unsigned>(known.size()));
    for (unsigned i = 0; i < instances.size(); ++i)
        peers::fill(instances[i], known[i]);
    return kj::READY_NOW;
}

kj::Promise<void> PlannerService::greet(GreetContext context)
{
    const auto params = context.getParams();
    this->peers.heard(peers::readReport(params.getFrom()), peers::readReports(params.getKnown()));
    peers::fill(context.getResults().initOwn(), this->peers.own());
    const auto known = this->peers.sample();
    auto list = context.getResults().initKnown(static_cast<unsigned>(known.size()));
    for (unsigned i = 0; i < list.size(); ++i)
        peers::fill(list[i], known[i]);
    return kj::READY_NOW;
}

kj::Promise<void> PlannerService::drain(DrainContext)
{
    this->onDrain();
    return kj::READY_NOW;
}

kj::Promise<void> PlannerService::jobRecords(JobRecordsContext context)
{
    const std::lock_guard lock(this->shared.mutex);
    const auto snapshot = this->shared.planner.snapshot();
    const std::uint64_t from = std::min<std::uint64_t>(context.getParams().getAfter(), snapshot.size());
    const std::uint64_t count = std::min<std::uint64_t>(snapshot.size() - from, std::min(context.getParams().getLimit(), mostSnapshotRecords));
    auto list = context.getResults().initRecords(static_cast<unsigned>(count));
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setOffset(from + i);
        list[i].setRecord(toJson(snapshot[from + i]).dump(-1, ' ', false, Json::error_handler_t::replace));
    }
    context.getResults().setNext(from + count);
    return kj::READY_NOW;
}

std::unique_ptr<capnp::EzRpcClient> PlannerService::elsewhere(bool forwarded)
{
    if (forwarded || this->peers.ownIsActive())
        return nullptr;
    const std::string active = this->peers.activePlanner();
    if (active.empty() || active == this->peers.own().plannerAddress)
        return nullptr;
    return std::make_unique<capnp::EzRpcClient>(active.c_str());
}

} // namespace rattan::planner
