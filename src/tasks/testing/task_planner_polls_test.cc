#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

Job makeJob(const std::string& id, std::int64_t count, Resources each, Millis estimate, std::int64_t priority = 1)
{
    Job result;
    result.id = id;
    result.workspace = "a";
    result.terms = { .queue = "q", .service = "s", .priority = priority, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    result.text = "work";
    result.steps.push_back({ .count = count, .perTask = each, .estimate = estimate });
    return result;
}

constexpr Resources wholeWorker { 10000, 10000, 8 };
constexpr Resources halfWorker { 10000, 10000, 4 };
constexpr Resources oneAccelerator { 10000, 50000, 1 };

void assertNoViolations(const VirtualSite& site)
{
    CPPUNIT_ASSERT_MESSAGE(site.violations.empty() ? "" : site.violations.front(), site.violations.empty());
}

class TaskPlannerPollsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TaskPlannerPollsTest);
    CPPUNIT_TEST(noWorkerStarvesWhenPollsQueue);
    CPPUNIT_TEST(busyWorkersDoNotStarveIdleOnes);
    CPPUNIT_TEST(runsOfUnpolledWorkerAreNotConsideredLost);
    CPPUNIT_TEST(pendingAcknowledgementDelaysNextIncarnation);
    CPPUNIT_TEST(lostAcknowledgementIsRememberedForUnlistedWorker);
    CPPUNIT_TEST(confirmedAcknowledgementIsNotRepeated);
    CPPUNIT_TEST(endOfTheOnlyRunIsAcknowledged);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against expired leases at the workers that are last in the order of polls.
    void noWorkerStarvesWhenPollsQueue()
    {
        for (const std::uint64_t seed : { 35, 36, 37 }) {
            VirtualSite site({ .seed = seed, .workers = 150, .failures = 0 });
            site.newPlanner();
            site.run(2000);
            site.setPlannerInterval(900);
            site.submit(makeJob("long", 150, halfWorker, 20000));
            for (int i = 0; i < 20; ++i)
                site.submit(makeJob("short" + std::to_string(i), 300, oneAccelerator, 1000));
            site.runUntilFinished(90000);
            CPPUNIT_ASSERT(site.allFinished());
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.countEnds(RunEnd::LeaseExpired));
            assertNoViolations(site);
        }
    }

    // Guards against units that wait although idle workers exist that were not polled since a
    // takeover.
    void busyWorkersDoNotStarveIdleOnes()
    {
        constexpr std::size_t workers = 150;
        VirtualSite site({ .seed = 36, .workers = workers, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.submit(makeJob("busy", 100, wholeWorker, 30000));
        site.run(6000);
        site.newPlanner();
        site.setPlannerInterval(250);
        site.submit(makeJob("waiting", 100, wholeWorker, 30000));
        constexpr Millis pollingTime = 4000;
        site.run(site.now + pollingTime);
        CPPUNIT_ASSERT_EQUAL(workers, site.planner->knownWorkerCount());
        assertNoViolations(site);
    }

    // Guards against tasks that run twice because the planner had no time to read their ends.
    void runsOfUnpolledWorkerAreNotConsideredLost()
    {
        VirtualSite site({ .seed = 37, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("j1", 4, wholeWorker, 2000));
        site.run(2500);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("j1"));
        site.pausePlanner(site.now + 9000);
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("j1"));
        for (const PlanEvent& event : site.planEvents)
            CPPUNIT_ASSERT(event.kind != PlanEventKind::RunLost);
        assertNoViolations(site);
    }

    // Guards against tasks that run again after their end. A poll that acknowledges ends of the
    // earlier incarnation is still pending when another poll shows the restart. If it arrived late,
    // it would acknowledge ends of the next incarnation that were never read.
    void pendingAcknowledgementDelaysNextIncarnation()
    {
        this->submit("ended");
        this->submit("running");
        TaskPlanner planner({}, this->table, PlanTable(), this->now, this->now);
        WorkerDescription worker;
        worker.incarnation = { "w", 1 };
        worker.address = "10.0.0.1:1";
        worker.service = "s";
        worker.capacity = { 128000, 512000, 8 };
        planner.workersListed({ worker }, this->now);
        this->takeTurns(planner);
        planner.pollAnswered(worker.incarnation, this->now, false, { .born = 1 }, this->now);
        for (const StartOrder& start : this->takeTurns(planner).starts)
            planner.startAnswered(worker.incarnation, start.run, StartAnswer::Started, this->now);
        const RunRef running { { "running", 0, 0, 0 }, 1 };
        const RunRef ended { { "ended", 0, 0, 0 }, 1 };
        planner.pollAnswered(worker.incarnation, this->now, false, { .born = 1, .running = { { running, "", 1 } }, .ended = { { 1, ended, RunEnd::Done, "" } } }, this->now);

        // The poll that acknowledges the end is not answered during this test.
        bool isAcknowledging = false;
        for (int i = 0; i < 100 && !isAcknowledging; ++i) {
            for (const PollOrder& poll : this->takeTurns(planner).polls) {
                isAcknowledging = isAcknowledging || poll.acknowledged == 1;
                if (poll.acknowledged == 0)
                    planner.pollAnswered(worker.incarnation, this->now, poll.concurrent, { .born = 1, .running = { { running, "", 1 } } }, this->now);
            }
        }
        CPPUNIT_ASSERT(isAcknowledging);

        // A start that is refused as superseded causes a concurrent poll, which shows the restart.
        this->submit("next");
        planner.jobAccepted(this->table.find("next")->job, this->now, this->now);
        bool restartShown = false;
        bool startedOnNextIncarnation = false;
        for (int i = 0; i < 100 && !startedOnNextIncarnation; ++i) {
            const Orders orders = this->takeTurns(planner);
            startedOnNextIncarnation = restartShown && !orders.starts.empty();
            for (const StartOrder& start : orders.starts)
                planner.startAnswered(worker.incarnation, start.run, StartAnswer::Superseded, this->now);
            for (const PollOrder& poll : orders.polls) {
                CPPUNIT_ASSERT(poll.concurrent || restartShown);
                planner.pollAnswered(worker.incarnation, this->now, poll.concurrent, { .born = 2 }, this->now);
                restartShown = true;
            }
        }
        CPPUNIT_ASSERT(restartShown);
        CPPUNIT_ASSERT(!startedOnNextIncarnation);
    }

    // Guards against the same failure if the worker was removed from the list and is listed again.
    void lostAcknowledgementIsRememberedForUnlistedWorker()
    {
        this->submit("ended");
        TaskPlanner planner({}, this->table, PlanTable(), this->now, this->now);
        WorkerDescription worker;
        worker.incarnation = { "w", 1 };
        worker.address = "10.0.0.1:1";
        worker.service = "s";
        worker.capacity = { 128000, 512000, 8 };
        planner.workersListed({ worker }, this->now);
        this->takeTurns(planner);
        planner.pollAnswered(worker.incarnation, this->now, false, { .born = 1 }, this->now);
        for (const StartOrder& start : this->takeTurns(planner).starts)
            planner.startAnswered(worker.incarnation, start.run, StartAnswer::Started, this->now);
        this->takeTurns(planner);
        planner.pollAnswered(worker.incarnation, this->now, false, { .born = 1, .ended = { { 1, { { "ended", 0, 0, 0 }, 1 }, RunEnd::Done, "" } } }, this->now);
        bool isAcknowledging = false;
        for (int i = 0; i < 100 && !isAcknowledging; ++i) {
            for (const PollOrder& poll : this->takeTurns(planner).polls) {
                isAcknowledging = isAcknowledging || poll.acknowledged == 1;
                if (poll.acknowledged == 0)
                    planner.pollAnswered(worker.incarnation, this->now, poll.concurrent, { .born = 1 }, this->now);
            }
        }
        CPPUNIT_ASSERT(isAcknowledging);
        planner.pollFailed(worker.incarnation, false, WorkerFault::NoAnswer, this->now);

        planner.workersListed({}, this->now);
        worker.incarnation.born = 2;
        planner.workersListed({ worker }, this->now);
        this->submit("next");
        planner.jobAccepted(this->table.find("next")->job, this->now, this->now);
        bool restartShown = false;
        for (int i = 0; i < 100; ++i) {
            const Orders orders = this->takeTurns(planner);
            CPPUNIT_ASSERT(orders.starts.empty());
            for (const PollOrder& poll : orders.polls) {
                planner.pollAnswered(worker.incarnation, this->now, poll.concurrent, { .born = 2 }, this->now);
                restartShown = true;
            }
        }
        CPPUNIT_ASSERT(restartShown);
    }

    // Guards against a restarted worker that gets no work because every poll that it missed
    // acknowledged, once more, ends that it had forgotten long before.
    void confirmedAcknowledgementIsNotRepeated()
    {
        VirtualSite site({ .seed = 38, .workers = 1, .lease = 10000, .failures = 0, .longPolls = true });
        site.newPlanner();
        site.submit(makeJob("long", 1, oneAccelerator, 60000));
        site.submit(makeJob("short", 1, oneAccelerator, 300));
        site.run(8000);
        CPPUNIT_ASSERT(site.stateOf("short") == JobState::Completed);
        site.setPartitioned("w00", true);
        site.run(10000);
        site.restart("w00");
        site.run(11000);
        site.setPartitioned("w00", false);
        site.submit(makeJob("next", 1, oneAccelerator, 300));
        constexpr Millis maxStartTime = 3000; // A silent worker is polled every 1.6 s.
        site.run(site.now + maxStartTime);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("next"));
        assertNoViolations(site);
    }

