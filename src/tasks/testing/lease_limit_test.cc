// Recorded bounds for the leases of silent workers: see task_planner_leases.cc.

#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr Resources wholeWorker { 10000, 10000, 8 };

Job makeJob(const std::string& id, std::int64_t count, Millis estimate, bool gang = false)
{
    Job result;
    result.id = id;
    result.workspace = std::string("a"); // GCC 12 warns incorrectly if a literal of one character is assigned.
    result.terms = { .queue = "q", .service = "s", .priority = 1, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    result.text = "work";
    result.steps.push_back({ .count = count, .perTask = wholeWorker, .estimate = estimate, .gang = gang });
    return result;
}

class LeaseLimitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeaseLimitTest);
    CPPUNIT_TEST(noLeaseIsGrantedBeforeTheBoundIsDropped);
    CPPUNIT_TEST(startAfterABoundWaitsForItsRecord);
    CPPUNIT_TEST(onlyTheNextTermUsesABound);
    CPPUNIT_TEST(aReloadForgetsBounds);
    CPPUNIT_TEST(noTaskRunsTwiceIfAWorkerComesBackBeforeATakeover);
    CPPUNIT_TEST(noTaskRunsTwiceAfterTakeovers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->now = 1000;
        this->table = JobTable();
        this->table.apply("job/a", encodeJob(makeJob("a", 1, 60000)), 1, this->now);
    }

    // Guards against a lease that outlasts the bound: a later planner would start the task again
    // while it still runs.
    void noLeaseIsGrantedBeforeTheBoundIsDropped()
    {
        TaskPlanner planner = this->plannerWithRun();
        this->silence(planner);
        const Orders limited = this->turn(planner);
        const auto record = valueOf(limited, "lease/w");
        CPPUNIT_ASSERT(record && !record->empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 7 }, decodeLeaseLimit(*record).value().term);
        CPPUNIT_ASSERT_LESSEQUAL(this->grantedAt + wholeLease, this->now + decodeLeaseLimit(*record).value().remaining);
        // The worker answers even before the bound is durable.
        this->answer(planner, true);
        CPPUNIT_ASSERT(!renews(this->turn(planner)));
        planner.batchRecorded(limited.batches[0].number, this->now);
        const Orders dropped = this->turn(planner);
        CPPUNIT_ASSERT(valueOf(dropped, "lease/w") == std::string());
        CPPUNIT_ASSERT(!renews(dropped));
        for (int i = 0; i < 10; ++i) {
            this->now += 100;
            this->answer(planner, true);
            CPPUNIT_ASSERT(!renews(this->turn(planner)));
        }
        planner.batchRecorded(dropped.batches[0].number, this->now);
        this->now += 300;
        this->answer(planner, true);
        CPPUNIT_ASSERT(renews(this->turn(planner)));
    }

    // Guards against a start, which grants a lease, before the bound is dropped.
    void startAfterABoundWaitsForItsRecord()
    {
        TaskPlanner planner = this->plannerWithRun();
        this->silence(planner);
        const Orders limited = this->turn(planner);
        CPPUNIT_ASSERT(valueOf(limited, "lease/w"));
        planner.batchRecorded(limited.batches[0].number, this->now);
        this->answer(planner, false); // The run is gone, and its task is placed again.
        this->now += 500;
        const Orders placed = this->turn(planner);
        CPPUNIT_ASSERT(placed.starts.empty());
        CPPUNIT_ASSERT(valueOf(placed, "lease/w") == std::string());
        planner.batchRecorded(placed.batches[0].number, this->now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->turn(planner).starts.size());
    }

    // Guards against a bound that a planner in between did not keep to.
    void onlyTheNextTermUsesABound()
    {
        constexpr Millis remaining = 2000;
        UnitProgress unit { .run = 1, .state = UnitState::Running, .workers = { { "w", 1 } } };
        PlanTable plans;
        plans.apply("progress/a", encodeProgress({ .state = JobState::Running, .started = true, .units = { unit } }), 2);
        this->table.apply("lease/w", encodeLeaseLimit({ 6, remaining }), 3, this->now);
        for (const std::int64_t term : { 7, 8 }) {
            TaskPlanner planner({ .term = term, .previousTerm = term - 1 }, this->table, plans, this->now, this->now);
            planner.step(this->now + remaining - 1, this->now);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, planner.runCount());
            planner.step(this->now + remaining, this->now);
            CPPUNIT_ASSERT_EQUAL(std::size_t { term == 7 ? 0U : 1U }, planner.runCount());
            planner.step(this->now + wholeLease + PlannerOptions().predecessorGrace - 1, this->now);
            CPPUNIT_ASSERT_EQUAL(std::size_t { term == 7 ? 0U : 1U }, planner.runCount());
        }
    }

    // Guards against a bound whose record was dropped while the stream could not be read.
    void aReloadForgetsBounds()
    {
        this->table.apply("lease/w", encodeLeaseLimit({ 6, 2000 }), 3, this->now);
        CPPUNIT_ASSERT_EQUAL(this->now + 2000, this->table.leaseLimits().at("w").endsBy);
        this->table.apply("lease/w", encodeLeaseLimit({ 6, 2000 }), 3, this->now + 5000); // A repeat says nothing new.
        CPPUNIT_ASSERT_EQUAL(this->now + 2000, this->table.leaseLimits().at("w").endsBy);
        this->table.beginLoad();
        CPPUNIT_ASSERT(this->table.leaseLimits().empty());
        this->table.apply("lease/w", encodeLeaseLimit({ 6, 2000 }), 3, this->now + 5000);
        CPPUNIT_ASSERT_EQUAL(this->now + 7000, this->table.leaseLimits().at("w").endsBy);
        this->table.apply("lease/w", "", 4, this->now);
        CPPUNIT_ASSERT(this->table.leaseLimits().empty());
    }

    // Guards against a worker that is back for a moment and gets a lease although its bound stands,
    // while records are late.
    void noTaskRunsTwiceIfAWorkerComesBackBeforeATakeover()
    {
        constexpr Millis cutAt = 4000;
        std::size_t limits = 0;
        for (Millis back = 1200; back < 3900; back += 300) {
            for (Millis again = 40; again < 1000; again += 80) {
                VirtualSite site({ .seed = 3, .workers = 3, .lease = 4000, .failures = 0 });
                site.newPlanner();
                site.delayRecords(400);
                site.submit(makeJob("j", 1, 60000));
                site.run(cutAt);
                const std::string worker = site.hostOf("j", 0);
                site.setPartitioned(worker, true);
                site.run(cutAt + back);
                site.setPartitioned(worker, false);
                site.run(site.now + again);
                site.setPartitioned(worker, true);
                limits += site.table.leaseLimits().size();
                site.newPlanner();
                site.run(site.now + 9000);
                CPPUNIT_ASSERT_MESSAGE(fmt::format("back after {}, cut off again after {}: {}", back, again, site.violations.empty() ? "" : site.violations.front()), site.violations.empty());
                CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("j"));
            }
        }
        CPPUNIT_ASSERT(limits > 0);
    }

    // Guards against tasks that run twice at a time after takeovers, while workers are cut off from
    // planners for about a lease and records are late.
    void noTaskRunsTwiceAfterTakeovers()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            VirtualSite site({ .seed = seed, .workers = 8, .lease = 4000, .failures = 0, .longPolls = seed % 2 == 0 });
            site.newPlanner();
            site.run(2000);
            for (int i = 0; i < 6; ++i)
                site.submit(makeJob(fmt::format("j{}", i), 1 + i % 2, 15000, i % 2 == 1));
            std::mt19937_64 random(seed);
            const auto below = [&](Millis bound) { return static_cast<Millis>(random() % static_cast<std::uint64_t>(bound)); };
            while (site.now < 60000) {
                const std::string worker = fmt::format("w{:02}", below(8));
                switch (below(10)) {
                case 0:
                case 1:
                case 2:
                    site.setPartitioned(worker, true);
                    break;
                case 3:
                case 4:
                case 5:
                    site.setPartitioned(worker, false);
                    break;
                case 6:
                    site.delayRecords(below(600));
                    break;
                case 7:
                    site.restart(worker);
                    break;
                default:
                    site.newPlanner();
                }
                site.run(site.now + below(1500));
            }
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {}", seed, site.violations.empty() ? "" : site.violations.front()), site.violations.empty());
        }
    }

