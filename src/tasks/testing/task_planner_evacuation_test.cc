#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::SiteOptions;
using rattan::tasks::testing::VirtualSite;

namespace {

class TaskPlannerEvacuationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TaskPlannerEvacuationTest);
    CPPUNIT_TEST(nothingStartsInAnEvacuatedDomain);
    CPPUNIT_TEST(runningTasksOfAnEvacuatedDomainEndThere);
    CPPUNIT_TEST(gangWithAnUnsentMemberStartsElsewhere);
    CPPUNIT_TEST(unansweredStartIsNotRepeated);
    CPPUNIT_TEST(nextPlannerKeepsTheRequest);
    CPPUNIT_TEST(workWaitsWhileAllDomainsAreEvacuated);
    CPPUNIT_TEST(nothingStartsWhileTheRequestsAreUnknown);
    CPPUNIT_TEST(dataInAnEvacuatedRackIsReadFromElsewhere);
    CPPUNIT_TEST(guaranteeIsReclaimedInTheRemainingDomains);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against tasks that begin on workers which operators are about to shut down.
    void nothingStartsInAnEvacuatedDomain()
    {
        VirtualSite site(siteOf(12));
        this->begin(site);
        site.evacuate({ "r0" });
        for (int i = 0; i < 30; ++i)
            site.submit(jobOf(fmt::format("j{}", i), 1, 300, 2));
        CPPUNIT_ASSERT(site.runUntilFinished(20000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), site.startsInDomain("r0"));
        this->expectClean(site);
    }

    // Guards against lost work: a request only asks that nothing more begins.
    void runningTasksOfAnEvacuatedDomainEndThere()
    {
        VirtualSite site(siteOf(12));
        this->begin(site);
        site.submit(jobOf("long", 12, 3000, 8));
        site.run(site.now + 1000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4), site.startsInDomain("r0"));
        site.evacuate({ "r0" });
        CPPUNIT_ASSERT(site.runUntilFinished(8000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(12), site.runsOf("long"));
        this->expectClean(site);
    }

    // Guards against a gang of which a part begins while the request forbids the rest.
    void gangWithAnUnsentMemberStartsElsewhere()
    {
        for (const Millis recordDelay : { 0, 60, 200 }) {
            VirtualSite site(siteOf(12));
            this->begin(site);
            site.delayRecords(recordDelay);
            Job gang = jobOf("gang", 4, 500, 8);
            gang.steps[0].gang = true;
            gang.steps[0].dataRack = std::string("r0");
            site.submit(gang);
            site.run(site.now + recordDelay / 2);
            const std::int64_t before = site.startsInDomain("r0");
            site.evacuate({ "r0" });
            CPPUNIT_ASSERT(site.runUntilFinished(20000));
            CPPUNIT_ASSERT_EQUAL(before, site.startsInDomain("r0"));
            CPPUNIT_ASSERT(site.stateOf("gang") == JobState::Completed);
            this->expectClean(site);
        }
    }

    // Guards against a start that is sent again, for want of an answer, after the request.
    void unansweredStartIsNotRepeated()
    {
        VirtualSite site(siteOf(4));
        this->begin(site);
        site.setDomainPartitioned("r0", true);
        site.submit(jobOf("a", 2, 500, 8));
        site.run(site.now + 50);
        site.evacuate({ "r0" });
        site.setDomainPartitioned("r0", false);
        site.run(site.now + 5000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), site.startsInDomain("r0"));
        site.evacuate({});
        CPPUNIT_ASSERT(site.runUntilFinished(40000));
        this->expectClean(site);
    }

    // Guards against a planner that takes over and fills the domain that its predecessor spared.
    void nextPlannerKeepsTheRequest()
    {
        VirtualSite site(siteOf(12));
        this->begin(site);
        site.evacuate({ "r1" });
        for (int i = 0; i < 10; ++i)
            site.submit(jobOf(fmt::format("j{}", i), 2, 1500, 4));
        site.run(site.now + 500);
        site.newPlanner();
        CPPUNIT_ASSERT(site.runUntilFinished(40000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), site.startsInDomain("r1"));
        this->expectClean(site);
    }

    // Guards against jobs that are lost, or fail, while no domain may take work, and against work that
    // waits on after the requests are withdrawn.
    void workWaitsWhileAllDomainsAreEvacuated()
    {
        VirtualSite site(siteOf(8));
        this->begin(site);
        site.evacuate({ "r0", "r1", "unknown" });
        site.submit(jobOf("a", 4, 400, 8));
        site.run(site.now + 6000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), site.runsOf("a"));
        CPPUNIT_ASSERT(site.stateOf("a") == JobState::Queued);
        const Millis withdrawnAt = site.now;
        site.evacuate({});
        CPPUNIT_ASSERT(site.runUntilFinished(withdrawnAt + 2000));
        this->expectClean(site);
    }

    // Guards against starts in a domain whose request this instance has not been able to read.
    void nothingStartsWhileTheRequestsAreUnknown()
    {
        VirtualSite site(siteOf(4));
        this->begin(site);
        site.planner->setEvacuatedDomains({}, false, site.now);
        site.submit(jobOf("a", 2, 300, 8));
        site.run(site.now + 2000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), site.runsOf("a"));
        site.planner->setEvacuatedDomains({}, true, site.now);
        CPPUNIT_ASSERT(site.runUntilFinished(site.now + 2000));
        this->expectClean(site);
    }

    // Guards against a task that waits for its rack although it could run, more slowly, elsewhere.
    void dataInAnEvacuatedRackIsReadFromElsewhere()
    {
        VirtualSite site(siteOf(8));
        this->begin(site);
        site.evacuate({ "r0" });
        Job job = jobOf("a", 2, 300, 8);
        job.steps[0].dataRack = std::string("r0");
        site.submit(job);
        CPPUNIT_ASSERT(site.runUntilFinished(site.now + 3000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), site.startsInDomain("r0"));
        this->expectClean(site);
    }

    // Guards against a guaranteed job that counts on workers of the evacuated domain: it has to stop
    // other work in the remaining ones at once. 2.7 s is the bound of the guarantee.
    void guaranteeIsReclaimedInTheRemainingDomains()
    {
        VirtualSite site(siteOf(8));
        this->begin(site);
        Job patient = jobOf("patient", 8, 20000, 8);
        patient.terms.priority = 2;
        site.submit(patient);
        site.run(site.now + 500);
        site.evacuate({ "r0" });
        Job urgent = jobOf("urgent", 3, 300, 8);
        urgent.steps[0].gang = true;
        urgent.workspace = std::string("a");
        site.submit(urgent);
        const Millis submittedAt = site.now;
        while (site.runsOf("urgent") < 3 && site.now < submittedAt + 2700)
            site.run(site.now + 5);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), site.runsOf("urgent"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4), site.startsInDomain("r0")); // Only those of before the request.
        this->expectClean(site);
    }

private:
    // Four workers in each rack; each rack is a failure domain.
    static SiteOptions siteOf(int workers)
    {
        SiteOptions options;
        options.workers = workers;
        options.failures = 0;
        return options;
    }

    static Job jobOf(const std::string& id, std::int64_t count, Millis work, std::int64_t accelerators)
    {
        Job job;
        job.id = id;
        job.terms = { .queue = "q", .service = "s", .maxAttempts = 3, .stretch = 3, .latencyTarget = 1000 };
        job.steps.push_back({ .count = count, .perTask = { 1000, 1000, accelerators }, .estimate = work });
        return job;
    }

    void begin(VirtualSite& site)
    {
        site.newPlanner();
        site.run(site.now + 1000);
    }

    void expectClean(const VirtualSite& site)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(site.violations.empty() ? "" : site.violations.front(), std::size_t(0), site.violations.size());
        const std::vector<std::string> violations = site.planner->violations();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? "" : violations.front(), std::size_t(0), violations.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskPlannerEvacuationTest);

} // namespace