private:
    void submit(const std::string& id)
    {
        this->table.apply("job/" + id, encodeJob(makeJob(id, 1, oneAccelerator, 5000)), this->offset++, this->now);
    }

    // Three turns at fixed intervals. Records are durable immediately. Returns the starts and polls.
    Orders takeTurns(TaskPlanner& planner)
    {
        constexpr Millis turnInterval = 20;
        Orders allOrders;
        for (int i = 0; i < 3; ++i) {
            this->now += turnInterval;
            planner.step(this->now, this->now);
            Orders orders = planner.takeOrders(this->now);
            for (const RecordBatch& batch : orders.batches)
                planner.batchRecorded(batch.number, this->now);
            allOrders.starts.insert(allOrders.starts.end(), orders.starts.begin(), orders.starts.end());
            allOrders.polls.insert(allOrders.polls.end(), orders.polls.begin(), orders.polls.end());
        }
        return allOrders;
    }

    JobTable table;
    std::int64_t offset { 1 };
    Millis now { 1000 };

    // Guards against an end that an idle worker lists for good, because the poll that listed it was sent before its start
    // was answered.
    void endOfTheOnlyRunIsAcknowledged()
    {
        VirtualSite site({ .seed = 39, .workers = 1, .lease = 10000, .failures = 0, .longPolls = true });
        site.newPlanner();
        site.run(2000);
        site.submit(makeJob("only", 1, oneAccelerator, 400));
        site.run(6000);
        CPPUNIT_ASSERT(site.stateOf("only") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, site.unacknowledgedEnds());
        assertNoViolations(site);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskPlannerPollsTest);

} // namespace
