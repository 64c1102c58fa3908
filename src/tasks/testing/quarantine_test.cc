// Which failures get a worker quarantined.

#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <set>
#include <string>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

Job createTasks(const std::string& id, std::int64_t count, Millis estimate)
{
    Job result { .id = id, .workspace = "c", .text = "work", .steps = { { .count = count, .perTask = { 1000, 1000, 1 }, .estimate = estimate, .maxPerWorker = 3 } } };
    result.terms = { .queue = "q", .service = "s", .priority = 1, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    return result;
}

std::set<std::string> quarantinedWorkers(const VirtualSite& site)
{
    std::set<std::string> result;
    for (const PlanEvent& event : site.planEvents) {
        if (event.kind == PlanEventKind::WorkerDistrusted)
            result.insert(event.worker);
    }
    return result;
}

class QuarantineTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(QuarantineTest);
    CPPUNIT_TEST(jobThatAlwaysFailsDoesNotQuarantineSoundWorkers);
    CPPUNIT_TEST(workersThatFailEverythingAreQuarantined);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a job that fails by itself and gets a large part of the workers quarantined.
    void jobThatAlwaysFailsDoesNotQuarantineSoundWorkers()
    {
        VirtualSite site({ .seed = 101, .workers = 16, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.setFailures("bad", 1);
        site.submit(createTasks("bad", 39, 1000));
        site.runUntilFinished(30000);
        CPPUNIT_ASSERT(site.stateOf("bad") == JobState::Failed);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} workers", quarantinedWorkers(site).size()), quarantinedWorkers(site).size() <= 2);
    }

    // Guards against workers that fail everything and are not quarantined since every step fails on several of them.
    void workersThatFailEverythingAreQuarantined()
    {
        VirtualSite site({ .seed = 102, .workers = 16, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        for (int i = 0; i < 6; ++i)
            site.failAll(fmt::format("w{:02}", i), true);
        for (int i = 0; i < 4; ++i) {
            site.submit(createTasks(fmt::format("job{}", i), 39, 1000));
            site.run(site.now + 1500);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 6 }, quarantinedWorkers(site).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

} // namespace
