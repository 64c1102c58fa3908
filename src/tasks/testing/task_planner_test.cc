#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::SiteOptions;
using rattan::tasks::testing::VirtualSite;

namespace {

Job job(const std::string& id, std::int64_t count, Resources each, Millis time, std::int64_t priority = 1)
{
    Job result;
    result.id = id;
    result.workspace = "a";
    result.terms = { .queue = "q", .service = "s", .priority = priority, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    result.text = "work";
    result.steps.push_back({ .count = count, .perTask = each, .estimate = time });
    return result;
}

Job gang(const std::string& id, std::int64_t count, Resources each, Millis time, std::int64_t priority = 1)
{
    Job result = job(id, count, each, time, priority);
    result.steps.front().gang = true;
    return result;
}

constexpr Resources whole { 10000, 10000, 8 };
constexpr Resources half { 10000, 10000, 4 };
constexpr Resources one { 10000, 50000, 1 };

void assertSound(const VirtualSite& site)
{
    CPPUNIT_ASSERT_MESSAGE(site.violations.empty() ? "" : site.violations.front(), site.violations.empty());
}

class TaskPlannerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TaskPlannerTest);
    CPPUNIT_TEST(aJobRunsToItsEnd);
    CPPUNIT_TEST(stepsWaitForThoseTheyDependOn);
    CPPUNIT_TEST(aGangRunsWhole);
    CPPUNIT_TEST(occurrencesBeginWhenTheyAreDue);
    CPPUNIT_TEST(aJobThatAlwaysFailsIsGivenUp);
    CPPUNIT_TEST(aCancelledJobIsStopped);
    CPPUNIT_TEST(guaranteedJobsGetTheirRoomBack);
    CPPUNIT_TEST(anUrgentJobThatWaitsIsExplained);
    CPPUNIT_TEST(aGuaranteedJobBeginsWhileRoundsOfAllUnitsRest);
    CPPUNIT_TEST(aGuaranteedJobThatWaitsIsExplained);
    CPPUNIT_TEST(aPlannerThatFollowsLosesNothing);
    CPPUNIT_TEST(aCutWorkerIsWaitedForUntilItsLeaseIsOver);
    CPPUNIT_TEST(aStartThatWaitedGrantsNoLongerLease);
    CPPUNIT_TEST(anEarlierPlannerMayGrantLeasesForTheRestOfItsTerm);
    CPPUNIT_TEST(aRestartedWorkerStartsAnew);
    CPPUNIT_TEST(endsOfTheNextIncarnationAreNotAcknowledgedUnread);
    CPPUNIT_TEST(aLostStartIsSentAgain);
    CPPUNIT_TEST(aGangIsNotStoppedForAStartThatWasNotSent);
    CPPUNIT_TEST(aRunThatEndedBeforeItsStartWasSentAgainIsNotBegunAnew);
    CPPUNIT_TEST(aDomainThatIsCutOffIsFoundOutByTwoStarts);
    CPPUNIT_TEST(aStalledWorkerLosesItsTasks);
    CPPUNIT_TEST(aGangOfUnequalMembersIsLeftAlone);
    CPPUNIT_TEST(membersThatStandEquallyFarAreNotBlamed);
    CPPUNIT_TEST(aTakeoverPollsBusyWorkersFirst);
    CPPUNIT_TEST(idleWorkersAreAskedInTheGaps);
    CPPUNIT_TEST(nothingIsStoppedBeforeIdleWorkersAreAsked);
    CPPUNIT_TEST(aWorkerThatFailsAllIsNotGivenEveryTask);
    CPPUNIT_TEST(keptWorkersAreLentWhileHalfIsIdle);
    CPPUNIT_TEST(jobsThatAreOverAreForgotten);
    CPPUNIT_TEST(tasksThatLastAreStartedAgain);
    CPPUNIT_TEST(stepsWithAPolicyRunWhereTheyMay);
    CPPUNIT_TEST(ticketsThatRanOutAreAskedForAgain);
    CPPUNIT_TEST(aPolicyOutlivesATakeover);
    CPPUNIT_TEST(workersThatFailedAGangAreAskedForWhenItsPolicyLeavesNoOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    void aJobRunsToItsEnd()
    {
        VirtualSite site({ .seed = 1, .failures = 0 });
        site.newPlanner();
        site.submit(job("j1", 20, one, 2000));
        CPPUNIT_ASSERT(site.runUntilFinished(10000));
        CPPUNIT_ASSERT(site.stateOf("j1") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 20 }, site.runsOf("j1"));
        assertSound(site);
    }

