// Ends that workers list a few at a time, until the ones before are acknowledged.

#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::CallFate;
using rattan::tasks::testing::CallKind;
using rattan::tasks::testing::SiteOptions;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr std::int64_t taskCount = 60;
constexpr std::size_t endsPerReport = 10;

Job makeJob(const std::string& id, std::int64_t count, Millis estimate)
{
    Job job;
    job.id = id;
    job.workspace = "a";
    job.terms = { .queue = "q", .service = "s", .priority = 1, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    job.text = "work";
    job.steps.push_back({ .count = count, .perTask = { 200, 100, 0 }, .estimate = estimate });
    return job;
}

void assertNoViolations(const VirtualSite& site)
{
    CPPUNIT_ASSERT_MESSAGE(site.violations.empty() ? "" : site.violations.front(), site.violations.empty());
}

SiteOptions optionsOf(std::uint64_t seed, Millis lease = 10000)
{
    return { .seed = seed, .workers = 1, .lease = lease, .failures = 0, .longPolls = true, .maxEndsPerReport = endsPerReport };
}

// All tasks end while no record becomes durable, so that the worker has many more ends than it lists.
void endTasksDuringAnOutage(VirtualSite& site, Millis outage = 4000)
{
    site.newPlanner();
    site.run(2000);
    site.submit(makeJob("many", taskCount, 2000));
    site.run(4000);
    site.delayRecords(outage);
    site.run(4000 + outage);
    site.delayRecords(0);
}

class TaskPlannerEndsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TaskPlannerEndsTest);
    CPPUNIT_TEST(endsBeyondAReportAreNotLost);
    CPPUNIT_TEST(successorWaitsForEndsBeyondAReport);
    CPPUNIT_TEST(endsOutlastALease);
    CPPUNIT_TEST(lostStartIsRepeatedBehindManyEnds);
    CPPUNIT_TEST(restartIsNotTakenForUnreadEnds);
    CPPUNIT_TEST(allEndsOfAnIdleWorkerAreAcknowledged);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against tasks that run again although they ended as done, because their ends were not in the first report.
    void endsBeyondAReportAreNotLost()
    {
        VirtualSite site(optionsOf(1));
        endTasksDuringAnOutage(site);
        CPPUNIT_ASSERT(site.unacknowledgedEnds() > 2 * endsPerReport);
        CPPUNIT_ASSERT(site.runUntilFinished(12000));
        CPPUNIT_ASSERT_EQUAL(taskCount, site.runsOf("many"));
        CPPUNIT_ASSERT(site.stateOf("many") == JobState::Completed);
        assertNoViolations(site);
    }

    // Guards against a planner that takes over, reads a partial list of ends first, and either starts the
    // tasks again or never acknowledges the ends that it has read.
    void successorWaitsForEndsBeyondAReport()
    {
        VirtualSite site(optionsOf(2));
        endTasksDuringAnOutage(site);
        site.killPlanner();
        site.newPlanner();
        CPPUNIT_ASSERT(site.runUntilFinished(site.now + 2000));
        CPPUNIT_ASSERT_EQUAL(taskCount, site.runsOf("many"));
        assertNoViolations(site);
    }

    // Guards against unread ends that are given up when the lease of their worker is over, although it answers.
    void endsOutlastALease()
    {
        VirtualSite site(optionsOf(3, 3000));
        endTasksDuringAnOutage(site, 12000);
        CPPUNIT_ASSERT(site.runUntilFinished(site.now + 8000));
        CPPUNIT_ASSERT_EQUAL(taskCount, site.runsOf("many"));
        assertNoViolations(site);
    }

    // Guards against a task whose start never arrived and that waits for good behind a long list of ends.
    void lostStartIsRepeatedBehindManyEnds()
    {
        VirtualSite site(optionsOf(4));
        site.newPlanner();
        site.run(2000);
        site.submit(makeJob("many", taskCount, 1000));
        site.run(2300);
        constexpr int attempts = 3;
        site.failNextCalls({ CallKind::Start, CallFate::Lost, attempts });
        site.submit(makeJob("lost", 1, 1000));
        site.run(2500);
        site.delayRecords(4000);
        site.run(6400);
        site.delayRecords(0);
        CPPUNIT_ASSERT(site.runUntilFinished(14000));
        CPPUNIT_ASSERT_EQUAL(taskCount, site.runsOf("many"));
        assertNoViolations(site);
    }

    // Guards against runs that are waited for after their worker has restarted, which has no ends of them.
    void restartIsNotTakenForUnreadEnds()
    {
        VirtualSite site(optionsOf(5));
        endTasksDuringAnOutage(site);
        site.restart("w00");
        CPPUNIT_ASSERT(site.runUntilFinished(25000));
        CPPUNIT_ASSERT(site.stateOf("many") == JobState::Completed);
        assertNoViolations(site);
    }

    // Guards against ends that are never read because nothing runs on their worker any more.
    void allEndsOfAnIdleWorkerAreAcknowledged()
    {
        VirtualSite site(optionsOf(6));
        site.newPlanner();
        site.run(2000);
        site.submit(makeJob("many", taskCount, 20000));
        site.run(4000);
        site.cancel("many");
        site.run(6000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, site.unacknowledgedEnds());
        assertNoViolations(site);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskPlannerEndsTest);

} // namespace
