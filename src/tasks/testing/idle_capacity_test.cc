// Capacity that is free and not reserved is used: no work waits beside it indefinitely.

#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

Job createJob(const std::string& id, std::int64_t count, Resources each, Millis estimate, std::int64_t priority = 1)
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
constexpr Resources oneAccelerator { 10000, 10000, 1 };

void assertNoViolations(const VirtualSite& site)
{
    CPPUNIT_ASSERT_MESSAGE(site.violations.empty() ? "" : site.violations.front(), site.violations.empty());
}

class IdleCapacityTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(IdleCapacityTest);
    CPPUNIT_TEST(excludedWorkerDoesNotBlockOtherTasks);
    CPPUNIT_TEST(quarantinedWorkerIsRetriedBesideALongRun);
    CPPUNIT_TEST(unplaceableUnitsDoNotDelayEvictionForOthers);
    CPPUNIT_TEST(adviceRequestsReachAllSteps);
    CPPUNIT_TEST(occurrenceEndedOutOfOrderSurvivesTakeover);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a step of which all tasks wait because the first of them has failed on the
    // only worker with free capacity.
    void excludedWorkerDoesNotBlockOtherTasks()
    {
        VirtualSite site({ .seed = 70, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.submit(createJob("long", 1, wholeWorker, 60000));
        site.run(2000);
        const std::string idle = site.hostOf("long", 0) == "w00" ? "w01" : "w00";
        site.failAll(idle, true);
        site.submit(createJob("three", 3, wholeWorker, 1000));
        site.run(2300);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("three"));
        site.failAll(idle, false);
        site.run(10000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 3 }, site.runsOf("three"));
        assertNoViolations(site);
    }

    // Guards against capacity that stays unused until the run beside it ends, which may take long.
    void quarantinedWorkerIsRetriedBesideALongRun()
    {
        VirtualSite site({ .seed = 71, .workers = 1, .failures = 0 });
        site.newPlanner();
        site.submit(createJob("long", 1, halfWorker, 120000));
        site.run(2000);
        site.failAll("w00", true);
        site.submit(createJob("bad", 1, oneAccelerator, 400));
        while (site.countEnds(RunEnd::Failed) < 2 && site.now < 10000)
            site.run(site.now + 5);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.countEnds(RunEnd::Failed));
        site.run(site.now + 300);
        site.failAll("w00", false);
        site.submit(createJob("good", 3, oneAccelerator, 400));
        site.run(site.now + 1000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.runsOf("good")); // The worker is still quarantined.
        site.run(site.now + 9000);
        CPPUNIT_ASSERT(site.stateOf("good") == JobState::Completed);
        CPPUNIT_ASSERT(site.stateOf("long") == JobState::Running);
        assertNoViolations(site);
    }

    // Guards against an urgent task that waits for as long as a few tasks before it that no worker
    // can run.
    void unplaceableUnitsDoNotDelayEvictionForOthers()
    {
        VirtualSite site({ .seed = 72, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(createJob("patient", 4, wholeWorker, 60000, 2));
        site.run(3000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("patient"));
        for (int i = 0; i < 8; ++i) {
            Job nowhere = createJob("nowhere" + std::to_string(i), 1, oneAccelerator, 4000, 0);
            nowhere.steps.front().label = std::string("none");
            site.submit(nowhere);
        }
        site.run(3100);
        site.submit(createJob("urgent", 1, halfWorker, 4000, 0));
        site.run(5000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("urgent"));
        assertNoViolations(site);
    }

    // Guards against a step for which advice is never requested because a few steps before it,
    // whose workers are busy, have their tickets renewed all the time.
    void adviceRequestsReachAllSteps()
    {
        VirtualSite site({ .seed = 73, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(createJob("long", 4, halfWorker, 120000, 0));
        site.submit(createJob("long2", 3, oneAccelerator, 120000, 0));
        site.run(3000);
        for (int i = 0; i < 10; ++i) {
            Job stuck = createJob("stuck" + std::to_string(i), 1, wholeWorker, 4000);
            stuck.terms.advice = { 700, 0, 1500 };
            site.submit(stuck);
        }
        site.run(4000);
        Job small = createJob("small", 1, oneAccelerator, 20000);
        small.terms.advice = { 700, 0, 1500 };
        site.submit(small);
        site.run(14000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("small"));
        assertNoViolations(site);
    }

    // Guards against a job that never finishes because its planner was replaced while a later
    // occurrence had ended and an earlier one had not.
    void occurrenceEndedOutOfOrderSurvivesTakeover()
    {
        VirtualSite site({ .seed = 74, .workers = 2, .failures = 0 });
        site.newPlanner();
        Job timed = createJob("timed", 1, wholeWorker, 500);
        timed.repeats = 2;
        timed.startAt = 2000;
        timed.interval = 400;
        site.submit(timed);
        site.run(2200);
        const std::string host = site.hostOf("timed", 0);
        site.setStalled(host, true);
        site.run(3800);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.countEnds(RunEnd::Done));
        site.newPlanner();
        site.setStalled(host, false);
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        assertNoViolations(site);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleCapacityTest);

} // namespace
