// Stops that reach a worker before the start of their run, and a planner that has its turn
// rarely: each of its turns sends such a stop again, together with the poll that would settle it.

#include "tasks/testing/virtual_site.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

Job job(const std::string& id)
{
    Job result;
    result.id = id;
    result.workspace = "a";
    result.terms = { .queue = "q", .service = "s", .priority = 0, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    result.steps.push_back({ .count = 1, .perTask = { 10000, 10000, 8 }, .estimate = 5000 });
    return result;
}

std::string placedOn(const VirtualSite& site)
{
    const auto placed = std::find_if(site.planEvents.begin(), site.planEvents.end(), [](const PlanEvent& event) { return event.kind == PlanEventKind::UnitPlaced; });
    return placed == site.planEvents.end() ? "" : placed->worker;
}

class LateStopTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LateStopTest);
    CPPUNIT_TEST(aRunThatWasStoppedBeforeItsStartIsSettledWithFewTurns);
    CPPUNIT_TEST(aRunThatWasStoppedBeforeItsStartIsSettledWithManyTurns);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task that waits for ever for the end of a run that never began.
    void aRunThatWasStoppedBeforeItsStartIsSettledWithFewTurns() { this->stopBeforeStart(1000); }
    void aRunThatWasStoppedBeforeItsStartIsSettledWithManyTurns() { this->stopBeforeStart(250); }

private:
    void stopBeforeStart(Millis gap)
    {
        VirtualSite site({ .seed = 38, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.planEvery(gap);
        site.delayStarts(100);
        site.submit(job("j"));
        while (site.now < 6000 && placedOn(site).empty())
            site.run(site.now + 5);
        CPPUNIT_ASSERT(!placedOn(site).empty());
        site.run(site.now + 100); // It is recorded by now, and the start is decided.
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.runsOf("j"));
        site.leave(placedOn(site));
        site.run(site.now + gap + 200);
        site.delayStarts(0);
        site.runUntilOver(site.now + 25000);
        CPPUNIT_ASSERT_MESSAGE(site.broken.empty() ? "" : site.broken.front(), site.broken.empty());
        CPPUNIT_ASSERT(site.allOver());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateStopTest);

} // namespace
