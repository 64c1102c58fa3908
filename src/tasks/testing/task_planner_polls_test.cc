#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

Job job(const std::string& id, std::int64_t count, Room each, Millis time, std::int64_t priority = 1)
{
    Job result;
    result.id = id;
    result.workspace = "a";
    result.terms = { .queue = "q", .service = "s", .priority = priority, .mostAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    result.text = "work";
    result.steps.push_back({ .count = count, .each = each, .estimate = time });
    return result;
}

constexpr Room whole { 10000, 10000, 8 };
constexpr Room half { 10000, 10000, 4 };
constexpr Room one { 10000, 50000, 1 };

void assertSound(const VirtualSite& site)
{
    CPPUNIT_ASSERT_MESSAGE(site.broken.empty() ? "" : site.broken.front(), site.broken.empty());
}

class TaskPlannerPollsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TaskPlannerPollsTest);
    CPPUNIT_TEST(noWorkerIsPassedOverWhereMorePollsAreDueThanAreSent);
    CPPUNIT_TEST(idleWorkersAreNotPassedOverForBusyOnes);
    CPPUNIT_TEST(runsOfAWorkerThatWasNotAskedAreNotGivenUpUnread);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against leases that run out at the workers that come last in some order.
    void noWorkerIsPassedOverWhereMorePollsAreDueThanAreSent()
    {
        VirtualSite site({ .seed = 35, .workers = 150, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.planEvery(900);
        site.submit(job("long", 150, half, 20000));
        for (int i = 0; i < 20; ++i)
            site.submit(job("short" + std::to_string(i), 300, one, 1000));
        site.runUntilOver(90000);
        CPPUNIT_ASSERT(site.allOver());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.countEnds(RunEnd::Lapsed));
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
        site.planEvery(250);
        site.submit(job("waiting", 100, whole, 30000));
        constexpr Millis soon = 4000;
        site.run(site.now + soon);
        CPPUNIT_ASSERT_EQUAL(workers, site.planner->knownWorkers());
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
        site.holdPlanner(site.now + 9000);
        CPPUNIT_ASSERT(site.runUntilOver(20000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("j1"));
        for (const PlanEvent& event : site.planEvents)
            CPPUNIT_ASSERT(event.kind != PlanEventKind::RunLost);
        assertSound(site);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskPlannerPollsTest);

} // namespace