private:
    static constexpr Millis wholeLease = 10500; // As counted by the planner, with the uncertainty of clocks.

    TaskPlanner plannerWithRun()
    {
        TaskPlanner planner({ .term = 7 }, this->table, PlanTable(), this->now, this->now);
        WorkerDescription worker;
        worker.incarnation = this->incarnation;
        worker.address = "10.0.0.1:1";
        worker.service = "s";
        worker.capacity = { 128000, 512000, 8 };
        planner.workersListed({ worker }, this->now);
        this->turn(planner);
        this->now += 10;
        this->answer(planner, false);
        const Orders placed = this->turn(planner);
        planner.batchRecorded(placed.batches.at(0).number, this->now);
        this->now += 10;
        const Orders started = this->turn(planner);
        CPPUNIT_ASSERT(renews(started));
        this->grantedAt = this->now;
        planner.startAnswered(this->incarnation, started.starts.at(0).run, StartAnswer::Started, this->now);
        return planner;
    }

    void silence(TaskPlanner& planner)
    {
        this->now += 2800;
        planner.pollFailed(this->incarnation, false, WorkerFault::NoAnswer, this->now);
        this->now += 999;
        CPPUNIT_ASSERT(!valueOf(this->turn(planner), "lease/w"));
        ++this->now;
    }

    Orders turn(TaskPlanner& planner)
    {
        planner.step(this->now, this->now);
        return planner.takeOrders(this->now);
    }

    void answer(TaskPlanner& planner, bool runs) const
    {
        WorkerReport report { .clock = this->now, .born = this->incarnation.born, .running = {}, .ended = {} };
        if (runs)
            report.running.push_back({ { { "a", 0, 0, 0 }, 1 }, "", 1 });
        planner.pollAnswered(this->incarnation, this->now - 1, false, report, this->now);
    }

    static std::optional<std::string> valueOf(const Orders& orders, const std::string& key)
    {
        for (const RecordBatch& batch : orders.batches) {
            for (const auto& [name, value] : batch.jobs) {
                if (name == key)
                    return value;
            }
        }
        return std::nullopt;
    }

    static bool renews(const Orders& orders)
    {
        return std::any_of(orders.polls.begin(), orders.polls.end(), [](const PollOrder& poll) { return poll.renewsLease; });
    }

    const Incarnation incarnation { "w", 1 };
    Millis now { 1000 };
    Millis grantedAt { 0 };
    JobTable table;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseLimitTest);

} // namespace
