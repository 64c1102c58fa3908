#include "tasks/fair_shares.h"
#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

class FairSharesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FairSharesTest);
    CPPUNIT_TEST(sharesAreEqual);
    CPPUNIT_TEST(smallWorkspaceIsNotBehindALargeOne);
    CPPUNIT_TEST_SUITE_END();

public:
    void sharesAreEqual()
    {
        FairShares shares;
        shares.addUse("large", 30);
        shares.addUse("small", 6);
        CPPUNIT_ASSERT(shares.exceedsShare("large"));
        CPPUNIT_ASSERT(!shares.exceedsShare("small"));
        CPPUNIT_ASSERT(!shares.exceedsShare("unknown"));
        FairShares alone;
        alone.addUse("only", 30);
        CPPUNIT_ASSERT(!alone.exceedsShare("only"));
        alone.addWaiting("other");
        CPPUNIT_ASSERT(alone.exceedsShare("only"));
    }

    // Guards against a job of a small workspace that waits until all earlier equal jobs of a large
    // one are done.
    void smallWorkspaceIsNotBehindALargeOne()
    {
        VirtualSite site({ .seed = 80, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.run(1500);
        const auto submit = [&](const std::string& id, const std::string& workspace) {
            Job job;
            job.id = id;
            job.workspace = workspace;
            job.terms = { .queue = "q", .service = "s", .priority = 1, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
            job.text = "work";
            job.steps.push_back({ .count = 16, .perTask = { 2000, 4000, 1 }, .estimate = 4000 });
            site.submit(job);
        };
        for (int i = 0; i < 12; ++i)
            submit(fmt::format("large{:02}", i), "large");
        site.run(2500);
        submit("small", "small");
        site.run(10000); // Two rounds of tasks have ended; the large workspace has work for four more.
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 16 }, site.runsOf("small"));
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        CPPUNIT_ASSERT_MESSAGE(site.violations.empty() ? "" : site.violations.front(), site.violations.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairSharesTest);

} // namespace
