#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr Room oneAccelerator { 10000, 50000, 1 };
constexpr Room wholeWorker { 10000, 10000, 8 };
constexpr Millis crashDelay = 10;

Job makeJob(const std::string& id, std::int64_t count, Room each, Millis estimate)
{
    Job job;
    job.id = id;
    job.workspace = std::string("a"); // GCC 12 warns wrongly where a literal of one letter is assigned.
    job.terms = { .queue = "q", .service = "s", .priority = 1, .mostAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    job.text = "work";
    job.steps.push_back({ .count = count, .each = each, .estimate = estimate });
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
    // Guards against a task that takes down one worker after the other, since runs that end
    // with their worker are not attempts.
    void jobFailsIfTaskCrashesItsWorkers()
    {
        VirtualSite site({ .seed = 50, .failures = 0 });
        site.newPlanner();
        site.crashesWorkers("bad", crashDelay);
        site.submit(makeJob("bad", 3, oneAccelerator, 2000));
        CPPUNIT_ASSERT(site.runUntilOver(60000));
        this->assertBadJobFailed(site);
    }

    // Guards against a count of crashes that a planner takes with it when it dies.
    void crashesAreCountedAcrossTakeovers()
    {
        VirtualSite site({ .seed = 51, .failures = 0 });
        site.crashesWorkers("bad", crashDelay);
        site.newPlanner();
        site.submit(makeJob("bad", 1, oneAccelerator, 2000));
        while (!site.allOver() && site.now < 90000) {
            site.run(site.now + 1500);
            site.killPlanner();
            site.newPlanner();
        }
        this->assertBadJobFailed(site);
    }

    // Guards against counting by gang and run only, or by the members that other workers stopped.
    void jobFailsIfGangMemberCrashesItsWorkers()
    {
        VirtualSite site({ .seed = 52, .failures = 0 });
        site.newPlanner();
        site.crashesWorkers("bad", crashDelay);
        Job gang = makeJob("bad", 4, wholeWorker, 2000);
        gang.steps.front().gang = true;
        site.submit(gang);
        CPPUNIT_ASSERT(site.runUntilOver(60000));
        this->assertBadJobFailed(site);
    }

    // Guards against jobs that are given up, or lose worker after worker, because they are
    // placed beside a task that crashes its workers again and again.
    void otherTasksSurviveCrashingTask()
    {
        VirtualSite site({ .seed = 53, .failures = 0 });
        site.newPlanner();
        site.crashesWorkers("bad", crashDelay);
        for (int i = 0; i < 6; ++i)
            site.submit(makeJob(fmt::format("good{}", i), 2, oneAccelerator, 3000));
        site.submit(makeJob("bad", 1, oneAccelerator, 2000));
        CPPUNIT_ASSERT(site.runUntilOver(60000));
        this->assertBadJobFailed(site);
        for (int i = 0; i < 6; ++i) {
            CPPUNIT_ASSERT(site.stateOf(fmt::format("good{}", i)) == JobState::Completed);
            CPPUNIT_ASSERT(site.runsOf(fmt::format("good{}", i)) <= 4);
        }
    }

    // Guards against starts that were decided before a worker shrank and sent after, when
    // their record had become durable.
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
        CPPUNIT_ASSERT(site.runUntilOver(60000));
        this->assertNoViolations(site);
    }

    // Guards against a job that is given up for a crash which came after its run had been stopped,
    // and before anybody had read that.
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
        CPPUNIT_ASSERT(site.runUntilOver(40000));
        CPPUNIT_ASSERT(site.stateOf("j") == JobState::Completed);
        this->assertNoViolations(site);
    }

    // Guards against a task that runs twice: its first start, which had no answer, reaches the
    // worker only after that has started again.
    void lostStartDoesNotRunOnNextIncarnation()
    {
        VirtualSite site({ .seed = 55, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.delayNextStart(3000);
        site.submit(makeJob("j", 1, wholeWorker, 8000));
        site.run(3000);
        site.restart(site.hostOf("j", 0));
        CPPUNIT_ASSERT(site.runUntilOver(30000));
        this->assertNoViolations(site);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("j"));
    }

    // Guards against the same, where the connection broke and the start was sent again by the
    // HTTP client: the answer to that says nothing of the first one.
    void repeatedStartDoesNotRunOnNextIncarnation()
    {
        VirtualSite site({ .seed = 55, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.repeatNextStart(3000);
        site.submit(makeJob("j", 1, wholeWorker, 8000));
        site.run(3000);
        site.restart(site.hostOf("j", 0));
        CPPUNIT_ASSERT(site.runUntilOver(30000));
        this->assertNoViolations(site);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("j"));
    }

    // Guards against the same, where the first run had been stopped and the second one is elsewhere.
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
        CPPUNIT_ASSERT(site.runUntilOver(40000));
        this->assertNoViolations(site);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("j"));
    }

private:
    void assertNoViolations(const VirtualSite& site)
    {
        CPPUNIT_ASSERT_MESSAGE(site.broken.empty() ? "" : site.broken.front(), site.broken.empty());
    }

    void assertBadJobFailed(const VirtualSite& site)
    {
        this->assertNoViolations(site);
        CPPUNIT_ASSERT(site.stateOf("bad") == JobState::Failed);
        constexpr std::int64_t maxCrashes = 3;
        CPPUNIT_ASSERT(site.crashesUnder("bad") <= maxCrashes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTest);

} // namespace
