#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace rattan;
using namespace rattan::tasks;
using namespace rattan::tasks::testing;

namespace {

class SpreadingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SpreadingTest);
    CPPUNIT_TEST(tasksPlacedInOneRoundRespectTheLimitPerWorker);
    CPPUNIT_TEST(limitPerWorkerAppliesToEachStep);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against placing all tasks of a step in one round on the worker that ranks best for
    // each of them.
    void tasksPlacedInOneRoundRespectTheLimitPerWorker()
    {
        VirtualSite site({ .workers = 12 });
        site.newPlanner();
        site.submit(this->spreadJob("a", 24, 2));
        site.run(3000);
        for (const auto& [worker, tasks] : this->tasksByWorker(site, "a", 24))
            CPPUNIT_ASSERT_EQUAL(2, tasks);
        CPPUNIT_ASSERT(site.violations.empty());
    }

    void limitPerWorkerAppliesToEachStep()
    {
        VirtualSite site({ .workers = 12 });
        site.newPlanner();
        site.submit(this->spreadJob("a", 12, 1));
        site.submit(this->spreadJob("b", 12, 1));
        site.run(3000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), this->tasksByWorker(site, "a", 12).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), this->tasksByWorker(site, "b", 12).size());
    }

private:
    Job spreadJob(const std::string& id, std::int64_t count, std::int64_t maxPerWorker) const
    {
        Job job;
        job.id = id;
        job.terms.service = "s";
        job.terms.queue = "q";
        job.terms.maxAttempts = 5;
        job.terms.stretch = 3;
        Step step;
        step.count = count;
        step.perTask = { 1000, 1000, 1 };
        step.estimate = 60000;
        step.maxPerWorker = maxPerWorker;
        job.steps.push_back(step);
        return job;
    }

    std::map<std::string, int> tasksByWorker(const VirtualSite& site, const std::string& job, std::int64_t count) const
    {
        std::map<std::string, int> counts;
        for (std::int64_t index = 0; index < count; ++index) {
            const std::string host = site.hostOf(job, index);
            CPPUNIT_ASSERT(!host.empty());
            ++counts[host];
        }
        return counts;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpreadingTest);

} // namespace