    void stepsWaitForThoseTheyDependOn()
    {
        VirtualSite site({ .seed = 2, .failures = 0 });
        site.newPlanner();
        Job chain = job("j1", 3, one, 1000);
        chain.steps.push_back({ .count = 2, .perTask = one, .estimate = 500, .dependsOn = { 0 } });
        chain.steps.push_back({ .count = 1, .perTask = one, .estimate = 500, .dependsOn = { 0, 1 } });
        site.submit(chain);
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        CPPUNIT_ASSERT(site.stateOf("j1") == JobState::Completed);
        assertSound(site);
    }

    void aGangRunsWhole()
    {
        VirtualSite site({ .seed = 3, .failures = 0 });
        site.newPlanner();
        site.submit(gang("g1", 8, whole, 2000));
        CPPUNIT_ASSERT(site.runUntilFinished(10000));
        CPPUNIT_ASSERT(site.stateOf("g1") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.countEnds(RunEnd::GangIncomplete));
        assertSound(site);
    }

    void occurrencesBeginWhenTheyAreDue()
    {
        VirtualSite site({ .seed = 4, .failures = 0 });
        site.newPlanner();
        Job timed = job("j1", 1, one, 300);
        timed.repeats = 3;
        timed.startAt = 4000;
        timed.interval = 2000;
        site.submit(timed);
        site.run(3900);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.runsOf("j1"));
        site.run(5000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("j1"));
        CPPUNIT_ASSERT(site.runUntilFinished(12000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 3 }, site.runsOf("j1"));
        assertSound(site);
    }

    void aJobThatAlwaysFailsIsGivenUp()
    {
        VirtualSite site({ .seed = 5, .failures = 1 });
        site.newPlanner();
        site.submit(job("j1", 1, one, 400));
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        CPPUNIT_ASSERT(site.stateOf("j1") == JobState::Failed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("j1"));
        assertSound(site);
    }

    void aCancelledJobIsStopped()
    {
        VirtualSite site({ .seed = 6, .failures = 0 });
        site.newPlanner();
        site.submit(job("j1", 10, one, 60000));
        site.run(3000);
        site.cancel("j1");
        site.run(4000);
        CPPUNIT_ASSERT(site.stateOf("j1") == JobState::Cancelled);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 10 }, site.countEnds(RunEnd::Stopped));
        assertSound(site);
    }

    // All workers are taken by patient work when a guaranteed job arrives. Its
    // workspace was promised the accelerators, so it must not wait for the work of
    // others to end.
    void guaranteedJobsGetTheirRoomBack()
    {
        VirtualSite site({ .seed = 7, .failures = 0 });
        site.newPlanner();
        site.submit(job("patient", 96, one, 60000, 2));
        site.run(3000);
        site.submit(gang("urgent", 3, whole, 1000, 0));
        site.run(4500);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 3 }, site.runsOf("urgent"));
        assertSound(site);
    }

    // An urgent job outside its workspace's guarantee waits for seconds beside patient
    // ones, because these have run for so long that stopping one loses too much. Its
    // caller asks why, and the log has to tell, once and not in every round.
    // Guards against a guaranteed job that begins late, behind a round which took long.
    void aGuaranteedJobBeginsWhileRoundsOfAllUnitsRest()
    {
        constexpr Millis roundTook = 800;
        VirtualSite site({ .seed = 8, .failures = 0 });
        site.newPlanner();
        site.submit(job("patient", 200, one, 20000));
        site.run(2000);
        while (site.planner->lastRound().kind != RoundKind::Full)
            site.run(site.now + 5);
        site.planner->reportStepDuration(roundTook, site.now);
        site.submit(gang("urgent", 2, half, 500, 0));
        const Millis submitted = site.now;
        while (site.runsOf("urgent") < 2 && site.now < submitted + 5000)
            site.run(site.now + 5);
        CPPUNIT_ASSERT_LESS(submitted + 2 * roundTook, site.now);
        assertSound(site);
    }

    // Guards against a late guaranteed job of which the log says nothing.
    void aGuaranteedJobThatWaitsIsExplained()
    {
        VirtualSite site({ .seed = 9, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.submit(gang("first", 2, whole, 5000, 0));
        site.run(2000);
        site.submit(gang("second", 1, whole, 500, 0));
        site.run(4000);
        const auto isExplained = [](const PlanEvent& event) { return event.kind == PlanEventKind::GuaranteeWaits && event.job == "second"; };
        CPPUNIT_ASSERT(std::any_of(site.planEvents.begin(), site.planEvents.end(), isExplained));
    }

    void anUrgentJobThatWaitsIsExplained()
    {
        VirtualSite site({ .seed = 35, .failures = 0 });
        site.newPlanner();
        site.submit(job("patient", 12, whole, 60000, 2));
        site.run(25000);
        Job urgent = job("urgent", 1, whole, 1000, 0);
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
        assertSound(site);
    }

    // The planner dies while tasks run; another takes over seconds later. Users see
    // nothing of it: no task is begun again, and none is forgotten.
    void aPlannerThatFollowsLosesNothing()
    {
        VirtualSite site({ .seed = 8, .failures = 0 });
        site.newPlanner();
        site.submit(job("j1", 20, one, 4000));
        site.submit(gang("g1", 3, half, 5000));
        site.run(2000);
        site.killPlanner();
        site.run(4400);
        site.newPlanner();
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        CPPUNIT_ASSERT(site.stateOf("j1") == JobState::Completed);
        CPPUNIT_ASSERT(site.stateOf("g1") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 20 }, site.runsOf("j1"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 3 }, site.runsOf("g1"));
        assertSound(site);
    }

    // A worker is cut off and works on. Until its lease is over its tasks may not
    // be begun elsewhere, or the same carriage would be booked twice.
    void aCutWorkerIsWaitedForUntilItsLeaseIsOver()
    {
        VirtualSite site({ .seed = 9, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(job("j1", 4, whole, 9000));
        site.run(2000);
        site.setPartitioned("w00", true);
        site.run(7000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("j1"));
        CPPUNIT_ASSERT(site.runUntilFinished(40000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 5 }, site.runsOf("j1"));
        assertSound(site);
    }

    // Starts wait for seconds behind others that get no answer, and then the worker
    // takes them although its answers are lost. A lease from when they were sent outlives
    // what the planner counts from its decision: it takes the run for over and starts
    // the task elsewhere while it runs, and a seat is held twice.
    void aStartThatWaitedGrantsNoLongerLease()
    {
        VirtualSite site({ .seed = 36, .workers = 2, .failures = 0 });
        site.delayStarts(3000);
        site.newPlanner();
        site.run(1500);
        site.submit(job("j1", 1, whole, 60000));
        site.run(1600);
        site.loseAnswers(1);
        site.run(5000);
        const std::string host = site.hostOf("j1", 0);
        site.run(11100); // The start was sent three times, the last time three seconds after its decision.
        site.setPartitioned(host, true);
        site.delayStarts(0);
        site.run(30000);
        CPPUNIT_ASSERT(site.runsOf("j1") > 1);
        assertSound(site);
    }

    // A planner that misses its predecessor's heartbeats follows it before that one's term is
    // over. Until then the earlier one may renew leases at workers that the later one
    // cannot reach; taken for over too early, their tasks would run twice at a time.
    void anEarlierPlannerMayGrantLeasesForTheRestOfItsTerm()
    {
        VirtualSite site({ .seed = 37, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.submit(job("j1", 1, whole, 60000));
        site.run(3000);
        const std::string host = site.hostOf("j1", 0);
        site.setPartitioned(host, true);
        site.newPlanner();
        site.run(3900);
        site.renewByEarlierPlanner(host);
        site.run(20000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("j1"));
        assertSound(site);
    }

    void aRestartedWorkerStartsAnew()
    {
        VirtualSite site({ .seed = 10, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(job("j1", 4, whole, 5000));
        site.run(3000);
        site.restart("w01");
        CPPUNIT_ASSERT(site.runUntilFinished(30000));
        CPPUNIT_ASSERT(site.stateOf("j1") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 5 }, site.runsOf("j1"));
        assertSound(site);
    }

    // A failure domain is cut off while urgent jobs keep coming. A job whose start went
    // there cannot begin elsewhere before the lease is over, and is late; so the domain
    // must cost two of them, and not one for each of its workers.
    void aDomainThatIsCutOffIsFoundOutByTwoStarts()
    {
        VirtualSite site({ .seed = 1, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        for (const char* worker : { "w08", "w09", "w10", "w11" })
            site.setPartitioned(worker, true);
        constexpr int jobs = 8;
        for (int i = 0; i < jobs; ++i) {
            site.submit(job(fmt::format("j{}", i), 1, whole, 1000, 0));
            site.run(site.now + 300);
        }
        site.run(site.now + 2000);
        int late = 0;
        for (int i = 0; i < jobs; ++i)
            late += site.stateOf(fmt::format("j{}", i)) == JobState::Completed ? 0 : 1;
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} late", late), late <= 2);
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        assertSound(site);
    }

    // Guards against a task that runs twice: the answer to its start is lost, it ends, and the
    // start that is sent again is refused as one that was there before.
    void aRunThatEndedBeforeItsStartWasSentAgainIsNotBegunAnew()
    {
        VirtualSite site({ .seed = 59, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.loseAnswers(1);
        site.submit(job("j1", 1, one, 100));
        site.run(2200);
        site.loseAnswers(0);
        CPPUNIT_ASSERT(site.runUntilFinished(10000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("j1"));
        assertSound(site);
    }

    // Guards against a whole gang that is stopped and begun anew because the order of one
    // member never left: its relay was lost, or had not read the job yet.
    void aGangIsNotStoppedForAStartThatWasNotSent()
    {
        VirtualSite site({ .seed = 58, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.suppressNextStarts(2);
        site.submit(gang("g1", 8, whole, 1000));
        CPPUNIT_ASSERT(site.runUntilFinished(10000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 8 }, site.runsOf("g1"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.countEnds(RunEnd::Stopped));
        assertSound(site);
    }

    // The network loses one order in ten, or its answer. Of a gang of eight more than half
    // lose a member's start so; begun anew each time, an urgent job is late for one
    // lost message.
    void aLostStartIsSentAgain()
    {
        std::int64_t runs = 0;
        constexpr int courses = 20;
        constexpr std::int64_t members = 8;
        for (std::uint64_t seed = 1; seed <= courses; ++seed) {
            VirtualSite site({ .seed = seed, .lostOrders = 0.05, .lostAnswers = 0.05, .failures = 0 });
            site.newPlanner();
            site.submit(gang("g1", members, whole, 2000, 0));
            CPPUNIT_ASSERT(site.runUntilFinished(30000));
            assertSound(site);
            runs += site.runsOf("g1");
        }
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} runs", runs), runs <= courses * members * 11 / 10);
    }

    // A worker crashes and is back at once under its id, before the list of workers
    // or a poll tells. A start that was meant for the earlier incarnation reaches the next
    // one, and ends there. A poll that still acknowledges the ends of the earlier
    // incarnation would make the worker forget that end unread: the task runs again, and
    // the same heat sheet is drawn twice.
    void endsOfTheNextIncarnationAreNotAcknowledgedUnread()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            VirtualSite site({ .seed = seed, .workers = 2, .failures = 0 });
            site.newPlanner();
            for (int i = 0; i < 16; ++i)
                site.submit(job(fmt::format("first{}", i), 1, one, 100 + 40 * i));
            site.run(2000 + static_cast<Millis>(seed) * 5);
            site.restart("w00");
            site.restart("w01");
            for (int i = 0; i < 12; ++i)
                site.submit(job(fmt::format("next{}", i), 1, one, 30));
            CPPUNIT_ASSERT(site.runUntilFinished(30000));
            assertSound(site);
            for (int i = 0; i < 12; ++i)
                CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf(fmt::format("next{}", i)));
        }
    }

    // Tasks on a worker stand still while it answers as always. Its jobs would
    // never end unless somebody noticed that nothing moves.
    void aStalledWorkerLosesItsTasks()
    {
        VirtualSite site({ .seed = 11, .workers = 4, .failures = 0 });
        site.setStalled("w02", true);
        site.newPlanner();
        site.submit(job("j1", 4, whole, 4000));
        CPPUNIT_ASSERT(site.runUntilFinished(30000));
        CPPUNIT_ASSERT(site.stateOf("j1") == JobState::Completed);
        assertSound(site);
    }

    // Three of four members are through after a quarter of the time and wait for the
    // fourth. Taken for stalled, such gangs were stopped shortly before their end,
    // again and again, and large jobs never came to theirs.
    void aGangOfUnequalMembersIsLeftAlone()
    {
        VirtualSite site({ .seed = 15, .workers = 4, .failures = 0, .uneven = true });
        site.newPlanner();
        site.submit(gang("g1", 4, whole, 10000));
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("g1"));
        assertSound(site);
    }

    // Two members of a gang stand still and the third has gone on, so nobody can
    // tell which of the two holds up the other. To blame one of them would take a
    // sound worker out of use.
    void membersThatStandEquallyFarAreNotBlamed()
    {
        VirtualSite site({ .seed = 31, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(gang("g1", 3, whole, 8000));
        site.run(1200);
        const std::string first = site.hostOf("g1", 0);
        CPPUNIT_ASSERT(!first.empty());
        const std::string second = site.hostOf("g1", 1);
        CPPUNIT_ASSERT(!second.empty());
        site.setStalled(first, true);
        site.setStalled(second, true);
        constexpr Millis noticed = 14000; // The third member goes on for eight seconds.
        site.run(noticed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 6 }, site.runsOf("g1"));
        CPPUNIT_ASSERT_EQUAL(first, site.hostOf("g1", 0));
        assertSound(site);
    }

    // A planner that takes over knows nothing of 1,000 workers. To ask all of them at
    // once takes a weak machine longer than its term: it could not renew, and the next
    // one would do the same, so that no job starts any more. Leases run out where
    // something runs, so these come first.
    void aTakeoverPollsBusyWorkersFirst()
    {
        constexpr int workers = 1000;
        constexpr std::size_t mostAtOnce = 50;
        VirtualSite site({ .seed = 32, .workers = workers, .failures = 0 });
        site.newPlanner();
        site.submit(job("j1", 80, whole, 60000));
        site.run(4000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 80 }, site.runsOf("j1"));
        site.newPlanner();
        site.planner->step(site.now, site.now);
        const Orders orders = site.planner->takeOrders(site.now);
        CPPUNIT_ASSERT(orders.polls.size() <= mostAtOnce);
        for (const PollOrder& poll : orders.polls)
            CPPUNIT_ASSERT(site.isBusy(poll.worker.id));
        CPPUNIT_ASSERT_EQUAL(site.now, site.planner->nextWake(site.now, site.now));
        site.newPlanner();
        constexpr Millis soon = 1500;
        site.run(site.now + soon);
        CPPUNIT_ASSERT_EQUAL(std::size_t { workers }, site.planner->knownWorkerCount());
        assertSound(site);
    }

    // After a takeover all workers have to be asked again. While nothing waits for the
    // idle ones, asking them must leave time for what runs: a job whose ends and
    // starts queue behind thousands of answers comes too late. Once something waits
    // for room, they are asked as fast as they can be.
    void idleWorkersAreAskedInTheGaps()
    {
        constexpr int workers = 1000;
        constexpr std::size_t fewAtOnce = 10;
        VirtualSite site({ .seed = 33, .workers = workers, .failures = 0 });
        site.newPlanner();
        site.planner->step(site.now, site.now);
        CPPUNIT_ASSERT(site.planner->takeOrders(site.now).polls.size() <= fewAtOnce);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, site.planner->takeOrders(site.now).polls.size());
        const Millis wake = site.planner->nextWake(site.now, site.now);
        CPPUNIT_ASSERT(wake > site.now && wake <= site.now + 20);
        site.submit(job("j1", 30, whole, 60000));
        site.planner->step(site.now, site.now);
        CPPUNIT_ASSERT(site.planner->takeOrders(site.now).polls.size() > fewAtOnce);
    }

    // A planner that takes over hears of the busy workers first. An urgent job that
    // comes just then would find all workers it knows taken and have patient work
    // stopped, and its callers lose what it had done, though most workers are idle.
    void nothingIsStoppedBeforeIdleWorkersAreAsked()
    {
        constexpr int workers = 200;
        VirtualSite site({ .seed = 34, .workers = workers, .failures = 0 });
        site.newPlanner();
        site.submit(job("patient", 60, whole, 20000, 2));
        site.run(4000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 60 }, site.runsOf("patient"));
        site.newPlanner();
        site.submit(gang("urgent", 4, whole, 1000, 0));
        site.run(6000);
        CPPUNIT_ASSERT(site.stateOf("urgent") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.countEnds(RunEnd::Stopped));
        assertSound(site);
    }

    void aWorkerThatFailsAllIsNotGivenEveryTask()
    {
        VirtualSite site({ .seed = 12, .workers = 8, .failures = 0 });
        site.failAll("w03", true);
        site.newPlanner();
        for (int i = 0; i < 12; ++i)
            site.submit(job("j" + std::to_string(i), 4, half, 1000));
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        for (int i = 0; i < 12; ++i)
            CPPUNIT_ASSERT(site.stateOf("j" + std::to_string(i)) == JobState::Completed);
        assertSound(site);
    }

    // After a burst of urgent jobs the workers that were kept for them stand idle.
    // A large job that fits nowhere else has to get them, or it would wait while
    // most of the room is free.
    void keptWorkersAreLentWhileHalfIsIdle()
    {
        VirtualSite site({ .seed = 13, .failures = 0 });
        site.newPlanner();
        for (int i = 0; i < 4; ++i)
            site.submit(gang("u" + std::to_string(i), 3, whole, 1000, 0));
        site.run(5000);
        site.submit(gang("large", 10, whole, 2000));
        site.run(8000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 10 }, site.runsOf("large"));
        assertSound(site);
    }

    // Records of jobs that ended long ago fill the store, and every instance's memory.
    void jobsThatAreOverAreForgotten()
    {
        VirtualSite site({ .seed = 16, .failures = 0 });
        site.newPlanner();
        site.submit(job("j1", 2, one, 500));
        site.submit(job("j2", 2, one, 60000));
        site.run(4000);
        site.cancel("j1");
        site.planner->forgetJobs({ "j1", "j2" });
        site.run(4500);
        CPPUNIT_ASSERT(!site.table.find("j1"));
        CPPUNIT_ASSERT(site.table.find("j2")); // Not over.
        assertSound(site);
    }

    void tasksThatLastAreStartedAgain()
    {
        VirtualSite site({ .seed = 14, .failures = 1 });
        site.newPlanner();
        Job lasting = job("j1", 2, one, 1000);
        lasting.steps.front().longRunning = true;
        lasting.terms.maxAttempts = 1000; // Tasks that last have no such limit, and the site checks it.
        site.submit(lasting);
        site.run(15000);
        CPPUNIT_ASSERT(site.stateOf("j1") == JobState::Running);
        CPPUNIT_ASSERT(site.runsOf("j1") > 8);
        assertSound(site);
    }

    // A queue's policy allows half of the workers, which only a service outside knows. A
    // start elsewhere is refused, so without asking its jobs would never run.
    void stepsWithAPolicyRunWhereTheyMay()
    {
        VirtualSite site({ .seed = 41, .failures = 0, .lostAdvice = 0.3 });
        site.newPlanner();
        Job wide = job("wide", 20, one, 2000);
        wide.terms.advice = { 20, 3, 60000 };
        Job together = gang("together", 4, whole, 2000);
        together.terms.advice = { 20, 3, 60000 };
        together.steps.front().dataRack = "r1";
        site.submit(wide);
        site.submit(together);
        site.submit(job("free", 5, one, 1000));
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        for (const char* id : { "wide", "together", "free" })
            CPPUNIT_ASSERT(site.stateOf(id) == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.startsWithoutTicket);
        CPPUNIT_ASSERT(site.workersInAdviceRequests <= 24 * 3); // Each worker once for each step, but for lost answers.
        assertSound(site);
    }

    void ticketsThatRanOutAreAskedForAgain()
    {
        VirtualSite site({ .seed = 42, .workers = 2, .failures = 0 });
        site.newPlanner();
        Job waves = job("waves", 6, whole, 1500);
        waves.terms.advice = { 20, 3, 2500 };
        site.submit(waves);
        CPPUNIT_ASSERT(site.runUntilFinished(30000));
        CPPUNIT_ASSERT(site.stateOf("waves") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.startsWithoutTicket);
        CPPUNIT_ASSERT(site.workersInAdviceRequests > 2);
        assertSound(site);
    }

    // Guards against a gang that waits for ever: it passes over workers that failed it, the
    // advice service is not asked about these again, and the others that it may use are too few.
    void workersThatFailedAGangAreAskedForWhenItsPolicyLeavesNoOthers()
    {
        VirtualSite site({ .seed = 57, .failures = 0 });
        site.newPlanner();
        Job advised = gang("g1", 5, whole, 5000);
        advised.terms.advice = { 20, 3, 2000 };
        for (const char* id : { "w00", "w02" })
            site.failAll(id, true);
        site.submit(advised);
        while (site.countEnds(RunEnd::Failed) < 2 && site.now < 30000)
            site.run(site.now + 50);
        for (const char* id : { "w00", "w02" })
            site.failAll(id, false);
        CPPUNIT_ASSERT(site.runUntilFinished(site.now + 60000));
        CPPUNIT_ASSERT(site.stateOf("g1") == JobState::Completed);
        assertSound(site);
    }

    // Tickets are not recorded: who takes over has to ask again, and must not start
    // anything without.
    void aPolicyOutlivesATakeover()
    {
        VirtualSite site({ .seed = 43, .failures = 0.2 });
        site.newPlanner();
        Job wide = job("wide", 30, half, 2500);
        wide.terms.advice = { 20, 3, 60000 };
        site.submit(wide);
        site.run(2200);
        site.newPlanner();
        site.restart("w02");
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        CPPUNIT_ASSERT(isFinal(site.stateOf("wide")));
        assertSound(site);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskPlannerTest);

} // namespace
