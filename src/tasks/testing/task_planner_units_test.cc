// Jobs with more tasks than have units at a time.

#include "tasks/planner_limits.h"
#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr Resources smallTask { 1000, 1000, 0 };

Job makeJob(const std::string& id, const std::vector<Step>& steps, std::int64_t priority = 1)
{
    Job job;
    job.id = id;
    job.workspace = "a";
    job.terms = { .queue = fmt::format("q{}", priority), .service = "s", .priority = priority, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    job.steps = steps;
    return job;
}

class TaskPlannerUnitsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TaskPlannerUnitsTest);
    CPPUNIT_TEST(allTasksOfALargeJobRunOnce);
    CPPUNIT_TEST(takeoverContinuesALargeJob);
    CPPUNIT_TEST(waitingUnitsAreBounded);
    CPPUNIT_TEST(stepWithoutWorkersDoesNotBlockOthers);
    CPPUNIT_TEST(overdueOccurrencesRunInTurn);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->site = std::make_unique<VirtualSite>(testing::SiteOptions { .seed = 1, .workers = 8, .failures = 0 });
        this->site->newPlanner();
    }

    // Guards against tasks that never get a unit, or a second one.
    void allTasksOfALargeJobRunOnce()
    {
        this->site->submit(makeJob("large", { { .count = taskCount, .perTask = smallTask, .estimate = 100 }, { .count = 20, .perTask = smallTask, .estimate = 100, .dependsOn = { 0 } } }));
        CPPUNIT_ASSERT(this->site->runUntilFinished(120000));
        CPPUNIT_ASSERT_EQUAL(taskCount + 20, this->site->runsOf("large"));
        this->assertNoViolations();
    }

    // Guards against tasks that a planner which takes over forgets, or runs again.
    void takeoverContinuesALargeJob()
    {
        this->site->submit(makeJob("large", { { .count = taskCount, .perTask = smallTask, .estimate = 8000 } }));
        for (int i = 0; i < 3; ++i) {
            this->site->run(this->site->now + 2500);
            CPPUNIT_ASSERT(this->site->planner->runCount() > 0);
            this->site->newPlanner();
        }
        CPPUNIT_ASSERT(this->site->runUntilFinished(300000));
        CPPUNIT_ASSERT_EQUAL(taskCount, this->site->runsOf("large"));
        this->assertNoViolations();
    }

    // Guards against state that grows with the number of tasks that wait, and against an urgent job
    // that waits for them.
    void waitingUnitsAreBounded()
    {
        const Step large { .count = 100'000, .perTask = smallTask, .estimate = 60000 };
        for (int i = 0; i < 17; ++i)
            this->site->submit(makeJob(fmt::format("large{}", i), std::vector<Step>(5, large)));
        this->site->run(this->site->now + 1000);
        CPPUNIT_ASSERT(this->site->planner->waitingUnitCount() <= static_cast<std::size_t>(detail::maxWaitingUnits + 17 * 5 * detail::minStepWaitingUnits));
        this->site->submit(makeJob("urgent", { { .count = 8, .perTask = { 1000, 1000, 1 }, .estimate = 100 } }, 0));
        this->site->run(this->site->now + 3000);
        CPPUNIT_ASSERT(this->site->stateOf("urgent") == JobState::Completed);
        this->assertNoViolations();
    }

    // Guards against tasks without a worker that keep those of other steps from getting units.
    void stepWithoutWorkersDoesNotBlockOthers()
    {
        Step impossible { .count = 100'000, .perTask = smallTask, .estimate = 100, .label = "none" };
        this->site->submit(makeJob("mixed", { impossible, { .count = 100, .perTask = smallTask, .estimate = 100 } }));
        this->site->run(this->site->now + 10000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 100 }, this->site->runsOf("mixed"));
        this->assertNoViolations();
    }

    // Guards against state for all occurrences that are due, and against occurrences that never begin.
    void overdueOccurrencesRunInTurn()
    {
        Job job = makeJob("periodic", { { .count = 1, .perTask = smallTask, .estimate = 100 } });
        job.repeats = taskCount;
        job.startAt = 1;
        job.interval = 0;
        this->site->submit(job);
        this->site->run(this->site->now + 100);
        CPPUNIT_ASSERT(this->site->planner->waitingUnitCount() <= static_cast<std::size_t>(detail::maxJobWaitingUnits));
        CPPUNIT_ASSERT(this->site->runUntilFinished(300000));
        CPPUNIT_ASSERT_EQUAL(taskCount, this->site->runsOf("periodic"));
        this->assertNoViolations();
    }

private:
    static constexpr std::int64_t taskCount = 5000;

    void assertNoViolations() const { CPPUNIT_ASSERT_MESSAGE(this->site->violations.empty() ? "" : this->site->violations.front(), this->site->violations.empty()); }

    std::unique_ptr<VirtualSite> site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskPlannerUnitsTest);

} // namespace
