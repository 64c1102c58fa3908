// Room that is free and nobody else's is used: nothing waits beside it without a limit.

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

void assertSound(const VirtualSite& site)
{
    CPPUNIT_ASSERT_MESSAGE(site.broken.empty() ? "" : site.broken.front(), site.broken.empty());
}

class FreeRoomTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FreeRoomTest);
    CPPUNIT_TEST(aTaskThatMayNotUseAWorkerHoldsUpNoSibling);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreeRoomTest);

} // namespace
