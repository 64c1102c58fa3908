#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr Resources wholeWorker { 10000, 10000, 8 };

Job makePatientJob(const std::string& id, std::int64_t count, Millis estimate)
{
    Job result;
    result.id = id;
    result.workspace = "a";
    result.terms = { .queue = "q", .service = "s", .priority = 2, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    result.text = "work";
    result.steps.push_back({ .count = count, .perTask = wholeWorker, .estimate = estimate });
    return result;
}

std::vector<std::string> waitDetailsOf(const VirtualSite& site, const std::string& job)
{
    std::vector<std::string> details;
    for (const PlanEvent& event : site.planEvents) {
        if (event.kind == PlanEventKind::WorkWaits && event.job == job)
            details.push_back(event.detail);
    }
    return details;
}

class TaskPlannerReportsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TaskPlannerReportsTest);
    CPPUNIT_TEST(longWaitIsReportedWithReason);
    CPPUNIT_TEST(unavailableWorkersAreCountedByCause);
    CPPUNIT_TEST(shortWaitIsNotReported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against patient work that waits without an event in the log.
    void longWaitIsReportedWithReason()
    {
        VirtualSite site({ .seed = 41, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(makePatientJob("first", 4, 20000));
        site.run(2000);
        site.submit(makePatientJob("second", 2, 500));
        site.run(6500);
        const std::vector<std::string> details = waitDetailsOf(site, "second");
        CPPUNIT_ASSERT(details.size() >= 2 && details.size() <= 4);
        CPPUNIT_ASSERT_MESSAGE(details.back(), details.back().find("no room; room for 0 of 1 members") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(details.back(), details.back().find("2 units wait") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(details.back(), details.back().find("workers: 4 take work") != std::string::npos);
    }

    // Guards against unused workers without a cause in the log.
    void unavailableWorkersAreCountedByCause()
    {
        VirtualSite site({ .seed = 42, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.submit(makePatientJob("first", 4, 20000));
        site.run(4000);
        site.setPartitioned("w00", true);
        site.submit(makePatientJob("second", 2, 500));
        site.run(9000);
        const std::vector<std::string> details = waitDetailsOf(site, "second");
        CPPUNIT_ASSERT(!details.empty());
        CPPUNIT_ASSERT_MESSAGE(details.back(), details.back().find("3 take work, 1 silent") != std::string::npos);
    }

    // Guards against events for waits that are no delay.
    void shortWaitIsNotReported()
    {
        VirtualSite site({ .seed = 43, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(makePatientJob("first", 4, 1000));
        site.submit(makePatientJob("second", 4, 1000));
        CPPUNIT_ASSERT(site.runUntilFinished(10000));
        CPPUNIT_ASSERT(waitDetailsOf(site, "first").empty() && waitDetailsOf(site, "second").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskPlannerReportsTest);

} // namespace
