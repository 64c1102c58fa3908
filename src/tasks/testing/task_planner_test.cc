#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::SiteOptions;
using rattan::tasks::testing::VirtualSite;

namespace {

Job makeJob(const std::string& id, std::int64_t count, Resources each, Millis estimate, std::int64_t priority = 1)
{
    Job result;
    result.id = id;
    result.workspace = "a";
    result.terms = { .queue = "q", .service = "s", .priority = priority, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    result.text = "work";
    result.steps.push_back({ .count = count, .perTask = each, .estimate = estimate });
    return result;
}

Job makeGang(const std::string& id, std::int64_t count, Resources each, Millis estimate, std::int64_t priority = 1)
{
    Job result = makeJob(id, count, each, estimate, priority);
    result.steps.front().gang = true;
    return result;
}

constexpr Resources wholeWorker { 10000, 10000, 8 };
constexpr Resources halfWorker { 10000, 10000, 4 };
constexpr Resources oneAccelerator { 10000, 50000, 1 };

void assertNoViolations(const VirtualSite& site)
{
    CPPUNIT_ASSERT_MESSAGE(site.violations.empty() ? "" : site.violations.front(), site.violations.empty());
}

class TaskPlannerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TaskPlannerTest);
    CPPUNIT_TEST(jobCompletes);
    CPPUNIT_TEST(stepsWaitForTheirDependencies);
    CPPUNIT_TEST(allMembersOfAGangRunTogether);
    CPPUNIT_TEST(occurrencesBeginWhenTheyAreDue);
    CPPUNIT_TEST(jobFailsAfterMaxAttempts);
    CPPUNIT_TEST(cancelledJobIsStopped);
    CPPUNIT_TEST(guaranteedJobEvictsPatientTasks);
    CPPUNIT_TEST(waitOfUrgentJobIsReportedOnce);
    CPPUNIT_TEST(guaranteedJobStartsBetweenFullRounds);
    CPPUNIT_TEST(waitOfGuaranteedJobIsReported);
    CPPUNIT_TEST(takeoverKeepsRunningTasks);
    CPPUNIT_TEST(tasksOfUnreachableWorkerWaitForLeaseExpiry);
    CPPUNIT_TEST(delayedStartDoesNotExtendItsLease);
    CPPUNIT_TEST(leasesGrantedByPreviousPlannerAreAwaited);
    CPPUNIT_TEST(tasksOfRestartedWorkerRunAgain);
    CPPUNIT_TEST(unreadEndsOfNextIncarnationAreNotAcknowledged);
    CPPUNIT_TEST(lostStartIsRepeated);
    CPPUNIT_TEST(unsentStartDoesNotStopItsGang);
    CPPUNIT_TEST(repeatedStartDoesNotRestartEndedRun);
    CPPUNIT_TEST(unreachableDomainDelaysAtMostTwoJobs);
    CPPUNIT_TEST(stalledTasksAreMoved);
    CPPUNIT_TEST(unequalMembersAreNotConsideredStalled);
    CPPUNIT_TEST(tiedSlowestMembersAreNotQuarantined);
    CPPUNIT_TEST(takeoverPollsBusyWorkersFirst);
    CPPUNIT_TEST(idlePollsAreLimitedWhileNoUnitWaits);
    CPPUNIT_TEST(noEvictionBeforeIdleWorkersArePolled);
    CPPUNIT_TEST(workerThatFailsAllRunsIsQuarantined);
    CPPUNIT_TEST(idleWorkersKeptForUrgentJobsAreLent);
    CPPUNIT_TEST(recordsOfFinalJobsAreDeleted);
    CPPUNIT_TEST(longRunningTasksAreRestarted);
    CPPUNIT_TEST(stepsRunOnlyOnWorkersTheirPolicyAllows);
    CPPUNIT_TEST(expiredTicketsAreRequestedAgain);
    CPPUNIT_TEST(policyIsEnforcedAfterTakeover);
    CPPUNIT_TEST(policyMayRequireWorkersThatFailedTheGang);
    CPPUNIT_TEST_SUITE_END();

public:
    void jobCompletes()
    {
        VirtualSite site({ .seed = 1, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("j1", 20, oneAccelerator, 2000));
        CPPUNIT_ASSERT(site.runUntilFinished(10000));
        CPPUNIT_ASSERT(site.stateOf("j1") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 20 }, site.runsOf("j1"));
        assertNoViolations(site);
    }

