#include "tasks/idle_jobs.h"

#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr Resources wholeWorker { 10000, 10000, 8 };

Job createGang(const std::string& id, std::int64_t members, Millis estimate, std::int64_t priority)
{
    Job result;
    result.id = id;
    result.workspace = "a";
    result.terms = { .queue = "q", .service = "s", .priority = priority, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    result.text = "work";
    result.steps.push_back({ .count = members, .perTask = wholeWorker, .estimate = estimate, .gang = members > 1 });
    return result;
}

// The last report of an idle job, or empty.
std::string lastReport(const VirtualSite& site, const std::string& job)
{
    std::string detail;
    for (const PlanEvent& event : site.planEvents) {
        if (event.kind == PlanEventKind::JobIdle && event.job == job)
            detail = event.detail;
    }
    return detail;
}

void assertContains(const std::string& text, const std::string& part) { CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos); }

class IdleJobsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(IdleJobsTest);
    CPPUNIT_TEST(silentWorkerIsNamedAsTheCause);
    CPPUNIT_TEST(unansweredStopIsNamedAsTheCause);
    CPPUNIT_TEST(unansweredStartIsNamedAsTheCause);
    CPPUNIT_TEST(workerThatDoesNotAnswerANewPlannerIsNamedAsTheCause);
    CPPUNIT_TEST(lackOfResourcesIsNamedAsTheCause);
    CPPUNIT_TEST(runningJobsAreNotReported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a log that does not tell why a job has nothing running.
    void silentWorkerIsNamedAsTheCause()
    {
        VirtualSite site({ .seed = 81, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(createGang("one", 1, 20000, 1));
        site.run(3000);
        site.setPartitioned(site.hostOf("one", 0), true);
        site.run(8500);
        assertContains(lastReport(site, "one"), "worker_silent, worker silent");
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.planner->idleJobs().byCause.at(static_cast<std::size_t>(IdleCause::WorkerSilent)));
    }

    // Guards against a stopped gang whose log does not name the member that it waits for.
    void unansweredStopIsNamedAsTheCause()
    {
        VirtualSite site({ .seed = 82, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(createGang("gang", 2, 20000, 1));
        site.run(3000);
        site.setPartitioned(site.hostOf("gang", 0), true);
        site.leave(site.hostOf("gang", 1));
        site.run(6500);
        assertContains(lastReport(site, "gang"), "stop_unanswered, worker silent");
    }

    // Guards against a start in doubt that the log does not tell apart from a wait for resources.
    void unansweredStartIsNamedAsTheCause()
    {
        VirtualSite site({ .seed = 83, .workers = 1, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.setPartitioned("w00", true);
        site.submit(createGang("one", 1, 20000, 1));
        site.run(5000);
        assertContains(lastReport(site, "one"), "stop_unanswered, worker silent");
        assertContains(lastReport(site, "one"), "stop requested");
    }

    // Guards against a takeover that waits for a worker without naming it.
    void workerThatDoesNotAnswerANewPlannerIsNamedAsTheCause()
    {
        VirtualSite site({ .seed = 84, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.submit(createGang("one", 1, 20000, 1));
        site.run(3000);
        site.setPartitioned(site.hostOf("one", 0), true);
        site.newPlanner();
        site.run(6000);
        assertContains(lastReport(site, "one"), "takeover_unsettled");
    }

    // Guards against a report that claims unused resources where there are none.
    void lackOfResourcesIsNamedAsTheCause()
    {
        VirtualSite site({ .seed = 85, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.submit(createGang("first", 2, 20000, 1));
        site.run(2000);
        site.submit(createGang("second", 1, 20000, 1));
        site.run(6000);
        assertContains(lastReport(site, "second"), "not_placed, no room, does not fit twice in unused resources");
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.planner->idleJobs().besideUnusedResources);
    }

    // Guards against reports of jobs that run.
    void runningJobsAreNotReported()
    {
        VirtualSite site({ .seed = 86, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(createGang("gang", 4, 20000, 1));
        site.run(15000);
        CPPUNIT_ASSERT_EQUAL(std::string(), lastReport(site, "gang"));
        CPPUNIT_ASSERT_EQUAL(Millis { 0 }, site.planner->idleJobs().longest);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleJobsTest);

} // namespace
