// More work than room: bursts of urgent, middle and patient jobs at the same time. The bounds are
// the targets of docs/design/hard-load.md, for as many runs as were started here.

#include "tasks/preemption.h"
#include "tasks/testing/overload_replay.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::OverloadFigures;
using rattan::tasks::testing::replayOverload;

namespace {

constexpr std::int64_t measuredRuns = 10448;
constexpr std::int64_t maxStops = 1000;
constexpr std::int64_t maxLostCoreSeconds = 50000;
constexpr Millis guaranteedStartBound = 2700;
constexpr Millis firstStartBound = 6000; // For 95 of 100 jobs.

class OverloadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OverloadTest);
    CPPUNIT_TEST(burstsStopFewRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a burst in which urgent units stop runs again and again although enough runs
    // end by themselves in time, and against units that starve or miss the guarantee for that.
    void burstsStopFewRuns()
    {
        std::int64_t runs = 0;
        std::int64_t stops = 0;
        std::int64_t lost = 0;
        std::string text;
        for (const std::uint64_t seed : { 1, 3 }) {
            const OverloadFigures figures = replayOverload(seed);
            text += fmt::format("seed {}: {}\n", seed, figures.text);
            CPPUNIT_ASSERT_MESSAGE(figures.violations.empty() ? "" : figures.violations.front(), figures.violations.empty());
            CPPUNIT_ASSERT_MESSAGE(text, figures.slowestGuaranteedStart <= guaranteedStartBound);
            CPPUNIT_ASSERT_MESSAGE(text, figures.start95 <= firstStartBound);
            CPPUNIT_ASSERT_MESSAGE(text, figures.unfinished == 0);
            CPPUNIT_ASSERT_MESSAGE(text, figures.mostStopsOfAUnit <= maxStopsPerUnit);
            runs += figures.runs;
            stops += figures.stops;
            lost += figures.lostCoreSeconds;
        }
        CPPUNIT_ASSERT_MESSAGE(text, stops * measuredRuns < maxStops * runs);
        CPPUNIT_ASSERT_MESSAGE(text, lost * measuredRuns < maxLostCoreSeconds * runs);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

} // namespace
