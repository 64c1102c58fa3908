// Queues that are sent to another service, or removed, while jobs of them wait or run.

#include "tasks/load_table.h"
#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

const std::string job = "job";

class TaskPlannerTermsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TaskPlannerTermsTest);
    CPPUNIT_TEST(waitingJobsFollowTheirQueue);
    CPPUNIT_TEST(takeoverKeepsNewService);
    CPPUNIT_TEST(olderCatalogDoesNotSendQueueBack);
    CPPUNIT_TEST(jobsOfRemovedQueueRun);
    CPPUNIT_TEST(lostLongRunningTaskStartsOnNewService);
    CPPUNIT_TEST(laterStepStartsOnNewService);
    CPPUNIT_TEST(loadOfFormerServiceIsIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    // The two workers of service "s" are busy for a minute, the four of "t" are idle.
    void setUp() override
    {
        this->site = std::make_unique<VirtualSite>(testing::SiteOptions { .seed = 1, .workers = 6, .failures = 0, .racks = 1, .workersOfSecondService = 4 });
        this->site->newPlanner();
        this->submit("filling", "other", "s", 2, 60000);
    }

    // Guards against jobs that wait for the workers of a service that their queue has left.
    void waitingJobsFollowTheirQueue()
    {
        this->submit(job, "q", "s", 1, 1000);
        this->submit("gang", "q", "s", 2, 1000, { .gang = true });
        this->site->sendQueue("q", "t");
        this->expectCompleted({ job, "gang" }, 2000);
    }

    // Guards against waits for the former service after a takeover beside the change.
    void takeoverKeepsNewService()
    {
        this->submit(job, "q", "s", 1, 1000);
        this->site->sendQueue("q", "t");
        this->site->newPlanner();
        this->expectCompleted({ job }, 2500);
    }

    // Guards against a planner that has read only an older configuration, but other instances a
    // newer one: its own jobs' records and its predecessor's plan show the newer terms.
    void olderCatalogDoesNotSendQueueBack()
    {
        this->submit(job, "q", "s", 1, 3000);
        this->site->hideConfigurations(true);
        this->site->sendQueue("q", "t");
        this->submit("later", "q", "s", 1, 100);
        CPPUNIT_ASSERT_EQUAL(std::string("t"), this->serviceThatRuns(job));
        this->site->restart(this->site->hostOf(job, 0));
        this->site->newPlanner();
        this->expectCompleted({ job, "later" }, 8000);
    }

    // Guards against accepted jobs that nothing runs once their queue is removed.
    void jobsOfRemovedQueueRun()
    {
        this->submit(job, "q", "s", 5, 1000);
        this->site->sendQueue("q", "t");
        this->site->sendQueue("q", "");
        this->site->run(this->site->now + 500);
        this->site->newPlanner();
        this->expectCompleted({ job }, 6000);
        this->submit("next", "r", "s", 1, 1000);
        this->site->sendQueue("r", "");
        this->site->sendQueue("r", "t");
        this->expectCompleted({ "next" }, 2000);
    }

    // Guards against a long-running task that restarts only on the service that its queue has left,
    // and against stops of runs because of the change.
    void lostLongRunningTaskStartsOnNewService()
    {
        this->submit(job, "q", "t", 1, 40000, { .longRunning = true });
        this->site->cancel("filling");
        this->site->sendQueue("q", "s");
        this->site->run(this->site->now + 4000);
        CPPUNIT_ASSERT_EQUAL(std::string("t"), this->serviceThatRuns(job));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, this->site->runsOf(job));
        this->site->restart(this->site->hostOf(job, 0));
        this->site->run(this->site->now + 2000);
        CPPUNIT_ASSERT_EQUAL(std::string("s"), this->serviceThatRuns(job));
    }

    // Guards against later steps that wait for the service on which the first one ran.
    void laterStepStartsOnNewService()
    {
        Job twoSteps = createJob(job, "q", "s", 1, 1000);
        twoSteps.steps.push_back({ .count = 2, .perTask = wholeWorker, .estimate = 1000, .dependsOn = { 0 }, .gang = true });
        this->site->cancel("filling");
        this->site->submit(twoSteps);
        this->site->run(this->site->now + 500);
        CPPUNIT_ASSERT_EQUAL(std::string("s"), this->serviceThatRuns(job));
        this->submit("filling2", "other", "s", 1, 60000);
        this->site->sendQueue("q", "t");
        this->expectCompleted({ job }, 3000);
    }

    // Guards against refusals of jobs for the backlog of a service that their queue has left.
    void loadOfFormerServiceIsIgnored()
    {
        LoadTable table;
        table.apply("load/q", encodeLoad({ 3000, 500, "s" }), 1, 500);
        CPPUNIT_ASSERT(table.find({ .queue = "q", .service = "s" }, 500, 500) && !table.find({ .queue = "q", .service = "t" }, 500, 500));
    }

private:
    static constexpr Resources wholeWorker { 128000, 512000, 8 };

    static Job createJob(const std::string& id, const std::string& queue, const std::string& service, std::int64_t count, Millis estimate, Step step = {})
    {
        Job result { .id = id, .workspace = "c" };
        result.terms = { .queue = queue, .service = service, .priority = 1, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
        step.count = count;
        step.perTask = wholeWorker;
        step.estimate = estimate;
        result.steps = { step };
        return result;
    }

    void submit(const std::string& id, const std::string& queue, const std::string& service, std::int64_t count, Millis estimate, const Step& step = {})
    {
        this->site->submit(createJob(id, queue, service, count, estimate, step));
        this->site->run(this->site->now + 1000);
    }

    // The service of the worker that runs the job's first task; empty if none does.
    std::string serviceThatRuns(const std::string& id) const
    {
        const std::string host = this->site->hostOf(id, 0);
        return host.empty() ? "" : this->site->serviceOf(host);
    }

    void expectCompleted(const std::vector<std::string>& ids, Millis within)
    {
        this->site->run(this->site->now + within);
        for (const std::string& id : ids)
            CPPUNIT_ASSERT_MESSAGE(id, this->site->stateOf(id) == JobState::Completed);
        CPPUNIT_ASSERT_MESSAGE(this->site->violations.empty() ? "" : this->site->violations.front(), this->site->violations.empty());
    }

    std::unique_ptr<VirtualSite> site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskPlannerTermsTest);

} // namespace
