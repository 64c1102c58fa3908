#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

Job job(const std::string& id, std::int64_t count, Resources each, Millis time, std::int64_t priority = 1)
{
    Job result;
    result.id = id;
    result.workspace = "a";
    result.terms = { .queue = "q", .service = "s", .priority = priority, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    result.text = "work";
    result.steps.push_back({ .count = count, .perTask = each, .estimate = time });
    return result;
}

constexpr Resources whole { 10000, 10000, 8 };
constexpr Resources half { 10000, 10000, 4 };
constexpr Resources one { 10000, 50000, 1 };

void assertSound(const VirtualSite& site)
{
    CPPUNIT_ASSERT_MESSAGE(site.violations.empty() ? "" : site.violations.front(), site.violations.empty());
}

class TaskPlannerPollsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TaskPlannerPollsTest);
    CPPUNIT_TEST(noWorkerIsPassedOverWhereMorePollsAreDueThanAreSent);
    CPPUNIT_TEST(idleWorkersAreNotPassedOverForBusyOnes);
    CPPUNIT_TEST(runsOfAWorkerThatWasNotAskedAreNotGivenUpUnread);
    CPPUNIT_TEST(anAcknowledgementUnderWayIsFearedAtTheNextIncarnation);
    CPPUNIT_TEST(aLostAcknowledgementIsNotForgottenWithItsWorker);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against leases that run out at the workers that come last in some order.
    void noWorkerIsPassedOverWhereMorePollsAreDueThanAreSent()
    {
        VirtualSite site({ .seed = 35, .workers = 150, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.setPlannerInterval(900);
        site.submit(job("long", 150, half, 20000));
        for (int i = 0; i < 20; ++i)
            site.submit(job("short" + std::to_string(i), 300, one, 1000));
        site.runUntilFinished(90000);
        CPPUNIT_ASSERT(site.allFinished());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.countEnds(RunEnd::LeaseExpired));
        assertSound(site);
    }

    // Guards against work that waits beside workers which nobody has asked since a takeover.
    void idleWorkersAreNotPassedOverForBusyOnes()
    {
        constexpr std::size_t workers = 150;
        VirtualSite site({ .seed = 36, .workers = workers, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.submit(job("busy", 100, whole, 30000));
        site.run(6000);
        site.newPlanner();
        site.setPlannerInterval(250);
        site.submit(job("waiting", 100, whole, 30000));
        constexpr Millis soon = 4000;
        site.run(site.now + soon);
        CPPUNIT_ASSERT_EQUAL(workers, site.planner->knownWorkerCount());
        assertSound(site);
    }

    // Guards against tasks that run twice because their planner had no time to read that they ended.
    void runsOfAWorkerThatWasNotAskedAreNotGivenUpUnread()
    {
        VirtualSite site({ .seed = 37, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(job("j1", 4, whole, 2000));
        site.run(2500);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("j1"));
        site.pausePlanner(site.now + 9000);
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("j1"));
        for (const PlanEvent& event : site.planEvents)
            CPPUNIT_ASSERT(event.kind != PlanEventKind::RunLost);
        assertSound(site);
    }

    // Guards against ends of the next incarnation that a poll to the one before, still on its way
    // when another shows the restart, acknowledges unread: their tasks would run again.
    void anAcknowledgementUnderWayIsFearedAtTheNextIncarnation()
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
        this->turn(planner);
        planner.pollAnswered(worker.incarnation, this->now, false, { .born = 1 }, this->now);
        for (const StartOrder& start : this->turn(planner).starts)
            planner.startAnswered(worker.incarnation, start.run, StartAnswer::Started, this->now);
        const RunRef running { { "running", 0, 0, 0 }, 1 };
        const RunRef ended { { "ended", 0, 0, 0 }, 1 };
        planner.pollAnswered(worker.incarnation, this->now, false, { .born = 1, .running = { { running, "", 1 } }, .ended = { { 1, ended, RunEnd::Done, "" } } }, this->now);

        // The poll that acknowledges the end gets no answer while this test lasts.
        bool acknowledges = false;
        for (int i = 0; i < 100 && !acknowledges; ++i) {
            for (const PollOrder& poll : this->turn(planner).polls) {
                acknowledges = acknowledges || poll.acknowledged == 1;
                if (poll.acknowledged == 0)
                    planner.pollAnswered(worker.incarnation, this->now, poll.concurrent, { .born = 1, .running = { { running, "", 1 } } }, this->now);
            }
        }
        CPPUNIT_ASSERT(acknowledges);

        // A poll beside it goes for a start that was there before, and shows the restart.
        this->submit("next");
        planner.jobAccepted(this->table.find("next")->job, this->now, this->now);
        bool shown = false;
        bool startedAnew = false;
        for (int i = 0; i < 100 && !startedAnew; ++i) {
            const Orders orders = this->turn(planner);
            startedAnew = shown && !orders.starts.empty();
            for (const StartOrder& start : orders.starts)
                planner.startAnswered(worker.incarnation, start.run, StartAnswer::Superseded, this->now);
            for (const PollOrder& poll : orders.polls) {
                CPPUNIT_ASSERT(poll.concurrent || shown);
                planner.pollAnswered(worker.incarnation, this->now, poll.concurrent, { .born = 2 }, this->now);
                shown = true;
            }
        }
        CPPUNIT_ASSERT(shown);
        CPPUNIT_ASSERT(!startedAnew);
    }

    // Guards against the same where the worker has left the list in between, and comes back.
    void aLostAcknowledgementIsNotForgottenWithItsWorker()
    {
        this->submit("ended");
        TaskPlanner planner({}, this->table, PlanTable(), this->now, this->now);
        WorkerDescription worker;
        worker.incarnation = { "w", 1 };
        worker.address = "10.0.0.1:1";
        worker.service = "s";
        worker.capacity = { 128000, 512000, 8 };
        planner.workersListed({ worker }, this->now);
        this->turn(planner);
        planner.pollAnswered(worker.incarnation, this->now, false, { .born = 1 }, this->now);
        for (const StartOrder& start : this->turn(planner).starts)
            planner.startAnswered(worker.incarnation, start.run, StartAnswer::Started, this->now);
        this->turn(planner);
        planner.pollAnswered(worker.incarnation, this->now, false, { .born = 1, .ended = { { 1, { { "ended", 0, 0, 0 }, 1 }, RunEnd::Done, "" } } }, this->now);
        bool acknowledges = false;
        for (int i = 0; i < 100 && !acknowledges; ++i) {
            for (const PollOrder& poll : this->turn(planner).polls) {
                acknowledges = acknowledges || poll.acknowledged == 1;
                if (poll.acknowledged == 0)
                    planner.pollAnswered(worker.incarnation, this->now, poll.concurrent, { .born = 1 }, this->now);
            }
        }
        CPPUNIT_ASSERT(acknowledges);
        planner.pollFailed(worker.incarnation, false, WorkerFault::NoAnswer, this->now);

        planner.workersListed({}, this->now);
        worker.incarnation.born = 2;
        planner.workersListed({ worker }, this->now);
        this->submit("next");
        planner.jobAccepted(this->table.find("next")->job, this->now, this->now);
        bool shown = false;
        for (int i = 0; i < 100; ++i) {
            const Orders orders = this->turn(planner);
            CPPUNIT_ASSERT(orders.starts.empty());
            for (const PollOrder& poll : orders.polls) {
                planner.pollAnswered(worker.incarnation, this->now, poll.concurrent, { .born = 2 }, this->now);
                shown = true;
            }
        }
        CPPUNIT_ASSERT(shown);
    }

private:
    void submit(const std::string& id)
    {
        this->table.apply("job/" + id, encodeJob(job(id, 1, one, 5000)), this->offset++, this->now);
    }

    // One turn, some time after the last; what it records is durable at once.
    Orders turn(TaskPlanner& planner)
    {
        constexpr Millis gap = 20;
        Orders all;
        for (int i = 0; i < 3; ++i) {
            this->now += gap;
            planner.step(this->now, this->now);
            Orders orders = planner.takeOrders(this->now);
            for (const RecordBatch& batch : orders.batches)
                planner.batchRecorded(batch.number, this->now);
            all.starts.insert(all.starts.end(), orders.starts.begin(), orders.starts.end());
            all.polls.insert(all.polls.end(), orders.polls.begin(), orders.polls.end());
        }
        return all;
    }

    JobTable table;
    std::int64_t offset { 1 };
    Millis now { 1000 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskPlannerPollsTest);

} // namespace
