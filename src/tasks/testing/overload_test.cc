// More work than room: bursts of all three kinds of jobs at once, replayed in virtual time on a
// tenth of the measured site, and the decisions that answer them. The bounds are the targets of
// docs/design/hard-load.md, for as many runs as were started here.

#include "tasks/load_table.h"
#include "tasks/overload_order.h"
#include "tasks/preemption.h"
#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

struct Kind {
    QueueTerms terms;
    std::int64_t tasks { 0 };
    std::int64_t maxAcceleratorsLog { 0 };
    Millis minWork { 0 };
    Millis maxWork { 0 };
    double perSecond { 0 };
};

const std::vector<Kind> kinds {
    { { .queue = "urgent", .service = "s", .priority = 0, .maxAttempts = 4, .stretch = 1.5, .latencyTarget = 275 }, 5, 3, 2100, 2500, 0.8 },
    { { .queue = "middle", .service = "s", .priority = 1, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 }, 13, 3, 5800, 8500, 0.21 },
    { { .queue = "patient", .service = "s", .priority = 2, .maxAttempts = 4, .stretch = 3, .latencyTarget = 3000 }, 39, 0, 6100, 8100, 0.2 },
};

Job createJob(const std::string& id, const std::string& workspace, const QueueTerms& terms, std::int64_t tasks, std::int64_t accelerators, Millis work)
{
    Job job { .id = id, .workspace = workspace, .terms = terms, .text = "work" };
    job.steps.push_back({ .count = tasks, .perTask = { 2000 * accelerators, 4000 * accelerators, accelerators }, .estimate = work, .gang = terms.priority == 0 });
    return job;
}

struct Submitted {
    Job job;
    bool guaranteed { false };
    Millis at { 0 };
    Millis firstStart { -1 };
    Millis fullStart { -1 };
};

// 60 s of load, with three times as much in the first 6 of each 20 s.
struct Replay {
    explicit Replay(std::uint64_t seed)
        : site({ .seed = seed, .workers = 32, .failures = 0 })
        , random(seed)
    {
        this->site.newPlanner();
        this->site.run(2000);
        for (Millis nextGuaranteed = 0; this->site.now < 120000 && (this->site.now < 60000 || !this->site.allFinished());) {
            for (const Kind& kind : kinds) {
                const double chance = this->site.now < 60000 ? kind.perSecond * (this->site.now % 20000 < 6000 ? 3 : 1) / 20 : 0;
                if (std::uniform_real_distribution<double>(0, 1)(this->random) >= chance)
                    continue;
                // The urgent jobs of workspace a don't overlap, and are within its guarantee.
                const bool guaranteed = kind.terms.priority == 0 && this->site.now >= nextGuaranteed;
                nextGuaranteed = guaranteed ? this->site.now + 6000 : nextGuaranteed;
                const std::size_t number = this->jobs.size();
                const Millis work = this->between(kind.minWork, kind.maxWork);
                const std::int64_t accelerators = std::int64_t { 1 } << this->between(0, kind.maxAcceleratorsLog);
                this->jobs.push_back({ createJob(fmt::format("{}{:03}", kind.terms.queue, number), guaranteed ? "a" : fmt::format("w{}", number % 7), kind.terms, kind.tasks, guaranteed ? 4 : accelerators, work), guaranteed, this->site.now });
                this->site.submit(this->jobs.back().job);
            }
            this->site.run(this->site.now + 50);
            for (Submitted& submitted : this->jobs) {
                const std::int64_t started = submitted.fullStart < 0 ? this->site.runsOf(submitted.job.id) : 0;
                submitted.firstStart = submitted.firstStart < 0 && started > 0 ? this->site.now : submitted.firstStart;
                submitted.fullStart = started >= submitted.job.steps[0].count ? this->site.now : submitted.fullStart;
            }
        }
    }

    std::int64_t between(std::int64_t low, std::int64_t high) { return std::uniform_int_distribution<std::int64_t>(low, high)(this->random); }

    VirtualSite site;
    std::mt19937_64 random;
    std::vector<Submitted> jobs;
};

class OverloadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OverloadTest);
    CPPUNIT_TEST(burstsStopFewRuns);
    CPPUNIT_TEST(lastingExcessIsRecordedAndEnds);
    CPPUNIT_TEST(smallWorkspaceIsNotBehindALargeOne);
    CPPUNIT_TEST(unitsWaitOnlyAsLongAsTheyStayInTime);
    CPPUNIT_TEST(orderChangesOnlyInAnExcess);
    CPPUNIT_TEST(nothingIsRefusedWhileThereIsRoom);
    CPPUNIT_TEST(oldLoadRecordsDoNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a burst in which urgent units stop runs again and again although enough runs
    // end by themselves in time, and against units that starve or miss the guarantee for that.
    void burstsStopFewRuns()
    {
        std::int64_t runs = 0;
        std::int64_t stops = 0;
        double lost = 0;
        for (const std::uint64_t seed : { 1, 3 }) {
            Replay replay(seed);
            CPPUNIT_ASSERT_MESSAGE(replay.site.violations.empty() ? "" : replay.site.violations.front(), replay.site.violations.empty());
            CPPUNIT_ASSERT(replay.site.allFinished());
            CPPUNIT_ASSERT(replay.site.loadRecords.empty()); // All jobs could be of use.
            std::vector<Millis> firstStarts;
            for (const Submitted& submitted : replay.jobs) {
                runs += replay.site.runsOf(submitted.job.id);
                firstStarts.push_back(submitted.firstStart - submitted.at);
                CPPUNIT_ASSERT(!submitted.guaranteed || submitted.fullStart - submitted.at <= 2700);
            }
            std::sort(firstStarts.begin(), firstStarts.end());
            CPPUNIT_ASSERT(firstStarts[firstStarts.size() * 95 / 100] <= 6000);
            std::map<std::string, std::int64_t> stopsByUnit;
            for (const PlanEvent& event : replay.site.planEvents) {
                double eventLost = 0;
                if (event.kind != PlanEventKind::UnitEvicted)
                    continue;
                CPPUNIT_ASSERT_EQUAL(1, std::sscanf(event.detail.substr(event.detail.find(',')).c_str(), ", %lf", &eventLost));
                lost += eventLost;
                ++stops;
                CPPUNIT_ASSERT(++stopsByUnit[event.job + "/" + event.unit] <= maxStopsPerUnit);
            }
        }
        const std::string text = fmt::format("{} runs, {} stops, {:.0f} core-seconds lost", runs, stops, lost);
        CPPUNIT_ASSERT_MESSAGE(text, stops * 10448 < 1000 * runs);
        CPPUNIT_ASSERT_MESSAGE(text, lost * 10448 < 50000.0 * static_cast<double>(runs));
    }

    // Guards against jobs that are accepted although they can't be of any use, against records for
    // queues that can serve, and against more than one record in 2 s for each instance to read.
    void lastingExcessIsRecordedAndEnds()
    {
        VirtualSite site({ .seed = 81, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.run(1500);
        QueueTerms terms { .queue = "middle", .service = "s", .priority = 1, .maxAttempts = 4, .stretch = 1, .latencyTarget = 1000 };
        for (int i = 0; i < 12; ++i) // 12 s of work for 7 s in which a start is of use.
            site.submit(createJob(fmt::format("m{:02}", i), "w", terms, 16, 1, 2000));
        terms.queue = "urgent";
        terms.priority = 0;
        site.submit(createJob("u", "w", terms, 4, 1, 2000));
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        site.run(site.now + 3000);
        CPPUNIT_ASSERT(site.loadRecords.size() > 1 && site.loadRecords[0].at < 4500);
        CPPUNIT_ASSERT(site.loadRecords[0].load->drain >= 1000 && site.loadRecords[0].load->drain <= 12000);
        for (std::size_t i = 0; i < site.loadRecords.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("middle"), site.loadRecords[i].queue);
            CPPUNIT_ASSERT_EQUAL(i + 1 < site.loadRecords.size(), site.loadRecords[i].load.has_value());
            CPPUNIT_ASSERT(i == 0 || site.loadRecords[i].at - site.loadRecords[i - 1].at >= 1980); // Records take 5 to 20 ms.
        }
    }

    // Guards against a job of a small workspace that waits until all earlier equal jobs of a large
    // one are done.
    void smallWorkspaceIsNotBehindALargeOne()
    {
        VirtualSite site({ .seed = 80, .workers = 4, .failures = 0 });
        site.newPlanner();
        site.run(1500);
        for (int i = 0; i < 12; ++i)
            site.submit(createJob(fmt::format("large{:02}", i), "large", kinds[1].terms, 16, 1, 4000));
        site.run(2500);
        site.submit(createJob("small", "small", kinds[1].terms, 16, 1, 4000));
        site.run(10000); // Two rounds of tasks have ended; the large workspace has work for four more.
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 16 }, site.runsOf("small"));
    }

    // Guards against stops for a unit that is in time without them or gains nothing by them, and
    // against waits that make it late or miss the guarantee's bound.
    void unitsWaitOnlyAsLongAsTheyStayInTime()
    {
        const Deadlines starts { 3000, 9000 };
        const auto stopsNow = [&](bool guaranteed, Millis freeAt, Millis now) { return choosePreemption({ guaranteed, guaranteed, 1000, starts, 0, freeAt, now }).stopNow; };
        CPPUNIT_ASSERT(!stopsNow(false, 2500, 1000) && stopsNow(false, 3100, 1000));
        CPPUNIT_ASSERT(stopsNow(false, 2500, 3000 - stopLeadTime)); // The runs haven't ended as expected.
        CPPUNIT_ASSERT(!stopsNow(false, 8000, 4000) && stopsNow(false, 9500, 4000) && stopsNow(true, 8000, 4000)); // Late.
        CPPUNIT_ASSERT(!stopsNow(true, 2400, 1000) && stopsNow(true, 2600, 1000) && stopsNow(true, 2400, 1000 + maxGuaranteedWait));
        CPPUNIT_ASSERT(stopWeight(1, lateValue) > stopWeight(1, 1) && stopWeight(1, 1) > stopWeight(lateValue, lateValue) && stopWeight(0, 0) > 0);
    }

    // Guards against another order than by latest start while all units can be in time, against
    // half-done jobs that are all late together, and against units that are passed for ever.
    void orderChangesOnlyInAnExcess()
    {
        CPPUNIT_ASSERT(!Excess::detect({ { "s", 1, 5000, 900 }, { "s", 1, 5000, 900 } }, 3000).isLate("s", 1));
        CPPUNIT_ASSERT(!Excess::detect({ { "s", 1, 2000, 10 } }, 3000).isBacklogged("s", 1));
        const Excess excess = Excess::detect({ { "s", 1, 5000, 3000 }, { "s", 1, 5000, 900 }, { "t", 1, 5000, 3000 } }, 3000);
        CPPUNIT_ASSERT(excess.isLate("s", 1) && excess.isBacklogged("t", 1) && !excess.isLate("t", 1));
        const Deadlines starts { 10000, 30000 };
        const std::int64_t usual = valueOrderOf({ starts, 0, 300, 0, 5000 });
        CPPUNIT_ASSERT(valueOrderOf({ starts, 0, 20, 0, 5000 }) < usual && valueOrderOf({ starts, 0, 300, 1, 5000 }) < usual);
        CPPUNIT_ASSERT(valueOrderOf({ starts, 0, 300, 0, 9000 }) < usual && valueOrderOf({ starts, 0, 300, 0, 10001 }) > usual);
        CPPUNIT_ASSERT(isFirstStartDue(1000, 6000, 5000) && !isFirstStartDue(1000, 6000, 4900) && !isFirstStartDue(0, 3600000, 800000));
        // Guards against large jobs that wait for ever behind small ones.
        const double meanWork = 300;
        const auto beginOrderOf = [&](double work) { return valueOrderOf({ starts, 0, work, 0, 5000, jobValueOf(work, meanWork) }); };
        CPPUNIT_ASSERT_EQUAL(valueClassOf(beginOrderOf(meanWork)), valueClassOf(beginOrderOf(1.3 * meanWork)));
        CPPUNIT_ASSERT(-beginOrderOf(3 * meanWork) * 2 > -beginOrderOf(meanWork));
    }

    // Guards against refusals beside free resources or of useful jobs, and retries all at once.
    void nothingIsRefusedWhileThereIsRoom()
    {
        CPPUNIT_ASSERT(!forecastDrain({ 20000, 10000, 0.8 }, false) && !forecastDrain({ 10000, 10000, 1 }, false));
        CPPUNIT_ASSERT_EQUAL(Millis { 11000 }, *forecastDrain({ 20000, 10000, 1 }, false));
        CPPUNIT_ASSERT(forecastDrain({ 9500, 10000, 1 }, true) && !forecastDrain({ 9000, 10000, 1 }, true)); // Doesn't end at once.
        std::set<Millis> delays;
        for (int i = 0; i < 200; ++i)
            delays.insert(retryDelayOf({ 8000, 0 }, "job" + std::to_string(i)));
        CPPUNIT_ASSERT(*delays.begin() >= 8000 && *delays.rbegin() <= 16000 && *delays.rbegin() - *delays.begin() > 6000);
    }

    // Guards against refusals on the word of a planner that is gone, also by an instance that has
    // just read all records, and against an older record that is read again.
    void oldLoadRecordsDoNotCount()
    {
        LoadTable table;
        const QueueTerms q { .queue = "q" };
        CPPUNIT_ASSERT(!table.apply("job/1", "{}", 1, 1000) && table.apply("load/q", encodeLoad({ 3000, 500000 }), 5, 1000));
        CPPUNIT_ASSERT(table.find(q, 6000, 505000) && !table.find(q, 6001, 505000) && !table.find(q, 1001, 505001));
        table.apply("load/q", "", 7, 1000);
        table.apply("load/q", encodeLoad({ 3000, 500000 }), 6, 1000);
        CPPUNIT_ASSERT(!table.find(q, 1000, 500000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

} // namespace
