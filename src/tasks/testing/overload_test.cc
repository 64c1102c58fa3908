// More work than room: bursts of urgent, middle and patient jobs at the same time. The bounds are
// the targets of docs/design/hard-load.md, for as many runs as were started here.

#include "tasks/preemption.h"
#include "tasks/testing/overload_replay.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::OverloadFigures;
using rattan::tasks::testing::replayOverload;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr std::int64_t measuredRuns = 10448;
constexpr std::int64_t maxStops = 1000;
constexpr std::int64_t maxLostCoreSeconds = 50000;
constexpr Millis guaranteedStartBound = 2700;
constexpr Millis firstStartBound = 6000; // For 95 of 100 jobs.

class OverloadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OverloadTest);
    CPPUNIT_TEST(burstsStopFewRuns);
    CPPUNIT_TEST(lastingExcessIsRecordedAndEnds);
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
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t { 0 }, figures.loadRecords); // All jobs could be of use.
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

    // Guards against jobs that are accepted although they can't be of any use, against records for
    // queues that can serve, and against more than one record in 2 s for each instance to read.
    void lastingExcessIsRecordedAndEnds()
    {
        VirtualSite site({ .seed = 81, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.run(1500);
        const auto submit = [&](const std::string& id, const std::string& queue, std::int64_t priority) {
            Job job;
            job.id = id;
            job.workspace = "w";
            job.terms = { .queue = queue, .service = "s", .priority = priority, .maxAttempts = 4, .stretch = 1, .latencyTarget = 1000 };
            job.text = "work";
            job.steps.push_back({ .count = 16, .perTask = { 2000, 4000, 1 }, .estimate = 2000 });
            site.submit(job);
        };
        for (int i = 0; i < 12; ++i)
            submit(fmt::format("m{:02}", i), "middle", 1); // 12 s of work for 7 s in which a start is of use.
        submit("u", "urgent", 0);
        site.run(4500);
        CPPUNIT_ASSERT(!site.loadRecords.empty());
        const auto first = site.loadRecords.front().load;
        CPPUNIT_ASSERT(first && first->drain >= 1000 && first->drain <= 12000);
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        site.run(site.now + 3000);
        CPPUNIT_ASSERT(!site.loadRecords.back().load);
        for (std::size_t i = 0; i < site.loadRecords.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("middle"), site.loadRecords[i].queue);
            CPPUNIT_ASSERT_EQUAL(i + 1 < site.loadRecords.size(), site.loadRecords[i].load.has_value());
            CPPUNIT_ASSERT(i == 0 || site.loadRecords[i].at - site.loadRecords[i - 1].at >= 1980); // Records take 5 to 20 ms.
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

} // namespace
