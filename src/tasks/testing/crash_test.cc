#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
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
    void assertNoViolations(const VirtualSite& site)
    {
        CPPUNIT_ASSERT_MESSAGE(site.violations.empty() ? "" : site.violations.front(), site.violations.empty());
    }

    void assertBadJobFailed(const VirtualSite& site)
    {
        this->assertNoViolations(site);
        CPPUNIT_ASSERT(site.stateOf("bad") == JobState::Failed);
        constexpr std::int64_t maxCrashes = 3;
        CPPUNIT_ASSERT(site.crashCountOf("bad") <= maxCrashes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTest);

} // namespace
