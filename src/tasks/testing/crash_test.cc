#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr Resources one { 10000, 50000, 1 };
constexpr Resources whole { 10000, 10000, 8 };
constexpr Millis crashAfter = 10;

Job jobOf(const std::string& id, std::int64_t count, Resources each, Millis time)
{
    Job job;
    job.id = id;
    job.workspace = std::string("a"); // GCC 12 warns wrongly where a literal of one letter is assigned.
    job.terms = { .queue = "q", .service = "s", .priority = 1, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    job.text = "work";
    job.steps.push_back({ .count = count, .perTask = each, .estimate = time });
    return job;
}

class CrashTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashTest);
    CPPUNIT_TEST(aTaskThatCrashesItsWorkersIsGivenUp);
    CPPUNIT_TEST(crashesAreCountedAcrossTakeovers);
    CPPUNIT_TEST(aGangWhoseMemberCrashesItsWorkersIsGivenUp);
    CPPUNIT_TEST(tasksBesideOneThatCrashesWorkersEndWell);
    CPPUNIT_TEST(nothingIsStartedOnAWorkerThatHasShrunkMeanwhile);
    CPPUNIT_TEST(aTaskThatWasStoppedIsNotBlamedForItsWorker);
    CPPUNIT_TEST(aLostStartIsNotTakenByTheNextIncarnation);
    CPPUNIT_TEST(aRepeatedStartIsNotTakenByTheNextIncarnation);
    CPPUNIT_TEST(aLostStartOfAnEndedRunIsNotTakenByTheNextIncarnation);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task that takes down one worker after the other, since runs that end
    // with their worker are not attempts.
    void aTaskThatCrashesItsWorkersIsGivenUp()
    {
        VirtualSite site({ .seed = 50, .failures = 0 });
        site.newPlanner();
        site.crashWorkersRunning("bad", crashAfter);
        site.submit(jobOf("bad", 3, one, 2000));
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        this->assertGivenUp(site);
    }

    // Guards against a count of crashes that a planner takes with it when it dies.
    void crashesAreCountedAcrossTakeovers()
    {
        VirtualSite site({ .seed = 51, .failures = 0 });
        site.crashWorkersRunning("bad", crashAfter);
        site.newPlanner();
        site.submit(jobOf("bad", 1, one, 2000));
        while (!site.allFinished() && site.now < 90000) {
            site.run(site.now + 1500);
            site.killPlanner();
            site.newPlanner();
        }
        this->assertGivenUp(site);
    }

    // Guards against counting by gang and run only, or by the members that other workers stopped.
    void aGangWhoseMemberCrashesItsWorkersIsGivenUp()
    {
        VirtualSite site({ .seed = 52, .failures = 0 });
        site.newPlanner();
        site.crashWorkersRunning("bad", crashAfter);
        Job gang = jobOf("bad", 4, whole, 2000);
        gang.steps.front().gang = true;
        site.submit(gang);
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        this->assertGivenUp(site);
    }

    // Guards against jobs that are given up, or lose worker after worker, because they are
    // placed beside a task that crashes its workers again and again.
    void tasksBesideOneThatCrashesWorkersEndWell()
    {
        VirtualSite site({ .seed = 53, .failures = 0 });
        site.newPlanner();
        site.crashWorkersRunning("bad", crashAfter);
        for (int i = 0; i < 6; ++i)
            site.submit(jobOf(fmt::format("good{}", i), 2, one, 3000));
        site.submit(jobOf("bad", 1, one, 2000));
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        this->assertGivenUp(site);
        for (int i = 0; i < 6; ++i) {
            CPPUNIT_ASSERT(site.stateOf(fmt::format("good{}", i)) == JobState::Completed);
            CPPUNIT_ASSERT(site.runsOf(fmt::format("good{}", i)) <= 4);
        }
    }

    // Guards against starts that were decided before a worker shrank and sent after, when
    // their record had become durable.
    void nothingIsStartedOnAWorkerThatHasShrunkMeanwhile()
    {
        VirtualSite site({ .seed = 54, .workers = 1, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.delayRecords(6000);
        site.submit(jobOf("wide", 1, whole, 1000));
        site.run(2200);
        site.resize("w00", { 64000, 256000, 4 });
        site.run(9000);
        site.delayRecords(0);
        site.run(12000);
        this->assertSound(site);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.runsOf("wide"));
        site.resize("w00", { 128000, 512000, 8 });
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        this->assertSound(site);
    }

    // Guards against a job that is given up for a crash which came after its run had been stopped,
    // and before anybody had read that.
    void aTaskThatWasStoppedIsNotBlamedForItsWorker()
    {
        VirtualSite site({ .seed = 57, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        Job gang = jobOf("j", 2, whole, 6000);
        gang.steps.front().gang = true;
        site.submit(gang);
        site.run(2200);
        site.restart(site.hostOf("j", 0));
        while (site.runsOf("j") < 4 || site.hostOf("j", 0).empty() || site.hostOf("j", 1).empty())
            site.run(site.now + 5);
        const std::string first = site.hostOf("j", 0);
        site.restart(site.hostOf("j", 1));
        while (site.isBusy(first))
            site.run(site.now + 5);
        site.restart(first);
        CPPUNIT_ASSERT(site.runUntilFinished(40000));
        CPPUNIT_ASSERT(site.stateOf("j") == JobState::Completed);
        this->assertSound(site);
    }

    // Guards against a task that runs twice: its first start, which had no answer, reaches the
    // worker only after that has started again.
    void aLostStartIsNotTakenByTheNextIncarnation()
    {
        VirtualSite site({ .seed = 55, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.delayNextStart(3000);
        site.submit(jobOf("j", 1, whole, 8000));
        site.run(3000);
        site.restart(site.hostOf("j", 0));
        CPPUNIT_ASSERT(site.runUntilFinished(30000));
        this->assertSound(site);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("j"));
    }

    // Guards against the same, where the connection broke and the start was sent again by the
    // HTTP client: the answer to that says nothing of the first one.
    void aRepeatedStartIsNotTakenByTheNextIncarnation()
    {
        VirtualSite site({ .seed = 55, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.repeatNextStart(3000);
        site.submit(jobOf("j", 1, whole, 8000));
        site.run(3000);
        site.restart(site.hostOf("j", 0));
        CPPUNIT_ASSERT(site.runUntilFinished(30000));
        this->assertSound(site);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("j"));
    }

    // Guards against the same, where the first run had been stopped and the second one is elsewhere.
    void aLostStartOfAnEndedRunIsNotTakenByTheNextIncarnation()
    {
        VirtualSite site({ .seed = 56, .workers = 2, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.delayNextStart(4000);
        site.submit(jobOf("j", 1, whole, 12000));
        site.run(2500);
        const std::string first = site.hostOf("j", 0);
        site.leave(first);
        site.run(4000);
        CPPUNIT_ASSERT(site.hostOf("j", 0) != first);
        site.restart(first);
        CPPUNIT_ASSERT(site.runUntilFinished(40000));
        this->assertSound(site);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("j"));
    }

private:
    void assertSound(const VirtualSite& site)
    {
        CPPUNIT_ASSERT_MESSAGE(site.violations.empty() ? "" : site.violations.front(), site.violations.empty());
    }

    void assertGivenUp(const VirtualSite& site)
    {
        this->assertSound(site);
        CPPUNIT_ASSERT(site.stateOf("bad") == JobState::Failed);
        constexpr std::int64_t mostCrashes = 3;
        CPPUNIT_ASSERT(site.crashCountOf("bad") <= mostCrashes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTest);

} // namespace
