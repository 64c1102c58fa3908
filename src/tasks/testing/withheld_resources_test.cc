// What is withheld from a job beside capacity for two of its kind, apart from preferences, and whom it
// harms when preferences are given up.

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
constexpr Resources mostMemory { 1000, 500000, 1 }; // Two don't fit one worker.
constexpr Resources oneAccelerator { 1000, 1000, 1 };

Job createJob(const std::string& id, Step step, std::int64_t priority = 1)
{
    Job result { .id = id, .workspace = "c", .text = "work", .steps = { std::move(step) } };
    result.terms = { .queue = fmt::format("q{}", priority), .service = "s", .priority = priority, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    return result;
}

Job createLongTasks(const std::string& rack, std::int64_t count, Resources each, Millis estimate = 120000)
{
    return createJob("long-" + rack, { .count = count, .perTask = each, .estimate = estimate, .label = rack });
}

// How long the job stands until workers have started `runs` runs of it; `limit` if they don't.
Millis timeUntilRuns(VirtualSite& site, const std::string& job, std::int64_t runs, Millis limit)
{
    const Millis since = site.now;
    while (site.runsOf(job) < runs && site.now < since + limit)
        site.run(site.now + 5);
    return site.now - since;
}

void assertAtMost(Millis bound, Millis actual, const std::string& what)
{
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: {} ms, at most {} allowed", what, actual, bound), actual <= bound);
}

// A site of two workers of which one is full, and two runs have failed on the other one, which is sound
// again. Returns the id of that one.
std::string failTwiceBesideAFullWorker(VirtualSite& site)
{
    site.newPlanner();
    site.submit(createJob("long", { .perTask = wholeWorker, .estimate = 600000 }));
    site.run(2000);
    std::string sound = site.hostOf("long", 0) == "w00" ? "w01" : "w00";
    site.failAll(sound, true);
    site.submit(createJob("failing", { .count = 2, .perTask = oneAccelerator, .estimate = 500 }));
    while (site.countEnds(RunEnd::Failed) < 2 && site.now < 10000)
        site.run(site.now + 5);
    site.failAll(sound, false);
    site.cancel("failing");
    site.run(site.now + 200);
    return sound;
}

class WithheldResourcesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WithheldResourcesTest);
    CPPUNIT_TEST(taskIsNotHeldByAQuarantine);
    CPPUNIT_TEST(taskIsNotHeldByALongProbe);
    CPPUNIT_TEST(gangIsNotHeldByAWorkerThatAwaitsAProbe);
    CPPUNIT_TEST(taskIsNotHeldByASiblingOnAGoneWorker);
    CPPUNIT_TEST(taskWithShortTicketsIsNotPassedOver);
    CPPUNIT_TEST(detectionAddsUpOnAQuietSite);
    CPPUNIT_TEST(detectionAddsUpWithSlowRounds);
    CPPUNIT_TEST(guaranteedGangStartsInTimeAcrossRacks);
    CPPUNIT_TEST(attemptsAreNotSpentOnAFailingWorker);
    CPPUNIT_TEST(shortFailuresDontSpendAllAttemptsAtOnce);
    CPPUNIT_TEST(failuresOfTheTaskAreNotRepeatedAtOnce);
    CPPUNIT_TEST(taskThatCrashesItsWorkerIsIsolatedAfterEachCrash);
    CPPUNIT_TEST(unreservedWorkIsNotStoppedAtNoCost);
    CPPUNIT_TEST(longRunningTaskKeepsItsClockWhenItsStartIsRefused);
    CPPUNIT_TEST(longRunningTasksGiveUpTheirRackOneByOne);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task that stands still beside a sound worker that is quarantined for earlier failures.
    void taskIsNotHeldByAQuarantine()
    {
        VirtualSite site({ .seed = 11, .workers = 2, .failures = 0 });
        failTwiceBesideAFullWorker(site);
        site.submit(createJob("task", { .perTask = oneAccelerator, .estimate = 1000 }));
        assertAtMost(maxIdleTime, timeUntilRuns(site, "task", 1, 20000), "a task beside eight unused accelerators in quarantine");
    }

    // Guards against jobs that wait for the end of the long run that tests a worker after its quarantine.
    void taskIsNotHeldByALongProbe()
    {
        VirtualSite site({ .seed = 12, .workers = 2, .failures = 0 });
        failTwiceBesideAFullWorker(site);
        site.run(site.now + 4500);
        site.submit(createJob("probe", { .perTask = oneAccelerator, .estimate = 60000 }));
        site.run(site.now + 1500);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("probe"));
        site.submit(createJob("task", { .perTask = oneAccelerator, .estimate = 1000 }));
        assertAtMost(maxIdleTime, timeUntilRuns(site, "task", 1, 90000), "a task beside seven unused accelerators and a probe");
    }

    // Guards against a gang that waits forever for another job to test the only unused worker.
    void gangIsNotHeldByAWorkerThatAwaitsAProbe()
    {
        VirtualSite site({ .seed = 13, .workers = 2, .failures = 0 });
        failTwiceBesideAFullWorker(site);
        site.run(site.now + 4500);
        site.submit(createJob("gang", { .count = 2, .perTask = oneAccelerator, .estimate = 1000, .gang = true }));
        assertAtMost(maxIdleTime, timeUntilRuns(site, "gang", 2, 90000), "a gang of two beside an idle worker that awaits a probe");
    }

    // Guards against a task that waits until the lease of a sibling on a gone worker ends.
    void taskIsNotHeldByASiblingOnAGoneWorker()
    {
        VirtualSite site({ .seed = 14, .workers = 16, .lease = 10000, .failures = 0, .racks = 4 });
        site.newPlanner();
        site.submit(createLongTasks("r0", 3, wholeWorker));
        site.run(2000);
        site.submit(createJob("pair", { .count = 2, .perTask = wholeWorker, .estimate = 60000, .dataRack = "r0" }));
        site.run(4000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("pair"));
        site.removeForGood(site.hostOf("pair", 0).empty() ? site.hostOf("pair", 1) : site.hostOf("pair", 0));
        constexpr Millis calm = 4000;
        assertAtMost(calm + maxIdleTime, timeUntilRuns(site, "pair", 2, 30000), "a task whose sibling's worker is gone, beside twelve unused workers");
    }

    // Guards against a wait that begins anew whenever the tickets for the unused workers expire.
    void taskWithShortTicketsIsNotPassedOver()
    {
        std::string times;
        Millis longest = 0;
        for (const Millis validity : { 10000, 4000, 3500, 3000, 2500, 2000 }) {
            VirtualSite site({ .seed = 15, .workers = 16, .failures = 0, .racks = 4 });
            site.newPlanner();
            site.submit(createLongTasks("r0", 4, wholeWorker));
            site.run(2000);
            Job job = createJob("task", { .perTask = wholeWorker, .estimate = 5000, .dataRack = "r0" });
            job.terms.advice = { 20, 3, validity };
            site.submit(job);
            const Millis stood = timeUntilRuns(site, "task", 1, 30000);
            longest = std::max(longest, stood);
            times += fmt::format(" {} ms with tickets for {} ms;", stood, validity);
        }
        CPPUNIT_ASSERT_MESSAGE("a task beside allowed workers:" + times, longest <= maxIdleTime);
    }

    static Millis longestStandFor(Millis roundDuration, bool longPolls)
    {
        Millis longest = 0;
        for (Millis phase = 0; phase < 600; phase += 25) {
            VirtualSite site({ .seed = 16, .workers = 8, .failures = 0, .racks = 4, .longPolls = longPolls });
            site.newPlanner();
            site.setRoundDuration(roundDuration);
            site.submit(createLongTasks("r0", 2, wholeWorker));
            site.run(5000 + phase);
            site.submit(createJob("task", { .perTask = wholeWorker, .estimate = 5000, .dataRack = "r0" }));
            longest = std::max(longest, timeUntilRuns(site, "task", 1, 10000));
        }
        return longest;
    }

    // Guards against the intervals of checks and rounds that add up to more than the users accept.
    void detectionAddsUpOnAQuietSite() { assertAtMost(maxIdleTime, longestStandFor(0, true), "a task for the rack of its data, quiet site"); }

    // Guards against the same where rounds are slow, and rare for that reason.
    void detectionAddsUpWithSlowRounds()
    {
        std::string times;
        Millis longest = 0;
        for (const Millis duration : { 50, 100, 150, 200, 300 }) {
            longest = std::max(longest, longestStandFor(duration, false));
            times += fmt::format(" {} ms with rounds of {} ms;", longestStandFor(duration, false), duration);
        }
        CPPUNIT_ASSERT_MESSAGE("a task for the rack of its data:" + times, longest <= maxIdleTime);
    }

    // Guards against a guaranteed gang that starts too late because it waits for one rack.
    void guaranteedGangStartsInTimeAcrossRacks()
    {
        Millis longest = 0;
        for (Millis phase = 0; phase < 600; phase += 25) {
            VirtualSite site({ .seed = 17, .workers = 8, .failures = 0, .racks = 4 });
            site.newPlanner();
            for (const char* rack : { "r0", "r1", "r2", "r3" }) {
                Job job = createJob(fmt::format("guaranteed-{}", rack), { .perTask = mostMemory, .estimate = 120000, .label = rack }, 0);
                job.workspace = "b";
                site.submit(job);
            }
            site.run(3000 + phase);
            Job gang = createJob("gang", { .count = 2, .perTask = mostMemory, .estimate = 5000, .gang = true, .sameRack = true }, 0);
            gang.workspace = "a";
            site.submit(gang);
            longest = std::max(longest, timeUntilRuns(site, "gang", 2, 20000));
        }
        assertAtMost(2700, longest, "a guaranteed gang beside four unused workers in four racks");
    }

    // Guards against a job that spends its last attempt on a worker on which all runs fail.
    void attemptsAreNotSpentOnAFailingWorker()
    {
        VirtualSite site({ .seed = 18, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(createJob("long", { .count = 3, .perTask = wholeWorker, .estimate = 15000 }));
        site.run(2000);
        for (int i = 0; i < 4; ++i)
            site.failAll(fmt::format("w{:02}", i), !site.isBusy(fmt::format("w{:02}", i)));
        Job job = createJob("task", { .perTask = oneAccelerator, .estimate = 1000 });
        job.terms.maxAttempts = 2;
        site.submit(job);
        site.runUntilFinished(40000);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("the job is shown as failed after {} runs, {} ms after its submission", site.runsOf("task"), site.finishedAt("task") - 2000), site.stateOf("task") == JobState::Completed);
    }

    // Guards against runs that fail quickly and spend all attempts in a row on one worker.
    void shortFailuresDontSpendAllAttemptsAtOnce()
    {
        VirtualSite site({ .seed = 19, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(createJob("long", { .count = 3, .perTask = wholeWorker, .estimate = 60000 }));
        site.run(2000);
        for (int i = 0; i < 4; ++i)
            site.failAll(fmt::format("w{:02}", i), !site.isBusy(fmt::format("w{:02}", i)));
        site.submit(createJob("task", { .perTask = oneAccelerator, .estimate = 100 }));
        std::string starts;
        for (std::int64_t run = 1; run <= 4; ++run) {
            timeUntilRuns(site, "task", run, 20000);
            starts += fmt::format(" {}", site.now - 2000);
        }
        site.run(site.now + 1000);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("starts at{} ms, state {}", starts, nameOf(site.stateOf("task"))), site.stateOf("task") != JobState::Failed);
    }

    // Guards against the same where other tasks succeed on that worker in between.
    void failuresOfTheTaskAreNotRepeatedAtOnce()
    {
        VirtualSite site({ .seed = 23, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(createJob("long", { .count = 3, .perTask = wholeWorker, .estimate = 60000 }));
        site.run(2000);
        std::string unused;
        for (int i = 0; i < 4; ++i)
            unused = site.isBusy(fmt::format("w{:02}", i)) ? unused : fmt::format("w{:02}", i);
        site.failAll(unused, true);
        Job job = createJob("task", { .perTask = oneAccelerator, .estimate = 60 });
        site.submit(job);
        std::string starts;
        std::size_t seenEvents = 0;
        std::int64_t runs = 0;
        std::int64_t failures = 0;
        while (site.now < 20000 && site.stateOf("task") != JobState::Failed) {
            site.run(site.now + 5);
            for (; seenEvents < site.planEvents.size(); ++seenEvents) {
                const PlanEvent& event = site.planEvents[seenEvents];
                if (event.kind == PlanEventKind::UnitPlaced && event.job == "task")
                    site.failAll(unused, true);
            }
            if (site.runsOf("task") > runs) {
                runs = site.runsOf("task");
                starts += fmt::format(" {}", site.now - 2000);
                site.failAll(unused, false);
            }
            if (site.countEnds(RunEnd::Failed) > failures) {
                failures = site.countEnds(RunEnd::Failed);
                site.submit(createJob(fmt::format("ok-{}", failures), { .perTask = oneAccelerator, .estimate = 10 }));
            }
        }
        CPPUNIT_ASSERT_MESSAGE(fmt::format("starts at{} ms, state {}", starts, nameOf(site.stateOf("task"))), site.stateOf("task") != JobState::Failed || site.now > 2000 + 3 * 2000);
    }

    // Guards against a task that crashes each worker and is placed beside the runs of others at once.
    void taskThatCrashesItsWorkerIsIsolatedAfterEachCrash()
    {
        constexpr Resources most { 10000, 10000, 6 };
        VirtualSite site({ .seed = 24, .workers = 10, .failures = 0 });
        site.newPlanner();
        site.submit(createJob("long", { .count = 10, .perTask = most, .estimate = 600000 }));
        site.run(2000);
        for (int i = 0; i < 10; ++i)
            site.failNextCalls({ .kind = CallKind::Start, .fate = CallFate::AnswerLost, .worker = fmt::format("w{:02}", i) });
        site.crashWorkersRunning("crasher", 0);
        site.submit(createJob("crasher", { .perTask = oneAccelerator, .estimate = 1000 }));
        std::string story;
        std::size_t seen = site.planEvents.size();
        Millis retriedAt = 0;
        int hasty = 0;
        while (site.now < 60000 && site.stateOf("crasher") != JobState::Failed) {
            site.run(site.now + 5);
            for (; seen < site.planEvents.size(); ++seen) {
                const PlanEvent& event = site.planEvents[seen];
                if (event.job != "crasher")
                    continue;
                if (event.kind == PlanEventKind::UnitRetried) {
                    retriedAt = site.now;
                    story += fmt::format("retried {}; ", site.now - 2000);
                }
                if (event.kind == PlanEventKind::UnitPlaced) {
                    const bool besideOthers = site.isBusy(event.worker);
                    hasty += retriedAt > 0 && besideOthers && site.now - retriedAt < 2000 ? 1 : 0;
                    story += fmt::format("placed {} on {}{}; ", site.now - 2000, event.worker, besideOthers ? " beside others" : "");
                }
            }
        }
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{}{} runs of others: {}", story, nameOf(site.stateOf("crasher")), site.runsOf("long")), hasty == 0);
    }

    // Guards against a run on unreserved workers that is stopped first since it gave up another preference.
    void unreservedWorkIsNotStoppedAtNoCost()
    {
        VirtualSite site({ .seed = 20, .workers = 8, .failures = 0, .racks = 4 });
        site.newPlanner();
        for (const char* rack : { "r0", "r1", "r2", "r3" })
            site.submit(createLongTasks(rack, 1, wholeWorker));
        site.run(2000);
        site.submit(createJob("gang", { .count = 2, .perTask = wholeWorker, .estimate = 60000, .gang = true, .sameRack = true }));
        site.run(25000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("gang"));
        site.submit(createJob("cheap", { .count = 2, .perTask = wholeWorker, .estimate = 60000 }));
        site.run(26500);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("cheap"));
        Job urgent = createJob("urgent", { .perTask = wholeWorker, .estimate = 1000 }, 0);
        urgent.workspace = "a";
        site.submit(urgent);
        site.run(28500);
        std::string evicted;
        for (const PlanEvent& event : site.planEvents)
            evicted += event.kind == PlanEventKind::UnitEvicted ? event.job + " (" + event.detail + ") " : "";
        CPPUNIT_ASSERT_MESSAGE("stopped: " + evicted, !evicted.starts_with("gang"));
    }

    // Guards against long-running tasks that wait for the rack of their data beside unused workers.
    void longRunningTasksGiveUpTheirRackOneByOne()
    {
        VirtualSite site({ .seed = 22, .workers = 16, .failures = 0, .racks = 4 });
        site.newPlanner();
        site.submit(createLongTasks("r0", 4, wholeWorker));
        site.run(2000);
        site.submit(createJob("serving", { .count = 12, .perTask = wholeWorker, .estimate = 60000, .dataRack = "r0", .longRunning = true }));
        site.run(5500);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of 12 tasks run after 3.5 s on 12 unused workers", site.runsOf("serving")), site.runsOf("serving") == 11 || site.runsOf("serving") == 12);
    }

    // Guards against a long-running task whose wait begins anew when its start is refused.
    void longRunningTaskKeepsItsClockWhenItsStartIsRefused()
    {
        VirtualSite site({ .seed = 21, .workers = 16, .failures = 0, .racks = 4 });
        site.newPlanner();
        site.submit(createLongTasks("r0", 4, wholeWorker));
        site.run(2000);
        site.suppressNextStarts(1);
        site.submit(createJob("serving", { .count = 1, .perTask = wholeWorker, .estimate = 60000, .dataRack = "r0", .longRunning = true }));
        assertAtMost(maxIdleTime, timeUntilRuns(site, "serving", 1, 20000), "a long-running task whose first start is not sent");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WithheldResourcesTest);

} // namespace
