// A stop that reaches a worker before the start of its run, with a planner that has infrequent
// turns: each turn sends the stop again, together with the poll that would confirm the end of
// the run.

#include "tasks/testing/virtual_site.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

Job createJob(const std::string& id)
{
    Job result;
    result.id = id;
    result.workspace = "a";
    result.terms = { .queue = "q", .service = "s", .priority = 0, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    result.steps.push_back({ .count = 1, .perTask = { 10000, 10000, 8 }, .estimate = 5000 });
    return result;
}

std::string workerOfPlacedUnit(const VirtualSite& site)
{
    const auto placed = std::find_if(site.planEvents.begin(), site.planEvents.end(), [](const PlanEvent& event) { return event.kind == PlanEventKind::UnitPlaced; });
    return placed == site.planEvents.end() ? "" : placed->worker;
}

class StopBeforeStartTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StopBeforeStartTest);
    CPPUNIT_TEST(stopBeforeStartEndsTheRunWithFewPlannerTurns);
    CPPUNIT_TEST(stopBeforeStartEndsTheRunWithManyPlannerTurns);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task that waits forever for the end of a run that never started.
    void stopBeforeStartEndsTheRunWithFewPlannerTurns() { this->stopBeforeStart(1000); }
    void stopBeforeStartEndsTheRunWithManyPlannerTurns() { this->stopBeforeStart(250); }

private:
    void stopBeforeStart(Millis plannerInterval)
    {
        VirtualSite site({ .seed = 38, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.setPlannerInterval(plannerInterval);
        site.delayStarts(100);
        site.submit(createJob("j"));
        while (site.now < 6000 && workerOfPlacedUnit(site).empty())
            site.run(site.now + 5);
        CPPUNIT_ASSERT(!workerOfPlacedUnit(site).empty());
        site.run(site.now + 100); // By now the placement is recorded and the start is decided.
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.runsOf("j"));
        site.leave(workerOfPlacedUnit(site));
        site.run(site.now + plannerInterval + 200);
        site.delayStarts(0);
        site.runUntilFinished(site.now + 25000);
        CPPUNIT_ASSERT_MESSAGE(site.violations.empty() ? "" : site.violations.front(), site.violations.empty());
        CPPUNIT_ASSERT(site.allFinished());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopBeforeStartTest);

} // namespace
