#include "driver/service.h"

#include "driver/events.h"

#include <algorithm>

namespace rattan::driver {

namespace {

    constexpr std::size_t mostOrders = 4096;

    [[noreturn]] void raise(const Error& error)
    {
        const auto type = error.code == ErrorCode::Overloaded ? kj::Exception::Type::OVERLOADED : kj::Exception::Type::FAILED;
        const std::string text = fmt::format("{}: {}: {}", nameOf(error.code), error.step, error.message);
        kj::throwFatalException(kj::Exception(type, __FILE__, __LINE__, kj::heapString(text.c_str())));
    }

    GangMember toMember(rpc::Member::Reader reader)
    {
        return { reader.getWorker(), reader.getAddress(), reader.getAccelerators(), reader.getCores(),
            static_cast<std::int64_t>(reader.getMemoryMb()) };
    }

    GangOrder toOrder(rpc::Order::Reader reader)
    {
        GangOrder order;
        order.kind = static_cast<OrderKind>(reader.getKind());
        order.id = { reader.getJob(), reader.getAttempt() };
        for (const auto member : reader.getMembers())
            order.members.push_back(toMember(member));
        const std::string payload = reader.getPayload();
        order.payload = payload.empty() ? Json::object() : Json::parse(payload, nullptr, false);
        order.reason = reader.getReason();
        order.sharePercent = reader.getSharePercent();
        order.key = reader.getKey();
        order.workspace = reader.getWorkspace();
        order.lease = reader.getLease();
        return order;
    }

    Result<std::vector<GangOrder>> toOrders(capnp::List<rpc::Order>::Reader list)
    {
        if (list.size() > mostOrders)
            return fail(ErrorCode::TooLarge, "driver.exchange", "", "too many orders at once");
        std::vector<GangOrder> orders;
        for (const auto reader : list) {
            if (static_cast<std::uint16_t>(reader.getKind()) > static_cast<std::uint16_t>(OrderKind::ReleaseOrphan))
                return fail(ErrorCode::BadInput, "driver.exchange", "", "an order of an unknown kind");
            orders.push_back(toOrder(reader));
            if (orders.back().payload.is_discarded())
                return fail(ErrorCode::BadInput, "driver.exchange", "", "the payload is not JSON");
        }
        return orders;
    }

    void fill(rpc::DriverEvent::Builder builder, const GangEvent& event)
    {
        builder.setNumber(event.number);
        builder.setKind(static_cast<rpc::DriverEvent::Kind>(event.kind));
        builder.setJob(event.id.job);
        builder.setAttempt(event.id.attempt);
        builder.setWorker(event.worker);
        builder.setReason(event.reason);
        builder.setResult(event.result);
        builder.setMembersReady(event.membersReady);
        builder.setUsedAccelerators(static_cast<std::uint32_t>(event.usedAccelerators));
        builder.setUsedMemoryMb(static_cast<std::uint64_t>(event.usedMemoryMb));
        builder.setProgress(event.progress);
    }

    void fill(rpc::LeaseView::Builder builder, const SurveyLease& lease)
    {
        builder.setLease(lease.lease);
        builder.setJob(lease.id.job);
        builder.setAttempt(lease.id.attempt);
        builder.setState(std::string(platform::nameOf(lease.state)));
        builder.setAccelerators(static_cast<std::uint32_t>(lease.accelerators));
        builder.setRemainingMs(lease.remaining);
        builder.setKey(lease.key);
        builder.setWorkspace(lease.workspace);
        builder.setGangSize(lease.gangSize);
        builder.setCores(static_cast<std::uint32_t>(lease.cores));
        builder.setMemoryMb(static_cast<std::uint64_t>(lease.memoryMb));
    }

    void fill(rpc::WorkerView::Builder builder, const SurveyWorker& worker)
    {
        builder.setWorker(worker.worker);
        builder.setAddress(worker.address);
        builder.setRack(worker.rack);
        builder.setAccelerators(static_cast<std::uint32_t>(worker.accelerators));
        builder.setCores(static_cast<std::uint32_t>(worker.cores));
        builder.setMemoryMb(static_cast<std::uint64_t>(worker.memoryMb));
        builder.setLeaving(worker.leaving);
        builder.setReachable(worker.reachable);
        builder.setEpoch(worker.epoch);
        builder.setIncarnation(worker.incarnation);
        auto leases = builder.initLeases(static_cast<unsigned>(worker.leases.size()));
        for (unsigned i = 0; i < leases.size(); ++i)
            fill(leases[i], worker.leases[i]);
    }

} // namespace

kj::Promise<void> DriverService::exchange(ExchangeContext context)
{
    const auto params = context.getParams();
    const auto events = attempt([&]() -> Result<std::vector<GangEvent>> {
        BOOST_LEAF_AUTO(orders, toOrders(params.getOrders()));
        return this->runtime.take(params.getPlanner(), params.getEpoch(), params.getAcknowledged(), orders);
    });
    if (!events) {
        logEvent(ordersRefused, { { "code", nameOf(events.error.code) }, { "message", events.error.message } });
        raise(events.error);
    }
    auto results = context.getResults();
    results.setIncarnation(this->runtime.incarnation());
    auto list = results.initEvents(static_cast<unsigned>(events->size()));
    for (unsigned i = 0; i < list.size(); ++i)
        fill(list[i], (*events)[i]);
    return kj::READY_NOW;
}

kj::Promise<void> DriverService::survey(SurveyContext context)
{
    const auto params = context.getParams();
    const auto survey = attempt([&] { return this->runtime.survey(params.getPlanner(), params.getEpoch()); });
    if (!survey)
        raise(survey.error);
    auto results = context.getResults();
    results.setComplete(survey->complete);
    auto list = results.initWorkers(static_cast<unsigned>(survey->workers.size()));
    for (unsigned i = 0; i < list.size(); ++i)
        fill(list[i], survey->workers[i]);
    return kj::READY_NOW;
}

kj::Promise<void> DriverService::drain(DrainContext)
{
    this->onDrain();
    return kj::READY_NOW;
}

} // namespace rattan::driver
