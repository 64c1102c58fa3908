// Resources that is free and nobody else's is used: nothing waits beside it without a limit.

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
constexpr Resources one { 10000, 10000, 1 };

void assertSound(const VirtualSite& site)
{
    CPPUNIT_ASSERT_MESSAGE(site.broken.empty() ? "" : site.broken.front(), site.broken.empty());
}

class FreeRoomTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FreeRoomTest);
    CPPUNIT_TEST(aTaskThatMayNotUseAWorkerHoldsUpNoSibling);
    CPPUNIT_TEST(aWorkerIsTriedAgainBesideARunThatLasts);
    CPPUNIT_TEST(whatNoWorkerCouldHoldTakesNoSearchForRunsToStop);
    CPPUNIT_TEST(questionsToTheAdviceServiceGoRound);
    CPPUNIT_TEST(anOccurrenceThatEndedBeforeAnEarlierOneOutlivesATakeover);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a whole step that waits because the first of its tasks has failed on the
    // only worker with room.
    void aTaskThatMayNotUseAWorkerHoldsUpNoSibling()
    {
        VirtualSite site({ .seed = 70, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.submit(job("long", 1, whole, 60000));
        site.run(2000);
        const std::string idle = site.hostOf("long", 0) == "w00" ? "w01" : "w00";
        site.failAll(idle, true);
        site.submit(job("three", 3, whole, 1000));
        site.run(2300);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("three"));
        site.failAll(idle, false);
        site.run(10000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 3 }, site.runsOf("three"));
        assertSound(site);
    }

    // Guards against room that nothing uses until the run beside it is over, which may last.
    void aWorkerIsTriedAgainBesideARunThatLasts()
    {
        VirtualSite site({ .seed = 71, .workers = 1, .failures = 0 });
        site.newPlanner();
        site.submit(job("long", 1, half, 120000));
        site.run(2000);
        site.failAll("w00", true);
        site.submit(job("bad", 1, one, 400));
        while (site.countEnds(RunEnd::Failed) < 2 && site.now < 10000)
            site.run(site.now + 5);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.countEnds(RunEnd::Failed));
        site.run(site.now + 300);
        site.failAll("w00", false);
        site.submit(job("good", 3, one, 400));
        site.run(site.now + 1000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.runsOf("good")); // It is not trusted yet.
        site.run(site.now + 9000);
        CPPUNIT_ASSERT(site.stateOf("good") == JobState::Completed);
        CPPUNIT_ASSERT(site.stateOf("long") == JobState::Running);
        assertSound(site);
    }

    // Guards against an urgent task that waits for as long as a few others before it, which no
    // worker could hold.
    void whatNoWorkerCouldHoldTakesNoSearchForRunsToStop()
    {
        VirtualSite site({ .seed = 72, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(job("patient", 4, whole, 60000, 2));
        site.run(3000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("patient"));
        for (int i = 0; i < 8; ++i) {
            Job nowhere = job("nowhere" + std::to_string(i), 1, one, 4000, 0);
            nowhere.steps.front().label = std::string("none");
            site.submit(nowhere);
        }
        site.run(3100);
        site.submit(job("urgent", 1, half, 4000, 0));
        site.run(5000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("urgent"));
        assertSound(site);
    }

    // Guards against a step that is never asked for, since a few before it, whose workers are
    // busy, have their tickets renewed all the time.
    void questionsToTheAdviceServiceGoRound()
    {
        VirtualSite site({ .seed = 73, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(job("long", 4, half, 120000, 0));
        site.submit(job("long2", 3, one, 120000, 0));
        site.run(3000);
        for (int i = 0; i < 10; ++i) {
            Job stuck = job("stuck" + std::to_string(i), 1, whole, 4000);
            stuck.terms.advice = { 700, 0, 1500 };
            site.submit(stuck);
        }
        site.run(4000);
        Job small = job("small", 1, one, 20000);
        small.terms.advice = { 700, 0, 1500 };
        site.submit(small);
        site.run(14000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("small"));
        assertSound(site);
    }

    // Guards against a job that is never over, as its planner was followed while a later
    // occurrence had ended and an earlier one had not.
    void anOccurrenceThatEndedBeforeAnEarlierOneOutlivesATakeover()
    {
        VirtualSite site({ .seed = 74, .workers = 2, .failures = 0 });
        site.newPlanner();
        Job timed = job("timed", 1, whole, 500);
        timed.repeats = 2;
        timed.startAt = 2000;
        timed.interval = 400;
        site.submit(timed);
        site.run(2200);
        const std::string host = site.hostOf("timed", 0);
        site.stall(host, true);
        site.run(3800);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.countEnds(RunEnd::Done));
        site.newPlanner();
        site.stall(host, false);
        CPPUNIT_ASSERT(site.runUntilOver(20000));
        assertSound(site);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreeRoomTest);

} // namespace
