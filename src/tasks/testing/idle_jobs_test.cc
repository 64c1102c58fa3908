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

// Tasks that each occupy a worker of the rack.
Job createLongTasks(const std::string& rack, std::int64_t count)
{
    Job result = createGang(fmt::format("long-{}", rack), 1, 60000, 1);
    result.steps.front().count = count;
    result.steps.front().label = rack;
    return result;
}

// The last report of this kind on a job, or empty.
std::string lastReport(const VirtualSite& site, const std::string& job, PlanEventKind kind = PlanEventKind::JobIdle)
{
    std::string detail;
    for (const PlanEvent& event : site.planEvents) {
        if (event.kind == kind && event.job == job)
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
    CPPUNIT_TEST(eachHeldJobIsReported);
    CPPUNIT_TEST(rackIsNamedAsWhatWithholdsResources);
    CPPUNIT_TEST(unavailableWorkersAreNamedAsWhatWithholdsResources);
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

    // Guards against a log that names only one of several jobs that stand still.
    void eachHeldJobIsReported()
    {
        VirtualSite site({ .seed = 87, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(createGang("one", 1, 20000, 1));
        site.submit(createGang("two", 1, 20000, 1));
        site.run(3000);
        site.setPartitioned(site.hostOf("one", 0), true);
        site.setPartitioned(site.hostOf("two", 0), true);
        site.run(8500);
        assertContains(lastReport(site, "one", PlanEventKind::JobHeld), "worker_silent, worker silent");
        assertContains(lastReport(site, "two", PlanEventKind::JobHeld), "worker_silent, worker silent");
    }

    // Guards against a log that does not tell a wait for a rack from a lack of resources.
    void rackIsNamedAsWhatWithholdsResources()
    {
        VirtualSite site({ .seed = 88, .workers = 16, .failures = 0, .racks = 4 });
        site.newPlanner();
        for (const char* rack : { "r0", "r1", "r2", "r3" })
            site.submit(createLongTasks(rack, 2));
        site.run(2000);
        Job gang = createGang("gang", 3, 20000, 1);
        gang.steps.front().sameRack = true;
        site.submit(gang);
        site.run(4400);
        assertContains(lastReport(site, "gang", PlanEventKind::JobPassedOver), "withheld by rack");
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.planner->idleJobs().passedOver.at(static_cast<std::size_t>(Withholding::Rack)));
    }

    // Guards against a log that does not tell workers that take no work from a lack of resources.
    void unavailableWorkersAreNamedAsWhatWithholdsResources()
    {
        VirtualSite site({ .seed = 89, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.failAll("w00", true);
        site.failAll("w01", true);
        site.submit(createGang("bad", 1, 400, 1));
        site.submit(createGang("worse", 1, 400, 1));
        while (site.countEnds(RunEnd::Failed) < 4 && site.now < 10000)
            site.run(site.now + 5);
        site.submit(createGang("one", 1, 400, 1));
        site.run(site.now + 2800);
        assertContains(lastReport(site, "one", PlanEventKind::JobPassedOver), "withheld by unavailable_worker");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleJobsTest);

} // namespace
