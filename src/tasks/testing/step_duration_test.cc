#include "tasks/step_duration.h"

#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

Job makeJob(const std::string& id)
{
    Job job;
    job.id = id;
    job.workspace = std::string("a"); // GCC 12 warns incorrectly if a literal of one character is assigned.
    job.terms = { .queue = "q", .service = "s", .priority = 1, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    job.text = "work";
    job.steps.push_back({ .count = 1, .perTask = { 10000, 50000, 1 }, .estimate = 300 });
    return job;
}

class StepDurationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StepDurationTest);
    CPPUNIT_TEST(workCountsWholeOnAShareOfACore);
    CPPUNIT_TEST(shortWorkCountsWholeWithoutAProcessor);
    CPPUNIT_TEST(suspendedTimeDoesNotCount);
    CPPUNIT_TEST(jobsStartSoonAfterASuspensionInARound);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against rounds that fill the core of a weak machine.
    void workCountsWholeOnAShareOfACore()
    {
        CPPUNIT_ASSERT_EQUAL(Millis { 408 }, countedDuration({ .elapsed = 408, .processorTime = 49, .cores = 0.12 }));
        CPPUNIT_ASSERT_EQUAL(Millis { 2000 }, countedDuration({ .elapsed = 2000, .processorTime = 240, .cores = 0.12 }));
        CPPUNIT_ASSERT_EQUAL(Millis { 2000 }, countedDuration({ .elapsed = 2000, .processorTime = 2000, .cores = 1 }));
        CPPUNIT_ASSERT_EQUAL(Millis { 2000 }, countedDuration({ .elapsed = 2000, .processorTime = 2000, .cores = 8 }));
        CPPUNIT_ASSERT_EQUAL(Millis { 408 }, countedDuration({ .elapsed = 408, .processorTime = 102, .cores = 1 }));
    }

    // Guards against rounds that fill what other processes leave of a core.
    void shortWorkCountsWholeWithoutAProcessor()
    {
        CPPUNIT_ASSERT_EQUAL(maxUnexplainedDuration, countedDuration({ .elapsed = maxUnexplainedDuration, .processorTime = 10, .cores = 1 }));
        CPPUNIT_ASSERT_EQUAL(Millis { 3 }, countedDuration({ .elapsed = 3, .processorTime = 0, .cores = 0 }));
    }

    void suspendedTimeDoesNotCount()
    {
        CPPUNIT_ASSERT_EQUAL(maxUnexplainedDuration, countedDuration({ .elapsed = 5540, .processorTime = 40, .cores = 1 }));
        CPPUNIT_ASSERT_EQUAL(Millis { 3200 }, countedDuration({ .elapsed = 6300, .processorTime = 400, .cores = 0.5 }));
    }

    // Guards against jobs that wait beside free workers because the process was suspended in the
    // middle of a round, which is followed by a pause of three times its duration.
    void jobsStartSoonAfterASuspensionInARound()
    {
        constexpr Millis suspension = 900; // The planner still holds its term after it.
        VirtualSite site({ .seed = 8, .failures = 0 });
        site.newPlanner();
        site.run(2000);
        site.suspendNextRound(suspension);
        site.submit(makeJob("first"));
        while (site.runsOf("first") < 1 && site.now < 10000)
            site.run(site.now + 5);
        const Millis resumedAt = site.now + suspension;
        site.submit(makeJob("second"));
        while (site.runsOf("second") < 1 && site.now < 20000)
            site.run(site.now + 5);
        constexpr Millis usualStart = 300;
        CPPUNIT_ASSERT_LESS(resumedAt + 3 * maxUnexplainedDuration + usualStart, site.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, site.violations.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepDurationTest);

} // namespace
