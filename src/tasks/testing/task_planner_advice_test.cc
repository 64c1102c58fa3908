// Queues whose policy only an advice service knows: how long its tickets are valid, how long its answers
// take, and what happens while it gives none.

#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::CallFate;
using rattan::tasks::testing::CallKind;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr Millis maxIdleTime = 3000;
constexpr Resources wholeWorker { 10000, 10000, 8 };
constexpr Resources oneAccelerator { 1000, 1000, 1 };

Job createJob(const std::string& id, Step step, AdviceTerms advice)
{
    Job result { .id = id, .workspace = "c", .text = "work", .steps = { std::move(step) } };
    result.terms = { .queue = "q", .service = "s", .priority = 1, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000, .advice = advice };
    return result;
}

Job createGang(const std::string& id, std::int64_t members, AdviceTerms advice)
{
    return createJob(id, { .count = members, .perTask = wholeWorker, .estimate = 2000, .gang = true }, advice);
}

// How long it takes until workers have started `runs` runs of the job; `limit` if they don't.
Millis timeUntilRuns(VirtualSite& site, const std::string& job, std::int64_t runs, Millis limit = 30000)
{
    const Millis since = site.now;
    while (site.runsOf(job) < runs && site.now < since + limit)
        site.run(site.now + 5);
    return site.now - since;
}

class TaskPlannerAdviceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TaskPlannerAdviceTest);
    CPPUNIT_TEST(tasksStartWithTicketsOfAnyValidity);
    CPPUNIT_TEST(tasksStartWithTicketsShorterThanRecords);
    CPPUNIT_TEST(gangsStartWithTicketsShorterThanAnswers);
    CPPUNIT_TEST(busyStepsRequestAdviceOnce);
    CPPUNIT_TEST(resourcesAreNotHeldWhileAdviceIsAway);
    CPPUNIT_TEST(tasksThatAwaitTicketsLeaveDrainingWorkers);
    CPPUNIT_TEST(tasksThatAwaitTicketsSurviveTakeovers);
    CPPUNIT_TEST(queuesMayLoseTheirPolicyWhileTasksAwaitTickets);
    CPPUNIT_TEST(repeatedStartsCarryValidTickets);
    CPPUNIT_TEST(gangsSurviveRejectedTickets);
    CPPUNIT_TEST(rejectedTicketsAreRetriedAtIncreasingIntervals);
    CPPUNIT_TEST(lateAnswersHaveOldTickets);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against jobs that never begin because their tickets are valid for less than a fixed time.
    void tasksStartWithTicketsOfAnyValidity()
    {
        for (const Millis validity : { 50, 100, 150, 200, 400, 600, 900, 999, 1000, 3000 }) {
            VirtualSite site({ .seed = 81, .workers = 8, .failures = 0 });
            site.newPlanner();
            site.run(2000);
            for (int i = 0; i < 6; ++i)
                site.submit(createJob(fmt::format("j{}", i), { .count = 2, .perTask = oneAccelerator, .estimate = 1000 }, { 50, 5, validity }));
            const Millis waited = timeUntilRuns(site, "j5", 2);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("tickets for {} ms: waited {} ms", validity, waited), waited <= maxIdleTime);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("tickets for {} ms", validity), site.runUntilFinished(20000));
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.startsWithoutTicket);
            assertNoViolations(site);
        }
    }

    // Guards against starts whose tickets expire while their records are written, and which are decided anew
    // each time.
    void tasksStartWithTicketsShorterThanRecords()
    {
        VirtualSite site({ .seed = 82, .workers = 8, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.delayRecords(1200);
        site.submit(createJob("j", { .count = 4, .perTask = oneAccelerator, .estimate = 1000 }, { 50, 5, 900 }));
        CPPUNIT_ASSERT(timeUntilRuns(site, "j", 4) <= maxIdleTime);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.startsWithoutTicket);
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        assertNoViolations(site);
    }

    // Guards against gangs that never begin because the first of their tickets expire before the last arrive.
    // The largest gang needs more tickets than one request can return.
    void gangsStartWithTicketsShorterThanAnswers()
    {
        for (const std::int64_t members : { 2, 20, 60, 120 }) {
            VirtualSite site({ .seed = 83, .workers = static_cast<int>(members) * 2, .failures = 0 });
            site.newPlanner();
            site.run(2000);
            site.submit(createGang("g", members, { 20, 4, 150 }));
            const Millis waited = timeUntilRuns(site, "g", members);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} members: waited {} ms", members, waited), waited <= maxIdleTime);
            CPPUNIT_ASSERT(site.runUntilFinished(30000));
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.countEnds(RunEnd::GangIncomplete));
            CPPUNIT_ASSERT_EQUAL(members, site.runsOf("g"));
            assertNoViolations(site);
        }
    }

    // Guards against steps that request advice all the time while their workers are busy, which delays the
    // steps of all other queues.
    void busyStepsRequestAdviceOnce()
    {
        VirtualSite site({ .seed = 84, .workers = 8, .failures = 0 });
        site.newPlanner();
        site.submit(createJob("long", { .count = 8, .perTask = wholeWorker, .estimate = 60000 }, {}));
        site.run(3000);
        site.submit(createJob("j", { .perTask = wholeWorker, .estimate = 1000 }, { 50, 5, 500 }));
        site.run(30000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.runsOf("j"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 8 }, site.workersInAdviceRequests);
        site.cancel("long");
        CPPUNIT_ASSERT(timeUntilRuns(site, "j", 1) <= maxIdleTime);
        assertNoViolations(site);
    }

    // Guards against resources that are withheld from other jobs for a start that gets no ticket.
    void resourcesAreNotHeldWhileAdviceIsAway()
    {
        VirtualSite site({ .seed = 85, .workers = 1, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.delayRecords(600);
        site.submit(createJob("j", { .perTask = wholeWorker, .estimate = 1000 }, { 50, 5, 300 }));
        site.run(site.now + 200);
        site.setAdviceAway(true);
        site.run(site.now + 1500);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.runsOf("j"));
        site.submit(createJob("other", { .perTask = wholeWorker, .estimate = 1000 }, {}));
        CPPUNIT_ASSERT(timeUntilRuns(site, "other", 1) <= maxIdleTime);
        site.setAdviceAway(false);
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        CPPUNIT_ASSERT(site.stateOf("j") == JobState::Completed);
        CPPUNIT_ASSERT(site.adviceRequests < 20);
        assertNoViolations(site);
    }

    // Guards against a start on a worker that began to leave while the start waited for its ticket.
    void tasksThatAwaitTicketsLeaveDrainingWorkers()
    {
        VirtualSite site({ .seed = 86, .workers = 8, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.delayRecords(600);
        site.submit(createJob("j", { .count = 8, .perTask = oneAccelerator, .estimate = 1000 }, { 400, 0, 300 }));
        site.run(site.now + 1200);
        for (const char* id : { "w00", "w02", "w04" })
            site.leave(id);
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.startsWhileLeaving);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.startsWithoutTicket);
        assertNoViolations(site);
    }

    // Guards against tasks that are lost, or run twice, if their planner is replaced while they wait for
    // tickets.
    void tasksThatAwaitTicketsSurviveTakeovers()
    {
        VirtualSite site({ .seed = 87, .workers = 8, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.delayRecords(600);
        site.submit(createJob("j", { .count = 8, .perTask = oneAccelerator, .estimate = 1000 }, { 200, 0, 300 }));
        site.submit(createGang("g", 3, { 200, 0, 300 }));
        for (int i = 0; i < 4; ++i) {
            site.run(site.now + 900);
            site.newPlanner();
        }
        CPPUNIT_ASSERT(site.runUntilFinished(site.now + 20000));
        CPPUNIT_ASSERT(site.stateOf("j") == JobState::Completed);
        CPPUNIT_ASSERT(site.stateOf("g") == JobState::Completed);
        assertNoViolations(site);
    }

    // Guards against tasks that wait for tickets after their queue has lost its policy.
    void queuesMayLoseTheirPolicyWhileTasksAwaitTickets()
    {
        VirtualSite site({ .seed = 88, .workers = 8, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.delayRecords(600);
        site.submit(createJob("j", { .count = 4, .perTask = oneAccelerator, .estimate = 1000 }, { 300, 0, 200 }));
        site.run(site.now + 1000);
        site.setAdviceAway(true);
        site.dropPolicy("q");
        CPPUNIT_ASSERT(timeUntilRuns(site, "j", 4) <= maxIdleTime);
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        assertNoViolations(site);
    }

    // Guards against a start that is repeated after its ticket has expired: the rejection doesn't settle the
    // first attempt, so the run is stopped and its task begins late.
    void repeatedStartsCarryValidTickets()
    {
        VirtualSite site({ .seed = 89, .workers = 8, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.failNextCalls({ .kind = CallKind::Start, .fate = CallFate::Lost, .count = 1 });
        site.submit(createGang("g", 3, { 50, 5, 200 }));
        CPPUNIT_ASSERT(timeUntilRuns(site, "g", 3) <= maxIdleTime);
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.startsWithoutTicket);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 3 }, site.runsOf("g"));
        assertNoViolations(site);
    }

    // Guards against a gang that is stopped whole because the ticket of one member expired on the way.
    void gangsSurviveRejectedTickets()
    {
        VirtualSite site({ .seed = 90, .workers = 16, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.rejectNextTickets(2);
        site.submit(createGang("g", 6, { 50, 5, 900 }));
        CPPUNIT_ASSERT(timeUntilRuns(site, "g", 6) <= maxIdleTime);
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.startsWithoutTicket);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 6 }, site.runsOf("g"));
        assertNoViolations(site);
    }

    // Guards against starts that are rejected again and again in a tight loop if no ticket lasts for the
    // way to the worker. Once tickets last, the jobs begin.
    void rejectedTicketsAreRetriedAtIncreasingIntervals()
    {
        VirtualSite site({ .seed = 91, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.rejectNextTickets(1'000'000);
        site.submit(createJob("j", { .count = 2, .perTask = oneAccelerator, .estimate = 1000 }, { 20, 5, 100 }));
        site.run(22000);
        constexpr std::int64_t maxRejections = 100;
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} starts, {} requests", site.startsWithoutTicket, site.adviceRequests), site.startsWithoutTicket > 0 && site.startsWithoutTicket <= maxRejections && site.adviceRequests <= maxRejections);
        site.rejectNextTickets(0);
        CPPUNIT_ASSERT(timeUntilRuns(site, "j", 2) <= maxIdleTime);
        CPPUNIT_ASSERT(site.runUntilFinished(40000));
        assertNoViolations(site);
    }

    // Guards against tickets that count as valid although they expired on their way: those of a late answer
    // are used at once or not at all.
    void lateAnswersHaveOldTickets()
    {
        VirtualSite site({ .seed = 92, .workers = 8, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.delayAdvice(500);
        site.delayRecords(400);
        site.submit(createJob("j", { .count = 4, .perTask = oneAccelerator, .estimate = 1000 }, { 50, 5, 800 }));
        CPPUNIT_ASSERT(timeUntilRuns(site, "j", 4) <= maxIdleTime);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.startsWithoutTicket);
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        assertNoViolations(site);
    }

private:
    static void assertNoViolations(const VirtualSite& site)
    {
        CPPUNIT_ASSERT_MESSAGE(site.violations.empty() ? "" : site.violations.front(), site.violations.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskPlannerAdviceTest);

} // namespace
