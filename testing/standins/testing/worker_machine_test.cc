#include "standins/worker_machine.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan::testing {

using platform::LeaseState;
using platform::WorkerExchange;
using platform::WorkerOp;
using platform::WorkerOpKind;
using platform::WorkerReport;

class WorkerMachineTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkerMachineTest);
    CPPUNIT_TEST(lowerEpochIsRefusedWhole);
    CPPUNIT_TEST(acceleratorsAreLeasedOnce);
    CPPUNIT_TEST(leaseLapsesWhileNobodyLooks);
    CPPUNIT_TEST(renewedLeaseFinishes);
    CPPUNIT_TEST(checkpointKeepsProgressOfItsStart);
    CPPUNIT_TEST(failingStartRunsNothing);
    CPPUNIT_TEST(stopForgetsTheLease);
    CPPUNIT_TEST(throttledTaskTakesLonger);
    CPPUNIT_TEST_SUITE_END();

public:
    // A planner was replaced while one of its messages was under way. The old
    // message arrives last; an operator would see two planners move one job.
    void lowerEpochIsRefusedWhole()
    {
        this->ask(7, { reserve("1.1", 8) });
        const ExchangeOutcome outcome = this->machine.exchange({ "old", 6, { stopOf("1.1") } }, this->clock.now());
        CPPUNIT_ASSERT(outcome.staleEpoch);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 7 }, outcome.report.epoch);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->ask(0, {}).leases.size());
    }

    void acceleratorsAreLeasedOnce()
    {
        CPPUNIT_ASSERT(this->ask(1, { reserve("1.1", 5) }).results[0].ok);
        CPPUNIT_ASSERT(this->ask(1, { reserve("1.1", 5) }).results[0].ok);
        CPPUNIT_ASSERT_EQUAL(std::string("already_leased"), this->ask(1, { reserve("2.1", 4) }).results[0].code);
        CPPUNIT_ASSERT_EQUAL(std::string("no_room"), this->ask(1, { reserve("3.1", 9) }).results[0].code);
        CPPUNIT_ASSERT(this->ask(1, { reserve("2.1", 3) }).results[0].ok);
    }

    // The worker is frozen for longer than the lease. When it wakes, the lease
    // has ended at its own time, and what asks to renew it is told so.
    void leaseLapsesWhileNobodyLooks()
    {
        this->ask(1, { reserve("1.1", 8), startOf("1.1", 60000) });
        this->clock.advance(20000);
        const WorkerReport report = this->ask(1, { { .kind = WorkerOpKind::Renew, .lease = "1.1", .ttl = ttl } });
        CPPUNIT_ASSERT_EQUAL(std::string("no_lease"), report.results[0].code);
        CPPUNIT_ASSERT(report.leases[0].state == LeaseState::Lapsed);
        CPPUNIT_ASSERT_EQUAL(Millis { ttl }, this->machine.runs()[0].ended);
        CPPUNIT_ASSERT_EQUAL(std::string("lapsed"), this->machine.runs()[0].how);
        CPPUNIT_ASSERT(this->ask(1, { reserve("2.1", 8) }).results[0].ok);
    }

    void renewedLeaseFinishes()
    {
        this->ask(1, { reserve("1.1", 8), startOf("1.1", 10000) });
        for (int i = 0; i < 11; ++i) {
            this->clock.advance(1000);
            this->ask(1, { { .kind = WorkerOpKind::Renew, .lease = "1.1", .ttl = ttl } });
        }
        const WorkerReport report = this->ask(0, {});
        CPPUNIT_ASSERT(report.leases[0].state == LeaseState::Done);
        CPPUNIT_ASSERT_EQUAL(std::string("map"), report.leases[0].result);
        CPPUNIT_ASSERT_EQUAL(Millis { 10000 }, this->machine.runs()[0].ended);
    }

    void checkpointKeepsProgressOfItsStart()
    {
        this->ask(1, { reserve("1.1", 8), startOf("1.1", 10000) });
        this->clock.advance(2500);
        this->ask(1, { { .kind = WorkerOpKind::Checkpoint, .lease = "1.1" } });
        CPPUNIT_ASSERT(this->ask(0, {}).leases[0].state == LeaseState::Checkpointing);
        this->clock.advance(1000);
        const WorkerReport report = this->ask(0, {});
        CPPUNIT_ASSERT(report.leases[0].state == LeaseState::Running);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, report.leases[0].savedProgress, 0.001);
    }

    void failingStartRunsNothing()
    {
        this->machine.faults().failStarts = 1;
        CPPUNIT_ASSERT_EQUAL(std::string("start_failed"), this->ask(1, { reserve("1.1", 8), startOf("1.1", 100) }).results[1].code);
        CPPUNIT_ASSERT(this->machine.runs().empty());
        CPPUNIT_ASSERT(this->ask(1, { reserve("2.1", 8), startOf("2.1", 100) }).results[1].ok);
    }

    void stopForgetsTheLease()
    {
        this->ask(1, { reserve("1.1", 8), startOf("1.1", 60000) });
        this->clock.advance(500);
        CPPUNIT_ASSERT(this->ask(1, { stopOf("1.1"), stopOf("unknown") }).leases.empty());
        CPPUNIT_ASSERT_EQUAL(Millis { 500 }, this->machine.runs()[0].ended);
    }

    void throttledTaskTakesLonger()
    {
        this->ask(1, { reserve("1.1", 8), startOf("1.1", 2000), { .kind = WorkerOpKind::Throttle, .lease = "1.1", .sharePercent = 50 } });
        this->clock.advance(3999);
        CPPUNIT_ASSERT(this->ask(0, {}).leases[0].state == LeaseState::Running);
        this->clock.advance(1);
        CPPUNIT_ASSERT(this->ask(0, {}).leases[0].state == LeaseState::Done);
    }

private:
    static constexpr Millis ttl = 6000;

    static WorkerOp reserve(const std::string& lease, std::int64_t accelerators)
    {
        return { .kind = WorkerOpKind::Reserve, .lease = lease, .accelerators = accelerators, .ttl = ttl };
    }

    static WorkerOp startOf(const std::string& lease, Millis runTime)
    {
        return { .kind = WorkerOpKind::Start, .lease = lease, .ttl = ttl, .payload = { { "run_ms", runTime }, { "checkpoint_ms", 1000 }, { "result", "map" } } };
    }

    static WorkerOp stopOf(const std::string& lease) { return { .kind = WorkerOpKind::Stop, .lease = lease }; }

    WorkerReport ask(std::uint64_t epoch, std::vector<WorkerOp> ops)
    {
        return this->machine.exchange({ "planner", epoch, std::move(ops) }, this->clock.now()).report;
    }

    ManualClock clock;
    WorkerMachine machine { { .id = "a-w001" } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerMachineTest);

} // namespace rattan::testing
