// Runs a sequence of faults and checks that no work is lost after they are over. Also tests the
// detector of lost work. RATTAN_DAYS=FIRST-LAST selects other seeds.

#include "tasks/testing/fault_scenario.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::FaultScenario;
using rattan::tasks::testing::VirtualSite;

namespace {

Job createJob(const std::string& id, std::int64_t steps)
{
    Job result;
    result.id = id;
    result.workspace = "a";
    result.terms = { .queue = "q", .service = "s", .priority = 1, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    for (std::int64_t i = 0; i < steps; ++i) {
        result.steps.push_back({ .count = 2, .perTask = { 1000, 1000, 1 }, .estimate = 1000 });
        if (i > 0)
            result.steps.back().dependsOn.push_back(i - 1);
    }
    return result;
}

bool hasLostWork(const VirtualSite& site) { return !site.violations.empty() && site.violations.front().find("runnable but not started") != std::string::npos; }

class FaultScenarioTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FaultScenarioTest);
    CPPUNIT_TEST(noWorkIsLostAfterFaults);
    CPPUNIT_TEST(detectorReportsWorkThatIsNotStarted);
    CPPUNIT_TEST(detectorReportsSecondStepsThatAreNotStarted);
    CPPUNIT_TEST(detectorReportsNothingNearAFault);
    CPPUNIT_TEST(detectorIgnoresWorkThatCannotRun);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against work that waits beside idle workers because the planner does not poll them or
    // does not process the ends that they report.
    void noWorkIsLostAfterFaults()
    {
        unsigned long long first = 1;
        unsigned long long last = 1;
        if (const char* text = std::getenv("RATTAN_DAYS"))
            std::sscanf(text, "%llu-%llu", &first, &last);
        for (auto seed = first; seed <= last; ++seed) {
            FaultScenario scenario({ .seed = seed });
            scenario.run();
            CPPUNIT_ASSERT_MESSAGE(scenario.site.violations.empty() ? "" : fmt::format("seed {}: {}, {} more", seed, scenario.site.violations.front(), scenario.site.violations.size() - 1), scenario.site.violations.empty());
        }
    }

    // Guards against a detector that never reports anything.
    void detectorReportsWorkThatIsNotStarted()
    {
        VirtualSite site({ .seed = 41, .failures = 0 });
        site.newPlanner();
        site.run(10000);
        site.pausePlanner(20000);
        site.submit(createJob("j", 1));
        site.run(12900);
        CPPUNIT_ASSERT(site.violations.empty());
        site.run(13200);
        CPPUNIT_ASSERT(hasLostWork(site));
    }

    void detectorReportsSecondStepsThatAreNotStarted()
    {
        VirtualSite site({ .seed = 42, .failures = 0 });
        site.newPlanner();
        site.run(10000);
        site.submit(createJob("j", 2));
        while (site.now < 12000 && site.countEnds(RunEnd::Done) < 2)
            site.run(site.now + 5);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.countEnds(RunEnd::Done));
        const Millis ended = site.now;
        site.pausePlanner(20000); // The polls that wait at the workers report both ends.
        site.run(ended + 2900);
        CPPUNIT_ASSERT(site.violations.empty());
        site.run(ended + 3400);
        CPPUNIT_ASSERT(hasLostWork(site));
    }

    // Guards against a detector that reports a fault of the site as a fault of the planner.
    void detectorReportsNothingNearAFault()
    {
        VirtualSite site({ .seed = 43, .failures = 0 });
        site.newPlanner();
        site.run(10000);
        site.setPartitioned("w03", true);
        site.run(10100);
        site.setPartitioned("w03", false);
        site.pausePlanner(20000);
        site.submit(createJob("j", 1));
        site.run(19900);
        CPPUNIT_ASSERT(site.violations.empty());
        site.run(23000);
        CPPUNIT_ASSERT(site.violations.empty());
    }

    void detectorIgnoresWorkThatCannotRun()
    {
        VirtualSite site({ .seed = 44, .failures = 0 });
        site.newPlanner();
        site.run(10000);
        Job oversized = createJob("wide", 1);
        oversized.steps[0].count = 1;
        oversized.steps[0].perTask.accelerators = 9; // More than any worker has.
        site.submit(oversized);
        site.submit(createJob("given up", 1));
        site.cancel("given up");
        site.run(20000);
        CPPUNIT_ASSERT(site.violations.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultScenarioTest);

} // namespace
