#include "driver/service.h"

#include "driver/testing/fake_worker.h"
#include "rpc/link.h"
#include "rpc/server.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan::driver {

namespace {

    using std::chrono::milliseconds;

    constexpr std::uint64_t epoch = 3;

    // Two workers in this process.
    class TwoWorkers final : public platform::Workers, public platform::InstanceList {
    public:
        TwoWorkers()
        {
            this->workers["1"].name = "w1";
            this->workers["2"].name = "w2";
        }

        Result<platform::WorkerReport> exchange(const std::string& address, const platform::WorkerExchange& ask, milliseconds) override
        {
            const std::lock_guard lock(this->mutex);
            return this->workers.at(address).exchange(ask, this->clock.now());
        }

        Result<std::vector<platform::Instance>> instances() override
        {
            std::vector<platform::Instance> list;
            for (const auto& [address, worker] : this->workers) {
                platform::Instance instance { .id = worker.name, .kind = platform::InstanceKind::Worker, .domain = "a", .address = address };
                list.push_back(instance);
            }
            return list;
        }

        bool runs(const std::string& lease)
        {
            const std::lock_guard lock(this->mutex);
            return this->workers.at("1").isRunning(lease) && this->workers.at("2").isRunning(lease);
        }

    private:
        SystemClock clock;
        std::mutex mutex;
        std::map<std::string, testing::FakeWorker> workers;
    };

    struct Heard {
        std::vector<rpc::DriverEvent::Kind> kinds;
    };

    Result<Heard> exchangeOrders(rpc::Link<rpc::Driver>& link, std::uint64_t byEpoch, bool start)
    {
        return link.call<Heard>(
            "driver.exchange", milliseconds(2000),
            [&](auto& client) {
                auto request = client.exchangeRequest();
                request.setPlanner("p");
                request.setEpoch(byEpoch);
                auto orders = request.initOrders(start ? 1 : 0);
                if (start) {
                    orders[0].setJob(7);
                    orders[0].setAttempt(1);
                    orders[0].setPayload("{\"run_ms\":600000}");
                    auto members = orders[0].initMembers(2);
                    for (unsigned i = 0; i < 2; ++i) {
                        members[i].setWorker("w" + std::to_string(i + 1));
                        members[i].setAddress(std::to_string(i + 1));
                        members[i].setAccelerators(8);
                    }
                }
                return request.send();
            },
            [](auto& response) -> Result<Heard> {
                Heard heard;
                for (const auto event : response.getEvents())
                    heard.kinds.push_back(event.getKind());
                return heard;
            });
    }

    Result<std::size_t> surveyedLeases(rpc::Link<rpc::Driver>& link)
    {
        return link.call<std::size_t>(
            "driver.survey", milliseconds(2000),
            [](auto& client) {
                auto request = client.surveyRequest();
                request.setEpoch(epoch);
                request.setPlanner("p");
                return request.send();
            },
            [](auto& response) -> Result<std::size_t> {
                std::size_t leases = 0;
                for (const auto worker : response.getWorkers())
                    leases += worker.getLeases().size();
                return response.getComplete() ? leases : 0;
            });
    }

    bool eventually(const std::function<bool()>& holds)
    {
        std::mutex mutex;
        std::condition_variable never;
        std::unique_lock lock(mutex);
        for (int i = 0; i < 1000 && !holds(); ++i)
            never.wait_for(lock, milliseconds(10), [] { return false; });
        return holds();
    }

} // namespace

class DriverServiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DriverServiceTest);
    CPPUNIT_TEST(startsAGangOverRpc);
    CPPUNIT_TEST_SUITE_END();

public:
    void startsAGangOverRpc()
    {
        const SystemClock clock;
        TwoWorkers workers;
        Runtime runtime({ .domain = "a" }, clock, workers, workers);
        rpc::ServerThread server("127.0.0.1:0", [&] { return kj::heap<DriverService>(runtime, [&] { runtime.beginDrain(); }); });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        runtime.start();
        rpc::Link<rpc::Driver> link(server.address());
        CPPUNIT_ASSERT(attempt([&] { return exchangeOrders(link, epoch, true); }));
        CPPUNIT_ASSERT(eventually([&] { return workers.runs("7.1"); }));
        const auto isStarted = [&] {
            const auto heard = attempt([&] { return exchangeOrders(link, epoch, false); });
            return heard && std::find(heard->kinds.begin(), heard->kinds.end(), rpc::DriverEvent::Kind::GANG_STARTED) != heard->kinds.end();
        };
        CPPUNIT_ASSERT(eventually(isStarted));
        CPPUNIT_ASSERT(eventually([&] { return attempt([&] { return surveyedLeases(link); }).value == std::size_t { 2 }; }));
        // A planner of an earlier epoch is refused, and nothing of it is done.
        CPPUNIT_ASSERT(!attempt([&] { return exchangeOrders(link, epoch - 1, true); }));
        server.stop();
        runtime.stop();
        CPPUNIT_ASSERT(workers.runs("7.1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DriverServiceTest);

} // namespace rattan::driver
