// Resources that are reserved for some units while jobs that fit twice have nothing running.

#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr Resources wholeWorker { 10000, 10000, 8 };

Resources accelerators(std::int64_t count) { return { 1000, 1000, count }; }

Job createJob(const std::string& id, std::int64_t priority, Step step)
{
    Job result { .id = id, .workspace = "c", .text = "work", .steps = { std::move(step) } };
    result.terms = { .queue = fmt::format("q{}", priority), .service = "s", .priority = priority, .maxAttempts = 4, .stretch = priority == 0 ? 1.5 : 3, .latencyTarget = 1000 };
    return result;
}

Job createGang(const std::string& id, std::int64_t priority, std::int64_t members, Resources perMember, Millis estimate)
{
    return createJob(id, priority, { .count = members, .perTask = perMember, .estimate = estimate, .gang = true });
}

void assertNoViolations(const VirtualSite& site)
{
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} violations: {}", site.violations.size(), site.violations.empty() ? "" : site.violations.front()), site.violations.empty());
}

class ReservedResourcesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ReservedResourcesTest);
    CPPUNIT_TEST(jobsDoNotStandIdleBesideWorkersKeptForUrgentUnits);
    CPPUNIT_TEST(jobsDoNotStandIdleBesideAReservationForAGang);
    CPPUNIT_TEST(jobsDoNotStandIdleOnABusySite);
    CPPUNIT_TEST(oneUnitOfAnIdleJobUsesReservedResources);
    CPPUNIT_TEST(urgentGangsStartInTimeBesideIdleJobs);
    CPPUNIT_TEST_SUITE_END();

    // Fills 16 of 24 workers with long tasks. The 8 others are kept for an urgent gang that no worker can run.
    static void keepWorkersForUrgentUnits(VirtualSite& site)
    {
        Job urgent = createGang("urgent", 0, 8, wholeWorker, 1000);
        urgent.steps.front().label = std::string("none");
        site.submit(urgent);
        site.run(1500);
        for (int i = 0; i < 16; ++i)
            site.submit(createJob(fmt::format("long{}", i), 2, { .perTask = wholeWorker, .estimate = 60000 }));
        site.run(13000);
    }

public:
    // Guards against a job that stands idle beside workers that are kept for urgent units.
    void jobsDoNotStandIdleBesideWorkersKeptForUrgentUnits()
    {
        VirtualSite site({ .seed = 91, .workers = 24, .lease = 10000, .failures = 0, .checkLostWorkAtAnyLoad = true });
        site.newPlanner();
        keepWorkersForUrgentUnits(site);
        site.submit(createGang("gang", 1, 4, wholeWorker, 20000));
        site.run(18000);
        assertNoViolations(site);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("gang"));
    }

    // Guards against tasks that stand idle beside the reservation of a gang that waits for long runs.
    void jobsDoNotStandIdleBesideAReservationForAGang()
    {
        VirtualSite site({ .seed = 92, .workers = 8, .lease = 10000, .failures = 0, .checkLostWorkAtAnyLoad = true });
        site.newPlanner();
        for (int i = 0; i < 5; ++i)
            site.submit(createJob(fmt::format("long{}", i), 1, { .perTask = wholeWorker, .estimate = 25000 }));
        site.run(13000);
        site.submit(createGang("all", 1, 8, wholeWorker, 5000));
        site.run(13500);
        for (int i = 0; i < 4; ++i)
            site.submit(createJob(fmt::format("small{}", i), 2, { .perTask = accelerators(1), .estimate = 30000 }));
        site.run(24000);
        assertNoViolations(site);
        site.run(60000);
        CPPUNIT_ASSERT(site.stateOf("all") == JobState::Completed);
        // The tasks that took reserved resources would run until 45 s.
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms", site.finishedAt("all")), site.finishedAt("all") <= 34000);
    }

    // Guards against jobs that stand idle on a busy site with work of all priorities and no fault.
    void jobsDoNotStandIdleOnABusySite()
    {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            VirtualSite site({ .seed = seed, .workers = 32, .lease = 10000, .failures = 0.02, .racks = 4, .workSpread = 0.3, .checkLostWorkAtAnyLoad = true });
            std::mt19937_64 random(seed);
            const auto randomBetween = [&random](std::int64_t low, std::int64_t high) { return std::uniform_int_distribution<std::int64_t>(low, high)(random); };
            site.newPlanner();
            int jobs = 0;
            for (Millis at = 1000; at < 45000; at += 250) {
                site.run(at);
                const std::int64_t kind = randomBetween(0, 9);
                const std::int64_t size = std::int64_t { 1 } << randomBetween(0, 3);
                if (kind < 3)
                    site.submit(createGang(fmt::format("urgent{}", jobs++), 0, randomBetween(2, 8), accelerators(size), 2500));
                else if (kind < 5)
                    site.submit(createGang(fmt::format("gang{}", jobs++), 1, randomBetween(2, 12), accelerators(size), 6800));
                else if (kind < 6)
                    site.submit(createJob(fmt::format("patient{}", jobs++), 2, { .count = randomBetween(5, 40), .perTask = accelerators(1), .estimate = 9500 }));
            }
            site.run(50000);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {} violations: {}", seed, site.violations.size(), site.violations.empty() ? "" : site.violations.front()), site.violations.empty());
        }
    }

    // Guards against jobs that take all of what is reserved for others.
    void oneUnitOfAnIdleJobUsesReservedResources()
    {
        VirtualSite site({ .seed = 93, .workers = 24, .lease = 10000, .failures = 0 });
        site.newPlanner();
        keepWorkersForUrgentUnits(site);
        site.submit(createJob("tasks", 2, { .count = 40, .perTask = { 10000, 10000, 4 }, .estimate = 20000 }));
        site.run(20000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("tasks"));
    }

    // Guards against urgent gangs that wait because idle jobs occupy what was kept for them.
    void urgentGangsStartInTimeBesideIdleJobs()
    {
        VirtualSite site({ .seed = 94, .workers = 24, .lease = 10000, .failures = 0 });
        site.newPlanner();
        keepWorkersForUrgentUnits(site);
        site.submit(createGang("gang", 1, 4, wholeWorker, 20000));
        site.run(17000);
        site.submit(createGang("last", 0, 6, wholeWorker, 1000)); // Two of the kept workers are borrowed.
        site.run(18500); // A later start would end after 1.5 times the run time and the latency target.
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 6 }, site.runsOf("last"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReservedResourcesTest);

} // namespace