    void stepsWaitForTheirDependencies()
    {
        VirtualSite site({ .seed = 2, .failures = 0 });
        site.newPlanner();
        Job dependentJob = makeJob("j1", 3, oneAccelerator, 1000);
        dependentJob.steps.push_back({ .count = 2, .perTask = oneAccelerator, .estimate = 500, .dependsOn = { 0 } });
        dependentJob.steps.push_back({ .count = 1, .perTask = oneAccelerator, .estimate = 500, .dependsOn = { 0, 1 } });
        site.submit(dependentJob);
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        CPPUNIT_ASSERT(site.stateOf("j1") == JobState::Completed);
        assertNoViolations(site);
    }

    void allMembersOfAGangRunTogether()
    {
        VirtualSite site({ .seed = 3, .failures = 0 });
        site.newPlanner();
        site.submit(makeGang("g1", 8, wholeWorker, 2000));
        CPPUNIT_ASSERT(site.runUntilFinished(10000));
        CPPUNIT_ASSERT(site.stateOf("g1") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.countEnds(RunEnd::GangIncomplete));
        assertNoViolations(site);
    }

    void occurrencesBeginWhenTheyAreDue()
    {
        VirtualSite site({ .seed = 4, .failures = 0 });
        site.newPlanner();
        Job repeatedJob = makeJob("j1", 1, oneAccelerator, 300);
        repeatedJob.repeats = 3;
        repeatedJob.startAt = 4000;
        repeatedJob.interval = 2000;
        site.submit(repeatedJob);
        site.run(3900);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.runsOf("j1"));
        site.run(5000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("j1"));
        CPPUNIT_ASSERT(site.runUntilFinished(12000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 3 }, site.runsOf("j1"));
        assertNoViolations(site);
    }

    void jobFailsAfterMaxAttempts()
    {
        VirtualSite site({ .seed = 5, .failures = 1 });
        site.newPlanner();
        site.submit(makeJob("j1", 1, oneAccelerator, 400));
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        CPPUNIT_ASSERT(site.stateOf("j1") == JobState::Failed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("j1"));
        assertNoViolations(site);
    }

    void cancelledJobIsStopped()
    {
        VirtualSite site({ .seed = 6, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("j1", 10, oneAccelerator, 60000));
        site.run(3000);
        site.cancel("j1");
        site.run(4000);
        CPPUNIT_ASSERT(site.stateOf("j1") == JobState::Cancelled);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 10 }, site.countEnds(RunEnd::Stopped));
        assertNoViolations(site);
    }

    // Guards against a guaranteed job that waits for the end of others' tasks although its workspace
    // is guaranteed the accelerators. All workers are occupied by patient tasks when it arrives.
    void guaranteedJobEvictsPatientTasks()
    {
        VirtualSite site({ .seed = 7, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("patient", 96, oneAccelerator, 60000, 2));
        site.run(3000);
        site.submit(makeGang("urgent", 3, wholeWorker, 1000, 0));
        site.run(4500);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 3 }, site.runsOf("urgent"));
        assertNoViolations(site);
    }

    // Guards against a guaranteed job that starts late because the last round over all units took
    // long, so that such rounds pause.
    void guaranteedJobStartsBetweenFullRounds()
    {
        constexpr Millis roundDuration = 800;
        VirtualSite site({ .seed = 8, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("patient", 200, oneAccelerator, 20000));
        site.run(2000);
        while (site.planner->lastRound().kind != RoundKind::Full)
            site.run(site.now + 5);
        site.planner->reportStepDuration(roundDuration, site.now);
        site.submit(makeGang("urgent", 2, halfWorker, 500, 0));
        const Millis submitted = site.now;
        while (site.runsOf("urgent") < 2 && site.now < submitted + 5000)
            site.run(site.now + 5);
        CPPUNIT_ASSERT_LESS(submitted + 2 * roundDuration, site.now);
        assertNoViolations(site);
    }

    // Guards against a guaranteed job that waits without an event in the log.
    void waitOfGuaranteedJobIsReported()
    {
        VirtualSite site({ .seed = 9, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.submit(makeGang("first", 2, wholeWorker, 5000, 0));
        site.run(2000);
        site.submit(makeGang("second", 1, wholeWorker, 500, 0));
        site.run(4000);
        const auto isReported = [](const PlanEvent& event) { return event.kind == PlanEventKind::GuaranteeWaits && event.job == "second"; };
        CPPUNIT_ASSERT(std::any_of(site.planEvents.begin(), site.planEvents.end(), isReported));
    }

    // Guards against an urgent job that waits without an event in the log, or with one event per
    // round. The job is outside its workspace's guarantee, and the patient tasks have run for so
    // long that evicting one would lose too much work.
    void waitOfUrgentJobIsReportedOnce()
    {
        VirtualSite site({ .seed = 35, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("patient", 12, wholeWorker, 60000, 2));
        site.run(25000);
        Job urgent = makeJob("urgent", 1, wholeWorker, 1000, 0);
        urgent.workspace = "without a guarantee";
        site.submit(urgent);
        site.run(27000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.runsOf("urgent"));
        std::vector<std::string> reasons;
        for (const PlanEvent& event : site.planEvents) {
            if (event.kind == PlanEventKind::UnitWaits && event.job == "urgent")
                reasons.push_back(event.detail);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, reasons.size());
        CPPUNIT_ASSERT(reasons.front().find("core-seconds") != std::string::npos);
        assertNoViolations(site);
    }

    // Guards against tasks that are restarted or lost when the planner dies while they run and
    // another planner takes over seconds later.
    void takeoverKeepsRunningTasks()
    {
        VirtualSite site({ .seed = 8, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("j1", 20, oneAccelerator, 4000));
        site.submit(makeGang("g1", 3, halfWorker, 5000));
        site.run(2000);
        site.killPlanner();
        site.run(4400);
        site.newPlanner();
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        CPPUNIT_ASSERT(site.stateOf("j1") == JobState::Completed);
        CPPUNIT_ASSERT(site.stateOf("g1") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 20 }, site.runsOf("j1"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 3 }, site.runsOf("g1"));
        assertNoViolations(site);
    }

    // Guards against a task that runs twice at the same time: an unreachable worker continues its
    // tasks until its lease expires, so they must not start elsewhere before.
    void tasksOfUnreachableWorkerWaitForLeaseExpiry()
    {
        VirtualSite site({ .seed = 9, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("j1", 4, wholeWorker, 9000));
        site.run(2000);
        site.setPartitioned("w00", true);
        site.run(7000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("j1"));
        CPPUNIT_ASSERT(site.runUntilFinished(40000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 5 }, site.runsOf("j1"));
        assertNoViolations(site);
    }

    // Guards against a task that runs twice at the same time: starts are delayed for seconds behind
    // unanswered ones, and the worker executes them although its answers are lost. If the lease
    // counted from the time of sending, it would outlive the planner's lease, which counts from the
    // decision, and the task would start elsewhere while it runs.
    void delayedStartDoesNotExtendItsLease()
    {
        VirtualSite site({ .seed = 36, .workers = 2, .failures = 0 });
        site.delayStarts(3000);
        site.newPlanner();
        site.run(1500);
        site.submit(makeJob("j1", 1, wholeWorker, 60000));
        site.run(1600);
        site.loseAnswers(1);
        site.run(5000);
        const std::string host = site.hostOf("j1", 0);
        site.run(11100); // The start was sent three times, the last time three seconds after the decision.
        site.setPartitioned(host, true);
        site.delayStarts(0);
        site.run(30000);
        CPPUNIT_ASSERT(site.runsOf("j1") > 1);
        assertNoViolations(site);
    }

    // Guards against tasks that run twice at the same time after a takeover. A planner that misses
    // its predecessor's heartbeats takes over before the predecessor's term ends. Until then the
    // predecessor may renew leases at workers that the new planner cannot reach.
    void leasesGrantedByPreviousPlannerAreAwaited()
    {
        VirtualSite site({ .seed = 37, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("j1", 1, wholeWorker, 60000));
        site.run(3000);
        const std::string host = site.hostOf("j1", 0);
        site.setPartitioned(host, true);
        site.newPlanner();
        site.run(3900);
        site.renewByEarlierPlanner(host);
        site.run(20000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("j1"));
        assertNoViolations(site);
    }

    void tasksOfRestartedWorkerRunAgain()
    {
        VirtualSite site({ .seed = 10, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("j1", 4, wholeWorker, 5000));
        site.run(3000);
        site.restart("w01");
        CPPUNIT_ASSERT(site.runUntilFinished(30000));
        CPPUNIT_ASSERT(site.stateOf("j1") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 5 }, site.runsOf("j1"));
        assertNoViolations(site);
    }

    // Guards against a failure domain that is cut off while urgent jobs keep arriving, and delays
    // one job per worker. A job whose start went there cannot start elsewhere before the lease
    // expires, and is late; at most two jobs may be late.
    void unreachableDomainDelaysAtMostTwoJobs()
    {
        VirtualSite site({ .seed = 1, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        for (const char* worker : { "w08", "w09", "w10", "w11" })
            site.setPartitioned(worker, true);
        constexpr int jobs = 8;
        for (int i = 0; i < jobs; ++i) {
            site.submit(makeJob(fmt::format("j{}", i), 1, wholeWorker, 1000, 0));
            site.run(site.now + 300);
        }
        site.run(site.now + 2000);
        int lateJobs = 0;
        for (int i = 0; i < jobs; ++i)
            lateJobs += site.stateOf(fmt::format("j{}", i)) == JobState::Completed ? 0 : 1;
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} late", lateJobs), lateJobs <= 2);
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        assertNoViolations(site);
    }

    // Guards against a task that runs twice: the answer to its start is lost, the run ends, and the
    // repeated start is refused as superseded.
    void repeatedStartDoesNotRestartEndedRun()
    {
        VirtualSite site({ .seed = 59, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.loseAnswers(1);
        site.submit(makeJob("j1", 1, oneAccelerator, 100));
        site.run(2200);
        site.loseAnswers(0);
        CPPUNIT_ASSERT(site.runUntilFinished(10000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("j1"));
        assertNoViolations(site);
    }

    // Guards against a gang that is stopped and restarted because the start of one member was not
    // sent: its relay was lost, or had not read the job yet.
    void unsentStartDoesNotStopItsGang()
    {
        VirtualSite site({ .seed = 58, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.suppressNextStarts(2);
        site.submit(makeGang("g1", 8, wholeWorker, 1000));
        CPPUNIT_ASSERT(site.runUntilFinished(10000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 8 }, site.runsOf("g1"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.countEnds(RunEnd::Stopped));
        assertNoViolations(site);
    }

    // Guards against an urgent gang that is late because it restarts for each lost message. The
    // network loses one order in ten or its answer, so more than half of the gangs of eight lose the
    // start of a member.
    void lostStartIsRepeated()
    {
        std::int64_t runs = 0;
        constexpr int simulations = 20;
        constexpr std::int64_t members = 8;
        for (std::uint64_t seed = 1; seed <= simulations; ++seed) {
            VirtualSite site({ .seed = seed, .lostOrders = 0.05, .lostAnswers = 0.05, .failures = 0 });
            site.newPlanner();
            site.submit(makeGang("g1", members, wholeWorker, 2000, 0));
            CPPUNIT_ASSERT(site.runUntilFinished(30000));
            assertNoViolations(site);
            runs += site.runsOf("g1");
        }
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} runs", runs), runs <= simulations * members * 11 / 10);
    }

    // Guards against a task that runs again after its end. A worker crashes and restarts at once
    // under its id, before the list of workers or a poll shows it. A start that was meant for the
    // earlier incarnation reaches the next one and ends there. A poll that still acknowledges ends
    // of the earlier incarnation would make the worker drop that end before it is read.
    void unreadEndsOfNextIncarnationAreNotAcknowledged()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            VirtualSite site({ .seed = seed, .workers = 2, .failures = 0 });
            site.newPlanner();
            for (int i = 0; i < 16; ++i)
                site.submit(makeJob(fmt::format("first{}", i), 1, oneAccelerator, 100 + 40 * i));
            site.run(2000 + static_cast<Millis>(seed) * 5);
            site.restart("w00");
            site.restart("w01");
            for (int i = 0; i < 12; ++i)
                site.submit(makeJob(fmt::format("next{}", i), 1, oneAccelerator, 30));
            CPPUNIT_ASSERT(site.runUntilFinished(30000));
            assertNoViolations(site);
            for (int i = 0; i < 12; ++i)
                CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf(fmt::format("next{}", i)));
        }
    }

    // Guards against jobs that never end because a worker's tasks make no progress while it answers
    // polls normally.
    void stalledTasksAreMoved()
    {
        VirtualSite site({ .seed = 11, .workers = 4, .failures = 0 });
        site.setStalled("w02", true);
        site.newPlanner();
        site.submit(makeJob("j1", 4, wholeWorker, 4000));
        CPPUNIT_ASSERT(site.runUntilFinished(30000));
        CPPUNIT_ASSERT(site.stateOf("j1") == JobState::Completed);
        assertNoViolations(site);
    }

    // Guards against large gangs that never complete because they are repeatedly stopped as stalled
    // shortly before their end: three of four members finish after a quarter of the time and wait
    // for the fourth.
    void unequalMembersAreNotConsideredStalled()
    {
        VirtualSite site({ .seed = 15, .workers = 4, .failures = 0, .uneven = true });
        site.newPlanner();
        site.submit(makeGang("g1", 4, wholeWorker, 10000));
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("g1"));
        assertNoViolations(site);
    }

    // Guards against a healthy worker that is quarantined. Two members of a gang stand still and the
    // third has progressed, so it is unknown which of the two blocks the other.
    void tiedSlowestMembersAreNotQuarantined()
    {
        VirtualSite site({ .seed = 31, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(makeGang("g1", 3, wholeWorker, 8000));
        site.run(1200);
        const std::string firstHost = site.hostOf("g1", 0);
        CPPUNIT_ASSERT(!firstHost.empty());
        const std::string secondHost = site.hostOf("g1", 1);
        CPPUNIT_ASSERT(!secondHost.empty());
        site.setStalled(firstHost, true);
        site.setStalled(secondHost, true);
        constexpr Millis stallDetected = 14000; // The third member progresses for eight seconds.
        site.run(stallDetected);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 6 }, site.runsOf("g1"));
        CPPUNIT_ASSERT_EQUAL(firstHost, site.hostOf("g1", 0));
        assertNoViolations(site);
    }

    // Guards against takeovers that never succeed: to poll 1,000 unknown workers at once takes a
    // slow machine longer than its term, so it cannot renew the term, and neither can the next
    // planner. Workers with runs are polled first because their leases expire.
    void takeoverPollsBusyWorkersFirst()
    {
        constexpr int workers = 1000;
        constexpr std::size_t maxPollsAtOnce = 50;
        VirtualSite site({ .seed = 32, .workers = workers, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("j1", 80, wholeWorker, 60000));
        site.run(4000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 80 }, site.runsOf("j1"));
        site.newPlanner();
        site.planner->step(site.now, site.now);
        const Orders orders = site.planner->takeOrders(site.now);
        CPPUNIT_ASSERT(orders.polls.size() <= maxPollsAtOnce);
        for (const PollOrder& poll : orders.polls)
            CPPUNIT_ASSERT(site.isBusy(poll.worker.id));
        CPPUNIT_ASSERT_EQUAL(site.now, site.planner->nextWake(site.now, site.now));
        site.newPlanner();
        constexpr Millis pollingTime = 1500;
        site.run(site.now + pollingTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t { workers }, site.planner->knownWorkerCount());
        assertNoViolations(site);
    }

    // Guards against late jobs after a takeover, when all workers must be polled again and ends and
    // starts could queue behind thousands of answers. Idle workers are polled slowly while no unit
    // waits, and as fast as possible once one does.
    void idlePollsAreLimitedWhileNoUnitWaits()
    {
        constexpr int workers = 1000;
        constexpr std::size_t maxIdlePollsAtOnce = 10;
        VirtualSite site({ .seed = 33, .workers = workers, .failures = 0 });
        site.newPlanner();
        site.planner->step(site.now, site.now);
        CPPUNIT_ASSERT(site.planner->takeOrders(site.now).polls.size() <= maxIdlePollsAtOnce);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, site.planner->takeOrders(site.now).polls.size());
        const Millis wake = site.planner->nextWake(site.now, site.now);
        CPPUNIT_ASSERT(wake > site.now && wake <= site.now + 20);
        site.submit(makeJob("j1", 30, wholeWorker, 60000));
        site.planner->step(site.now, site.now);
        CPPUNIT_ASSERT(site.planner->takeOrders(site.now).polls.size() > maxIdlePollsAtOnce);
    }

    // Guards against needless evictions after a takeover. Busy workers are polled first, so an urgent
    // job that arrives then finds all known workers occupied although most workers are idle. If it
    // evicted patient tasks, their work would be lost.
    void noEvictionBeforeIdleWorkersArePolled()
    {
        constexpr int workers = 200;
        VirtualSite site({ .seed = 34, .workers = workers, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("patient", 60, wholeWorker, 20000, 2));
        site.run(4000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 60 }, site.runsOf("patient"));
        site.newPlanner();
        site.submit(makeGang("urgent", 4, wholeWorker, 1000, 0));
        site.run(6000);
        CPPUNIT_ASSERT(site.stateOf("urgent") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.countEnds(RunEnd::Stopped));
        assertNoViolations(site);
    }

    void workerThatFailsAllRunsIsQuarantined()
    {
        VirtualSite site({ .seed = 12, .workers = 8, .failures = 0 });
        site.failAll("w03", true);
        site.newPlanner();
        for (int i = 0; i < 12; ++i)
            site.submit(makeJob("j" + std::to_string(i), 4, halfWorker, 1000));
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        for (int i = 0; i < 12; ++i)
            CPPUNIT_ASSERT(site.stateOf("j" + std::to_string(i)) == JobState::Completed);
        assertNoViolations(site);
    }

    // Guards against a large job that waits while most accelerators are idle: after a burst of urgent
    // jobs, workers are kept for them, and the large job fits nowhere else.
    void idleWorkersKeptForUrgentJobsAreLent()
    {
        VirtualSite site({ .seed = 13, .failures = 0 });
        site.newPlanner();
        for (int i = 0; i < 4; ++i)
            site.submit(makeGang("u" + std::to_string(i), 3, wholeWorker, 1000, 0));
        site.run(5000);
        site.submit(makeGang("large", 10, wholeWorker, 2000));
        site.run(8000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 10 }, site.runsOf("large"));
        assertNoViolations(site);
    }

    // Guards against records of jobs that ended long ago, which would fill the store and the memory
    // of every instance.
    void recordsOfFinalJobsAreDeleted()
    {
        VirtualSite site({ .seed = 16, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("j1", 2, oneAccelerator, 500));
        site.submit(makeJob("j2", 2, oneAccelerator, 60000));
        site.run(4000);
        site.cancel("j1");
        site.planner->forgetJobs({ "j1", "j2" });
        site.run(4500);
        CPPUNIT_ASSERT(!site.table.find("j1"));
        CPPUNIT_ASSERT(site.table.find("j2")); // Not final.
        assertNoViolations(site);
    }

    void longRunningTasksAreRestarted()
    {
        VirtualSite site({ .seed = 14, .failures = 1 });
        site.newPlanner();
        Job longRunningJob = makeJob("j1", 2, oneAccelerator, 1000);
        longRunningJob.steps.front().longRunning = true;
        // The planner doesn't limit the attempts of long-running tasks, but VirtualSite checks
        // maxAttempts of every job.
        longRunningJob.terms.maxAttempts = 1000;
        site.submit(longRunningJob);
        site.run(15000);
        CPPUNIT_ASSERT(site.stateOf("j1") == JobState::Running);
        CPPUNIT_ASSERT(site.runsOf("j1") > 8);
        assertNoViolations(site);
    }

    // Guards against jobs that never run because their starts are refused. The queue's policy allows
    // half of the workers, and only an external advice service knows which.
    void stepsRunOnlyOnWorkersTheirPolicyAllows()
    {
        VirtualSite site({ .seed = 41, .failures = 0, .lostAdvice = 0.3 });
        site.newPlanner();
        Job wideJob = makeJob("wide", 20, oneAccelerator, 2000);
        wideJob.terms.advice = { 20, 3, 60000 };
        Job gangJob = makeGang("together", 4, wholeWorker, 2000);
        gangJob.terms.advice = { 20, 3, 60000 };
        gangJob.steps.front().dataRack = "r1";
        site.submit(wideJob);
        site.submit(gangJob);
        site.submit(makeJob("free", 5, oneAccelerator, 1000));
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        for (const char* id : { "wide", "together", "free" })
            CPPUNIT_ASSERT(site.stateOf(id) == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.startsWithoutTicket);
        CPPUNIT_ASSERT(site.workersInAdviceRequests <= 24 * 3); // Once per worker and step, except for lost answers.
        assertNoViolations(site);
    }

    void expiredTicketsAreRequestedAgain()
    {
        VirtualSite site({ .seed = 42, .workers = 2, .failures = 0 });
        site.newPlanner();
        Job waveJob = makeJob("waves", 6, wholeWorker, 1500);
        waveJob.terms.advice = { 20, 3, 2500 };
        site.submit(waveJob);
        CPPUNIT_ASSERT(site.runUntilFinished(30000));
        CPPUNIT_ASSERT(site.stateOf("waves") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.startsWithoutTicket);
        CPPUNIT_ASSERT(site.workersInAdviceRequests > 2);
        assertNoViolations(site);
    }

    // Guards against a gang that waits forever: it avoids workers on which it failed, advice on these
    // is not requested again, and its policy allows too few other workers.
    void policyMayRequireWorkersThatFailedTheGang()
    {
        VirtualSite site({ .seed = 57, .failures = 0 });
        site.newPlanner();
        Job gangWithPolicy = makeGang("g1", 5, wholeWorker, 5000);
        gangWithPolicy.terms.advice = { 20, 3, 2000 };
        for (const char* id : { "w00", "w02" })
            site.failAll(id, true);
        site.submit(gangWithPolicy);
        while (site.countEnds(RunEnd::Failed) < 2 && site.now < 30000)
            site.run(site.now + 50);
        for (const char* id : { "w00", "w02" })
            site.failAll(id, false);
        CPPUNIT_ASSERT(site.runUntilFinished(site.now + 60000));
        CPPUNIT_ASSERT(site.stateOf("g1") == JobState::Completed);
        assertNoViolations(site);
    }

    // Guards against starts without a ticket after a takeover: tickets are not recorded, so the new
    // planner must request them again.
    void policyIsEnforcedAfterTakeover()
    {
        VirtualSite site({ .seed = 43, .failures = 0.2 });
        site.newPlanner();
        Job wideJob = makeJob("wide", 30, halfWorker, 2500);
        wideJob.terms.advice = { 20, 3, 60000 };
        site.submit(wideJob);
        site.run(2200);
        site.newPlanner();
        site.restart("w02");
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        CPPUNIT_ASSERT(isFinal(site.stateOf("wide")));
        assertNoViolations(site);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskPlannerTest);

} // namespace
