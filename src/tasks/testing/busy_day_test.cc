// The faults of a busy day one after the other, and what is left of them when all is well
// again. RATTAN_DAYS=FIRST-LAST plays other seeds.

#include "tasks/testing/busy_day.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::BusyDay;
using rattan::tasks::testing::VirtualSite;

namespace {

Job job(const std::string& id, std::int64_t steps)
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

bool isLost(const VirtualSite& site) { return !site.broken.empty() && site.broken.front().find("could run and doesn't") != std::string::npos; }

class BusyDayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BusyDayTest);
    CPPUNIT_TEST(noWorkIsLostAtTheEndOfABusyDay);
    CPPUNIT_TEST(theJudgeSeesWorkThatNobodyStarts);
    CPPUNIT_TEST(theJudgeSeesSecondStepsThatNobodyBegins);
    CPPUNIT_TEST(theJudgeSaysNothingNearAFault);
    CPPUNIT_TEST(theJudgeSaysNothingOfWorkThatHasNoTurn);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against work that waits beside idle workers, since nobody asks them or reads their ends.
    void noWorkIsLostAtTheEndOfABusyDay()
    {
        unsigned long long first = 1;
        unsigned long long last = 1;
        if (const char* text = std::getenv("RATTAN_DAYS"))
            std::sscanf(text, "%llu-%llu", &first, &last);
        for (auto seed = first; seed <= last; ++seed) {
            BusyDay day({ .seed = seed });
            day.play();
            CPPUNIT_ASSERT_MESSAGE(day.site.broken.empty() ? "" : fmt::format("seed {}: {}, {} more", seed, day.site.broken.front(), day.site.broken.size() - 1), day.site.broken.empty());
        }
    }

    // Guards against a judge that never speaks.
    void theJudgeSeesWorkThatNobodyStarts()
    {
        VirtualSite site({ .seed = 41, .failures = 0 });
        site.newPlanner();
        site.run(10000);
        site.holdPlanner(20000);
        site.submit(job("j", 1));
        site.run(12900);
        CPPUNIT_ASSERT(site.broken.empty());
        site.run(13200);
        CPPUNIT_ASSERT(isLost(site));
    }

    void theJudgeSeesSecondStepsThatNobodyBegins()
    {
        VirtualSite site({ .seed = 42, .failures = 0 });
        site.newPlanner();
        site.run(10000);
        site.submit(job("j", 2));
        while (site.now < 12000 && site.countEnds(RunEnd::Done) < 2)
            site.run(site.now + 5);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.countEnds(RunEnd::Done));
        const Millis ended = site.now;
        site.holdPlanner(20000); // The polls that wait there tell of both ends.
        site.run(ended + 2900);
        CPPUNIT_ASSERT(site.broken.empty());
        site.run(ended + 3400);
        CPPUNIT_ASSERT(isLost(site));
    }

    // Guards against a judge that takes a fault of the site for one of the planner.
    void theJudgeSaysNothingNearAFault()
    {
        VirtualSite site({ .seed = 43, .failures = 0 });
        site.newPlanner();
        site.run(10000);
        site.cut("w03", true);
        site.run(10100);
        site.cut("w03", false);
        site.holdPlanner(20000);
        site.submit(job("j", 1));
        site.run(19900);
        CPPUNIT_ASSERT(site.broken.empty());
        site.run(23000);
        CPPUNIT_ASSERT(site.broken.empty());
    }

    void theJudgeSaysNothingOfWorkThatHasNoTurn()
    {
        VirtualSite site({ .seed = 44, .failures = 0 });
        site.newPlanner();
        site.run(10000);
        Job wide = job("wide", 1);
        wide.steps[0].count = 1;
        wide.steps[0].perTask.accelerators = 9; // More than any worker has.
        site.submit(wide);
        site.submit(job("given up", 1));
        site.cancel("given up");
        site.run(20000);
        CPPUNIT_ASSERT(site.broken.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BusyDayTest);

} // namespace
