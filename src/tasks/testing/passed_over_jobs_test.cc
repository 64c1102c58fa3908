// Jobs that could run in unused resources by all that they need, but not by all that they prefer.

#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr Millis maxIdleTime = 3000;
constexpr Resources wholeWorker { 10000, 10000, 8 };
constexpr Resources mostOfAWorker { 10000, 10000, 6 };
constexpr Resources oneAccelerator { 1000, 1000, 1 };

Job createJob(const std::string& id, Step step, std::int64_t priority = 1)
{
    Job result { .id = id, .workspace = "c", .text = "work", .steps = { std::move(step) } };
    result.terms = { .queue = fmt::format("q{}", priority), .service = "s", .priority = priority, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    return result;
}

Job createLongTasks(const std::string& rack, std::int64_t count, Resources each, std::int64_t maxPerWorker = 0)
{
    return createJob("long-" + rack, { .count = count, .perTask = each, .estimate = 120000, .label = rack, .maxPerWorker = maxPerWorker });
}

// The worker on which the last run of the job was placed, or empty if fewer runs were placed.
std::string placedOn(const VirtualSite& site, const std::string& job, std::int64_t run)
{
    for (const PlanEvent& event : site.planEvents) {
        if (event.kind == PlanEventKind::UnitPlaced && event.job == job && event.run == run)
            return event.worker;
    }
    return "";
}

std::int64_t countEvents(const VirtualSite& site, PlanEventKind kind)
{
    return std::count_if(site.planEvents.begin(), site.planEvents.end(), [kind](const PlanEvent& event) { return event.kind == kind; });
}

class PassedOverJobsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PassedOverJobsTest);
    CPPUNIT_TEST(gangIsNotPassedOverForOneRack);
    CPPUNIT_TEST(taskIsNotPassedOverForTheRackOfItsData);
    CPPUNIT_TEST(taskIsNotPassedOverBesideTheWorkerOnWhichItFailed);
    CPPUNIT_TEST(stoppedSuspectIsNotIsolatedAnew);
    CPPUNIT_TEST(longRunningTaskIsNotPassedOverBesideItsSiblings);
    CPPUNIT_TEST(taskIsNotPassedOverBesideASiblingInDoubt);
    CPPUNIT_TEST(gangIsNotPassedOverBesideQuarantinedWorkers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a gang that stands still for one rack while it fits twice in several.
    void gangIsNotPassedOverForOneRack()
    {
        VirtualSite site({ .seed = 95, .workers = 16, .failures = 0, .racks = 4 });
        site.newPlanner();
        for (const char* rack : { "r0", "r1", "r2", "r3" })
            site.submit(createLongTasks(rack, 2, wholeWorker));
        site.run(2000);
        site.submit(createJob("gang", { .count = 3, .perTask = wholeWorker, .estimate = 5000, .gang = true, .sameRack = true }));
        site.run(2000 + maxIdleTime);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 3 }, site.runsOf("gang"));
    }

    // Guards against a task that stands still for the rack of its data while other racks are unused.
    void taskIsNotPassedOverForTheRackOfItsData()
    {
        VirtualSite site({ .seed = 96, .workers = 16, .failures = 0, .racks = 4 });
        site.newPlanner();
        site.submit(createLongTasks("r0", 4, wholeWorker));
        site.run(2000);
        site.submit(createJob("task", { .perTask = wholeWorker, .estimate = 5000, .dataRack = "r0" }));
        site.run(2000 + maxIdleTime);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("task"));
    }

    // Guards against a task that never starts again because the only unused worker is the one on which it failed.
    void taskIsNotPassedOverBesideTheWorkerOnWhichItFailed()
    {
        VirtualSite site({ .seed = 97, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.submit(createJob("long", { .count = 3, .perTask = wholeWorker, .estimate = 120000 }));
        site.run(2000);
        std::set<std::string> busy;
        for (std::int64_t index = 0; index < 3; ++index)
            busy.insert(site.hostOf("long", index));
        for (int i = 0; i < 4; ++i)
            site.failAll(fmt::format("w{:02}", i), !busy.contains(fmt::format("w{:02}", i)));
        site.submit(createJob("task", { .perTask = oneAccelerator, .estimate = 1000 }));
        while (site.countEnds(RunEnd::Failed) == 0 && site.now < 10000)
            site.run(site.now + 5);
        for (int i = 0; i < 4; ++i)
            site.failAll(fmt::format("w{:02}", i), false);
        site.run(site.now + maxIdleTime);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("task"));
    }

    // Guards against a suspect gang that waits for workers of its own from the beginning after each run that is stopped.
    void stoppedSuspectIsNotIsolatedAnew()
    {
        VirtualSite site({ .seed = 98, .workers = 16, .failures = 0, .racks = 4 });
        site.newPlanner();
        site.submit(createJob("gang", { .count = 3, .perTask = mostOfAWorker, .estimate = 20000, .gang = true }));
        site.run(1500);
        for (const char* rack : { "r0", "r1", "r2", "r3" })
            site.submit(createLongTasks(rack, 4, oneAccelerator, 1));
        site.run(2000);
        site.restart(site.hostOf("gang", 0));
        while (placedOn(site, "gang", 2).empty() && site.now < 10000)
            site.run(site.now + 5);
        const std::string rack = fmt::format("r{}", std::stoi(placedOn(site, "gang", 2).substr(1)) % 4);
        site.submit(createJob("urgent", { .count = 4, .perTask = mostOfAWorker, .estimate = 1000, .gang = true, .label = rack }, 0));
        const Millis stoppedAt = site.now;
        site.run(stoppedAt + 1000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("urgent"));
        CPPUNIT_ASSERT(!placedOn(site, "gang", 3).empty());
    }

    // Guards against a long-running task that stands still because another one of its job runs.
    void longRunningTaskIsNotPassedOverBesideItsSiblings()
    {
        VirtualSite site({ .seed = 99, .workers = 16, .failures = 0, .racks = 4 });
        site.newPlanner();
        site.submit(createLongTasks("r0", 3, wholeWorker));
        site.run(2000);
        site.submit(createJob("serving", { .count = 2, .perTask = wholeWorker, .estimate = 60000, .dataRack = "r0", .longRunning = true }));
        site.run(2000 + maxIdleTime);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("serving"));
    }

    // Guards against a job that stands still for a lease because the worker of one of its tasks is gone.
    void taskIsNotPassedOverBesideASiblingInDoubt()
    {
        constexpr Millis calmAfterFault = 4000;
        VirtualSite site({ .seed = 100, .workers = 16, .lease = 10000, .failures = 0, .racks = 4, .longPolls = true });
        site.newPlanner();
        site.submit(createLongTasks("r0", 3, wholeWorker));
        site.run(2000);
        site.submit(createJob("tasks", { .count = 2, .perTask = wholeWorker, .estimate = 60000, .dataRack = "r0" }));
        site.run(4000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("tasks"));
        site.removeForGood(site.hostOf("tasks", 0));
        site.run(4000 + calmAfterFault + maxIdleTime);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("tasks"));
    }

    // Guards against a gang that stands still because it fits once on the workers that take work, and the rest of what is unused is quarantined.
    void gangIsNotPassedOverBesideQuarantinedWorkers()
    {
        VirtualSite site({ .seed = 100, .workers = 16, .failures = 0, .racks = 4 });
        site.newPlanner();
        for (const char* rack : { "r0", "r1", "r2", "r3" })
            site.submit(createLongTasks(rack, 2, wholeWorker));
        site.run(2000);
        std::set<std::string> failing;
        for (int rack = 0; rack < 3; ++rack) {
            for (int number = rack; number < 16; number += 4) {
                const std::string id = fmt::format("w{:02}", number);
                if (!site.isBusy(id)) {
                    failing.insert(id);
                    break;
                }
            }
        }
        for (const std::string& id : failing)
            site.failAll(id, true);
        site.submit(createJob("short", { .count = 16, .perTask = wholeWorker, .estimate = 200 }));
        while (countEvents(site, PlanEventKind::WorkerDistrusted) < 3 && site.now < 10000)
            site.run(site.now + 5);
        for (const std::string& id : failing)
            site.failAll(id, false);
        constexpr Millis shortTasksTime = 600;
        site.run(site.now + shortTasksTime);
        site.submit(createJob("gang", { .count = 3, .perTask = wholeWorker, .estimate = 5000, .gang = true, .sameRack = true }));
        site.run(site.now + maxIdleTime);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 3 }, site.runsOf("gang"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PassedOverJobsTest);

} // namespace
