#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::CallFate;
using rattan::tasks::testing::CallKind;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr Resources oneAccelerator { 10000, 50000, 1 };
constexpr Resources wholeWorker { 10000, 10000, 8 };
constexpr Millis crashDelay = 10;

Job makeJob(const std::string& id, std::int64_t count, Resources each, Millis estimate)
{
    Job job;
    job.id = id;
    job.workspace = std::string("a"); // GCC 12 warns incorrectly if a literal of one character is assigned.
    job.terms = { .queue = "q", .service = "s", .priority = 1, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    job.text = "work";
    job.steps.push_back({ .count = count, .perTask = each, .estimate = estimate });
    return job;
}

class CrashTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashTest);
    CPPUNIT_TEST(jobFailsIfTaskCrashesItsWorkers);
    CPPUNIT_TEST(crashesAreCountedAcrossTakeovers);
    CPPUNIT_TEST(jobFailsIfGangMemberCrashesItsWorkers);
    CPPUNIT_TEST(otherTasksSurviveCrashingTask);
    CPPUNIT_TEST(noStartIsSentAfterItsWorkerShrank);
    CPPUNIT_TEST(stoppedTaskIsNotBlamedForCrash);
    CPPUNIT_TEST(taskWhoseStopWasUnansweredIsNotBlamedForCrash);
    CPPUNIT_TEST(runsLostLateAreNoAttempts);
    CPPUNIT_TEST(runsStoppedAfterCrashesAreNoAttempts);
    CPPUNIT_TEST(runsLostWithSilentWorkersAreNoAttempts);
    CPPUNIT_TEST(runsLostAcrossTakeoversAreNoAttempts);
    CPPUNIT_TEST(runsLostSoonAfterTakeoversAreNoAttempts);
    CPPUNIT_TEST(runWithRepeatedStartIsNotBlamedForCrash);
    CPPUNIT_TEST(gangMembersLostInTurnAreNoAttempts);
    CPPUNIT_TEST(lostStartDoesNotRunOnNextIncarnation);
    CPPUNIT_TEST(repeatedStartDoesNotRunOnNextIncarnation);
    CPPUNIT_TEST(lostStartOfEndedRunDoesNotRunOnNextIncarnation);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task that crashes one worker after the other, since runs that are lost with
    // their worker don't count as attempts.
    void jobFailsIfTaskCrashesItsWorkers()
    {
        VirtualSite site({ .seed = 50, .failures = 0 });
        site.newPlanner();
        site.crashWorkersRunning("bad", crashDelay);
        site.submit(makeJob("bad", 3, oneAccelerator, 2000));
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        this->assertBadJobFailed(site);
    }

    // Guards against a crash count that is lost when the planner dies.
    void crashesAreCountedAcrossTakeovers()
    {
        VirtualSite site({ .seed = 51, .failures = 0 });
        site.crashWorkersRunning("bad", crashDelay);
        site.newPlanner();
        site.submit(makeJob("bad", 1, oneAccelerator, 2000));
        while (!site.allFinished() && site.now < 90000) {
            site.run(site.now + 1500);
            site.killPlanner();
            site.newPlanner();
        }
        this->assertBadJobFailed(site);
    }

    // Guards against counting crashes by gang and run only, or counting members that were stopped on
    // other workers.
    void jobFailsIfGangMemberCrashesItsWorkers()
    {
        VirtualSite site({ .seed = 52, .failures = 0 });
        site.newPlanner();
        site.crashWorkersRunning("bad", crashDelay);
        Job gang = makeJob("bad", 4, wholeWorker, 2000);
        gang.steps.front().gang = true;
        site.submit(gang);
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        this->assertBadJobFailed(site);
    }

    // Guards against jobs that fail, or lose one worker after the other, because they are repeatedly
    // placed on the same workers as a task that crashes them.
    void otherTasksSurviveCrashingTask()
    {
        VirtualSite site({ .seed = 53, .failures = 0 });
        site.newPlanner();
        site.crashWorkersRunning("bad", crashDelay);
        for (int i = 0; i < 6; ++i)
            site.submit(makeJob(fmt::format("good{}", i), 2, oneAccelerator, 3000));
        site.submit(makeJob("bad", 1, oneAccelerator, 2000));
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        this->assertBadJobFailed(site);
        for (int i = 0; i < 6; ++i) {
            CPPUNIT_ASSERT(site.stateOf(fmt::format("good{}", i)) == JobState::Completed);
            CPPUNIT_ASSERT(site.runsOf(fmt::format("good{}", i)) <= 4);
        }
    }

    // Guards against starts that are decided before a worker's capacity shrinks and sent afterwards,
    // when their record is durable.
    void noStartIsSentAfterItsWorkerShrank()
    {
        VirtualSite site({ .seed = 54, .workers = 1, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.delayRecords(6000);
        site.submit(makeJob("wide", 1, wholeWorker, 1000));
        site.run(2200);
        site.resize("w00", { 64000, 256000, 4 });
        site.run(9000);
        site.delayRecords(0);
        site.run(12000);
        this->assertNoViolations(site);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.runsOf("wide"));
        site.resize("w00", { 128000, 512000, 8 });
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        this->assertNoViolations(site);
    }

    // Guards against a job that fails because of a crash that happened after its run was stopped and
    // before the end of the run was read.
    void stoppedTaskIsNotBlamedForCrash()
    {
        VirtualSite site({ .seed = 57, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        Job gang = makeJob("j", 2, wholeWorker, 6000);
        gang.steps.front().gang = true;
        site.submit(gang);
        site.run(2200);
        site.restart(site.hostOf("j", 0));
        while (site.runsOf("j") < 4 || site.hostOf("j", 0).empty() || site.hostOf("j", 1).empty())
            site.run(site.now + 5);
        const std::string firstHost = site.hostOf("j", 0);
        site.restart(site.hostOf("j", 1));
        while (site.isBusy(firstHost))
            site.run(site.now + 5);
        site.restart(firstHost);
        CPPUNIT_ASSERT(site.runUntilFinished(40000));
        CPPUNIT_ASSERT(site.stateOf("j") == JobState::Completed);
        this->assertNoViolations(site);
    }

    // Guards against a job that fails because a member of its gang was stopped soon after its starts and
    // lost its worker afterwards, when neither the answers to the stops nor the ends were read.
    void taskWhoseStopWasUnansweredIsNotBlamedForCrash()
    {
        VirtualSite site({ .seed = 58, .workers = 12, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        constexpr int members = 4;
        Job gang = makeJob("j", members, wholeWorker, 8000);
        gang.steps.front().gang = true;
        site.submit(gang);
        constexpr int stops = 2;
        for (int i = 1; i <= stops; ++i) {
            while ((site.runsOf("j") < i * members || site.hostOf("j", 0).empty() || site.hostOf("j", i).empty()) && site.now < timeLimit)
                site.run(site.now + 5);
            site.run(site.now + 300);
            const std::string host = site.hostOf("j", 0);
            site.failNextCalls({ .kind = CallKind::Stop, .fate = CallFate::AnswerLost, .count = 1000, .worker = host });
            site.restart(site.hostOf("j", i));
            while (site.isBusy(host) && site.now < timeLimit)
                site.run(site.now + 5);
            site.restart(host);
            site.clearCallFaults();
        }
        this->assertCompleted(site, "j");
    }

    // Guards against a job that fails because its workers restarted a while after each of its starts.
    void runsLostLateAreNoAttempts()
    {
        VirtualSite site({ .seed = 59, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("j", 1, wholeWorker, 8000));
        this->restartHosts(site, "j", lostRuns, 2000);
        this->assertCompleted(site, "j");
    }

    // Guards against a job that fails because its runs were stopped after some of its workers had crashed.
    void runsStoppedAfterCrashesAreNoAttempts()
    {
        VirtualSite site({ .seed = 60, .workers = 8, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("j", 1, wholeWorker, 8000));
        constexpr int crashes = 3;
        this->restartHosts(site, "j", crashes, 1500);
        constexpr int stops = 3;
        for (int i = 1; i <= stops; ++i) {
            const std::string host = this->runUntilStarted(site, "j", crashes + i);
            site.leave(host);
            while (site.isBusy(host) && site.now < timeLimit)
                site.run(site.now + 5);
        }
        this->assertCompleted(site, "j");
    }

    // Guards against a job that fails because workers became unreachable and left the list under it.
    void runsLostWithSilentWorkersAreNoAttempts()
    {
        VirtualSite site({ .seed = 61, .workers = 12, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("j", 1, wholeWorker, 8000));
        for (int i = 1; i <= lostRuns; ++i) {
            const std::string host = this->runUntilStarted(site, "j", i);
            site.run(site.now + 300);
            site.removeForGood(host);
        }
        this->assertCompleted(site, "j");
    }

    // Guards against a job that a new planner fails because of runs that were lost before.
    void runsLostAcrossTakeoversAreNoAttempts()
    {
        VirtualSite site({ .seed = 62, .workers = 6, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("j", 1, wholeWorker, 8000));
        for (int i = 1; i <= lostRuns; ++i) {
            const std::string host = this->runUntilStarted(site, "j", i);
            site.run(site.now + 2000);
            site.killPlanner();
            site.restart(host);
            site.run(site.now + 200);
            site.newPlanner();
        }
        this->assertCompleted(site, "j");
    }

    // Guards against a job that fails because a new planner takes the time when it first heard of a run
    // for the time of its start.
    void runsLostSoonAfterTakeoversAreNoAttempts()
    {
        VirtualSite site({ .seed = 64, .workers = 6, .failures = 0 });
        site.newPlanner();
        site.submit(makeJob("j", 1, wholeWorker, 8000));
        for (int i = 1; i <= lostRuns; ++i) {
            const std::string host = this->runUntilStarted(site, "j", i);
            site.run(site.now + 2000);
            site.killPlanner();
            site.newPlanner();
            site.run(site.now + 400);
            site.restart(host);
        }
        this->assertCompleted(site, "j");
    }

    // Guards against a job that fails because of a worker that restarted a while after a start that was
    // sent twice: such a run may still start on the next incarnation, and was treated as one that had
    // only just begun.
    void runWithRepeatedStartIsNotBlamedForCrash()
    {
        VirtualSite site({ .seed = 65, .workers = 12, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.failNextCalls({ .kind = CallKind::Start, .fate = CallFate::AnswerLost });
        site.submit(makeJob("j", 1, wholeWorker, 8000));
        const std::string host = this->runUntilStarted(site, "j", 1);
        site.run(site.now + 2500);
        site.restart(host);
        for (int i = 2; i <= 3; ++i) {
            const std::string nextHost = this->runUntilStarted(site, "j", i);
            site.run(site.now + 300);
            site.restart(nextHost);
        }
        this->assertCompleted(site, "j");
    }

    // Guards against a gang that fails because the workers of several members restarted, each of them
    // once or twice.
    void gangMembersLostInTurnAreNoAttempts()
    {
        VirtualSite site({ .seed = 63, .workers = 8, .failures = 0 });
        site.newPlanner();
        Job gang = makeJob("j", 4, wholeWorker, 8000);
        gang.steps.front().gang = true;
        site.submit(gang);
        constexpr int members = 4;
        for (int i = 1; i <= lostRuns; ++i) {
            while ((site.runsOf("j") < i * members || site.hostOf("j", i % members).empty()) && site.now < timeLimit)
                site.run(site.now + 5);
            site.run(site.now + 1500);
            site.restart(site.hostOf("j", i % members));
        }
        this->assertCompleted(site, "j");
    }

    // Guards against a task that runs twice: its first start was not answered and reaches the worker
    // only after the worker has restarted.
    void lostStartDoesNotRunOnNextIncarnation()
    {
        VirtualSite site({ .seed = 55, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.delayNextStart(3000);
        site.submit(makeJob("j", 1, wholeWorker, 8000));
        site.run(3000);
        site.restart(site.hostOf("j", 0));
        CPPUNIT_ASSERT(site.runUntilFinished(30000));
        this->assertNoViolations(site);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("j"));
    }

    // Guards against the same failure if the connection broke and the HTTP client repeated the start:
    // the answer to the repeated start does not show what became of the first one.
    void repeatedStartDoesNotRunOnNextIncarnation()
    {
        VirtualSite site({ .seed = 55, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.repeatNextStart(3000);
        site.submit(makeJob("j", 1, wholeWorker, 8000));
        site.run(3000);
        site.restart(site.hostOf("j", 0));
        CPPUNIT_ASSERT(site.runUntilFinished(30000));
        this->assertNoViolations(site);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("j"));
    }

    // Guards against the same failure if the first run was stopped and the second one is on another
    // worker.
    void lostStartOfEndedRunDoesNotRunOnNextIncarnation()
    {
        VirtualSite site({ .seed = 56, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.delayNextStart(4000);
        site.submit(makeJob("j", 1, wholeWorker, 12000));
        site.run(2500);
        const std::string firstHost = site.hostOf("j", 0);
        site.leave(firstHost);
        site.run(4000);
        CPPUNIT_ASSERT(site.hostOf("j", 0) != firstHost);
        site.restart(firstHost);
        CPPUNIT_ASSERT(site.runUntilFinished(40000));
        this->assertNoViolations(site);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("j"));
    }

private:
    static constexpr int lostRuns = 7;
    static constexpr Millis timeLimit = 200000;

    // The racks of a VirtualSite hold four workers each.
    static std::string rackOf(const std::string& worker) { return fmt::format("r{}", std::stoi(worker.substr(1)) / 4); }

    // Returns the worker of the job's only task once that run has started.
    std::string runUntilStarted(VirtualSite& site, const std::string& job, std::int64_t run)
    {
        while ((site.runsOf(job) < run || site.hostOf(job, 0).empty()) && site.now < timeLimit)
            site.run(site.now + 5);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("run {} of {} has not started", run, job), site.now < timeLimit);
        return site.hostOf(job, 0);
    }

    // Restarts the worker of the job's only task this long after each of the next starts.
    void restartHosts(VirtualSite& site, const std::string& job, int times, Millis after)
    {
        for (int i = 1; i <= times; ++i) {
            const std::string host = this->runUntilStarted(site, job, i);
            site.run(site.now + after);
            site.restart(host);
        }
    }

    void assertCompleted(VirtualSite& site, const std::string& job)
    {
        site.runUntilFinished(timeLimit);
        this->assertNoViolations(site);
        CPPUNIT_ASSERT_EQUAL(std::string(nameOf(JobState::Completed)), std::string(nameOf(site.stateOf(job))));
    }

    void assertNoViolations(const VirtualSite& site)
    {
        CPPUNIT_ASSERT_MESSAGE(site.violations.empty() ? "" : site.violations.front(), site.violations.empty());
    }

    void assertBadJobFailed(const VirtualSite& site)
    {
        this->assertNoViolations(site);
        CPPUNIT_ASSERT(site.stateOf("bad") == JobState::Failed);
        constexpr std::int64_t maxCrashes = 3;
        std::string losses;
        for (const PlanEvent& event : site.planEvents)
            losses += event.kind == PlanEventKind::RunLost ? fmt::format("{} run {} on {}: {}\n", event.unit, event.run, event.worker, event.detail) : "";
        CPPUNIT_ASSERT_MESSAGE(losses, site.crashCountOf("bad") <= maxCrashes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTest);

} // namespace
