#include "planner/driver_link.h"

namespace rattan::planner {

namespace {

    constexpr std::chrono::milliseconds exchangeTimeout { 2000 };
    constexpr std::chrono::milliseconds surveyTimeout { 3000 };

    void fill(rpc::Order::Builder builder, const Order& order)
    {
        builder.setKind(static_cast<rpc::Order::Kind>(order.kind));
        builder.setJob(order.job);
        builder.setAttempt(static_cast<std::uint32_t>(order.attempt));
        builder.setPayload(order.payload);
        builder.setReason(order.reason);
        builder.setSharePercent(static_cast<std::uint32_t>(order.sharePercent));
        builder.setKey(order.key);
        builder.setWorkspace(order.workspace);
        builder.setLease(order.lease);
        auto members = builder.initMembers(static_cast<unsigned>(order.members.size()));
        for (unsigned i = 0; i < members.size(); ++i) {
            members[i].setWorker(order.members[i].worker);
            members[i].setAddress(order.members[i].address);
            members[i].setAccelerators(static_cast<std::uint32_t>(order.members[i].accelerators));
            members[i].setCores(static_cast<std::uint32_t>(order.members[i].cores));
            members[i].setMemoryMb(static_cast<std::uint64_t>(order.members[i].memoryMb));
        }
    }

    DriverEvent readEvent(rpc::DriverEvent::Reader reader)
    {
        DriverEvent event;
        event.number = reader.getNumber();
        event.kind = static_cast<DriverEventKind>(reader.getKind());
        event.job = reader.getJob();
        event.attempt = reader.getAttempt();
        event.worker = reader.getWorker();
        event.reason = reader.getReason();
        event.result = reader.getResult();
        event.membersReady = reader.getMembersReady();
        event.usedAccelerators = reader.getUsedAccelerators();
        event.usedMemoryMb = static_cast<std::int64_t>(reader.getUsedMemoryMb());
        event.progress = reader.getProgress();
        return event;
    }

    SurveyedLease readLease(rpc::LeaseView::Reader reader)
    {
        SurveyedLease lease;
        lease.lease = reader.getLease();
        lease.job = reader.getJob();
        lease.attempt = reader.getAttempt();
        lease.state = reader.getState();
        lease.accelerators = reader.getAccelerators();
        lease.cores = reader.getCores();
        lease.memoryMb = static_cast<std::int64_t>(reader.getMemoryMb());
        lease.key = reader.getKey();
        lease.workspace = reader.getWorkspace();
        lease.gangSize = reader.getGangSize();
        return lease;
    }

    SurveyedWorker readWorker(rpc::WorkerView::Reader reader)
    {
        SurveyedWorker worker;
        worker.worker = reader.getWorker();
        worker.address = reader.getAddress();
        worker.rack = reader.getRack();
        worker.accelerators = reader.getAccelerators();
        worker.cores = reader.getCores();
        worker.memoryMb = static_cast<std::int64_t>(reader.getMemoryMb());
        worker.leaving = reader.getLeaving();
        worker.reachable = reader.getReachable();
        worker.epoch = reader.getEpoch();
        for (const auto lease : reader.getLeases())
            worker.leases.push_back(readLease(lease));
        return worker;
    }

} // namespace

DriverLink::DriverLink(const std::string& address, std::string incarnation)
    : link(address)
    , incarnation(std::move(incarnation))
{
}

Result<DriverAnswer> DriverLink::exchange(std::uint64_t epoch, const std::vector<Order>& orders)
{
    BOOST_LEAF_AUTO(answer,
        this->link.call<DriverAnswer>(
            "driver.exchange", exchangeTimeout,
            [&](rpc::Driver::Client& client) {
                auto request = client.exchangeRequest();
                request.setPlanner(this->incarnation);
                request.setEpoch(epoch);
                request.setAcknowledged(this->acknowledged);
                auto list = request.initOrders(static_cast<unsigned>(orders.size()));
                for (unsigned i = 0; i < list.size(); ++i)
                    fill(list[i], orders[i]);
                return request.send();
            },
            [](auto& response) -> Result<DriverAnswer> {
                DriverAnswer read;
                read.incarnation = response.getIncarnation();
                for (const auto event : response.getEvents())
                    read.events.push_back(readEvent(event));
                return read;
            }));
    // A driver that started anew counts its events from the start.
    if (answer.incarnation != this->driverIncarnation) {
        this->driverIncarnation = answer.incarnation;
        this->acknowledged = 0;
    }
    for (const DriverEvent& event : answer.events)
        this->acknowledged = std::max(this->acknowledged, event.number);
    return answer;
}

Result<Survey> DriverLink::survey(std::uint64_t epoch)
{
    return this->link.call<Survey>(
        "driver.survey", surveyTimeout,
        [&](rpc::Driver::Client& client) {
            auto request = client.surveyRequest();
            request.setEpoch(epoch);
            request.setPlanner(this->incarnation);
            return request.send();
        },
        [](auto& response) -> Result<Survey> {
            Survey survey;
            survey.complete = response.getComplete();
            for (const auto worker : response.getWorkers())
                survey.workers.push_back(readWorker(worker));
            return survey;
        });
}

} // namespace rattan::planner
