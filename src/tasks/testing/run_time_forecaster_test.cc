// Tests of run-time forecasts against loads that are drawn from a known distribution.

#include "tasks/run_time_forecaster.h"

#include "tasks/estimates_record.h"
#include "tasks/forecast_coverage.h"

#include <array>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>
#include <random>

using namespace rattan;
using namespace rattan::tasks;

namespace {

// A kind of job: each workspace and shape has a usual work, which callers declare with an error.
struct Kind {
    std::string queue;
    double minWork { 0 };
    double maxWork { 0 };
    double deviation { 0 }; // Of the logarithm of the work.
    double declaredError { 0 }; // The declared time is off by up to this share.
};

const std::vector<Kind> kinds { { "urgent", 2100, 2500, 0.05, 0.2 }, { "middle", 5800, 8500, 0.3, 0.9 }, { "patient", 6100, 8100, 0.2, 0.9 } };

struct Load {
    std::mt19937_64 random;

    double between(double low, double high) { return std::uniform_real_distribution(low, high)(this->random); }

    // 3 of 100 runs take 7 times as long.
    double work(double usual, double deviation)
    {
        const double spread = std::lognormal_distribution(0.0, deviation)(this->random);
        return usual * spread * (this->between(0, 1) < 0.03 ? 7 : 1);
    }

    // Forecasts and then learns runs of 10 workspaces with 8 shapes.
    void play(RunTimeForecaster& forecaster, const Kind& kind, int runs, ForecastCoverage* coverage = nullptr)
    {
        for (int i = 0; i < runs; ++i) {
            const int workspace = std::uniform_int_distribution(0, 9)(this->random);
            const int accelerators = std::uniform_int_distribution(1, 8)(this->random);
            const double usual = kind.minWork + (kind.maxWork - kind.minWork) * ((workspace * 7 + accelerators * 3) % 10) / 10;
            const auto declared = static_cast<Millis>(usual * this->between(1 - kind.declaredError, 1 + kind.declaredError));
            const RunGroup group { kind.queue, fmt::format("workspace-{}", workspace), 1, accelerators, declared };
            const double work = this->work(usual, kind.deviation);
            if (coverage)
                coverage->addRun(ForecastCoverage::quantilesOf(forecaster.forecast(group)), work);
            forecaster.addRun(group, work);
        }
    }
};

void assertCalibrated(const ForecastCoverage& coverage, const std::string& what)
{
    constexpr std::array<double, 3> tolerances { 0.05, 0.03, 0.01 };
    for (std::size_t i = 0; i < tolerances.size(); ++i) {
        const double expected = ForecastCoverage::quantiles.at(i);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: {:.4f} within the quantile {}", what, coverage.share(i), expected), std::abs(coverage.share(i) - expected) <= tolerances.at(i));
    }
}

void assertBetween(double low, double high, double value)
{
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} is not between {} and {}", value, low, high), value >= low && value <= high);
}

double quantileOf(const RunTimeForecaster& forecaster, const RunGroup& group, double p) { return static_cast<double>(forecaster.forecast(group).quantile(p)); }

class RunTimeForecasterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunTimeForecasterTest);
    CPPUNIT_TEST(quantilesAreCalibrated);
    CPPUNIT_TEST(longRunsAreExpectedAfterTwiceTheUsualTime);
    CPPUNIT_TEST(unfinishedRunsAreLowerBounds);
    CPPUNIT_TEST(changedWorkIsLearned);
    CPPUNIT_TEST(falseDeclaredTimesOfOneWorkspaceDoNotSpoilAnother);
    CPPUNIT_TEST(accurateDeclaredTimesAreForecast);
    CPPUNIT_TEST(forecastsAreHandedOver);
    CPPUNIT_TEST(damagedFieldChangesNothing);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against forecasts whose stated probabilities are wrong, of each kind of job.
    void quantilesAreCalibrated()
    {
        for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
            Load load { std::mt19937_64(seed) };
            for (const Kind& kind : kinds) {
                RunTimeForecaster forecaster;
                load.play(forecaster, kind, 600);
                ForecastCoverage coverage;
                load.play(forecaster, kind, 4000, &coverage);
                assertCalibrated(coverage, fmt::format("seed {}, {}", seed, kind.queue));
            }
        }
    }

    // Guards against a run that has exceeded the usual time and still counts as about to end.
    void longRunsAreExpectedAfterTwiceTheUsualTime()
    {
        Load load { std::mt19937_64(11) };
        RunTimeForecaster forecaster;
        const RunGroup group { "q", "a", 1, 1, 1000 };
        for (int i = 0; i < 2000; ++i)
            forecaster.addRun(group, load.work(1000, 0.1));
        const RunTimeForecast forecast = forecaster.forecast(group);
        assertBetween(950, 1050, static_cast<double>(forecast.quantile(0.5)));
        assertBetween(5600, 8400, static_cast<double>(forecast.quantile(0.985)));
        assertBetween(300, 600, static_cast<double>(forecast.remaining(0.5, 500)));
        assertBetween(4000, 5600, static_cast<double>(forecast.remaining(0.5, 2000)));
        CPPUNIT_ASSERT(forecast.chanceOfEnd(900, 400) > 0.9);
        CPPUNIT_ASSERT(forecast.chanceOfEnd(2000, 1000) < 0.15);
        assertBetween(100000, 400000, static_cast<double>(forecast.remaining(0.5, 200000))); // Longer than all known runs.
    }

    // Guards against short forecasts because the runs that are stopped are the longer ones.
    void unfinishedRunsAreLowerBounds()
    {
        constexpr double deviation = 0.4;
        for (const std::uint64_t seed : { 21, 22, 23 }) {
            Load load { std::mt19937_64(seed) };
            RunTimeForecaster forecaster;
            const RunGroup group { "q", "a", 1, 1, 5000 };
            std::mt19937_64 random(seed);
            std::lognormal_distribution<double> work(std::log(5000), deviation);
            for (int i = 0; i < 4000; ++i) {
                const double ends = work(random);
                const double stopped = load.between(0, 12000);
                if (ends <= stopped)
                    forecaster.addRun(group, ends);
                else
                    forecaster.addUnfinishedRun(group, stopped);
            }
            assertBetween(0.9 * 5000, 1.1 * 5000, quantileOf(forecaster, group, 0.5));
            const double trueP90 = 5000 * std::exp(deviation * 1.2816);
            assertBetween(0.85 * trueP90, 1.15 * trueP90, quantileOf(forecaster, group, 0.9));
        }
    }

    // Guards against forecasts that follow runs of long ago.
    void changedWorkIsLearned()
    {
        for (const double factor : { 3.0, 0.3 }) {
            Load load { std::mt19937_64(31) };
            RunTimeForecaster forecaster;
            const RunGroup group { "q", "a", 1, 1, 4000 };
            for (int i = 0; i < 1000; ++i)
                forecaster.addRun(group, load.work(4000, 0.1));
            for (int i = 0; i < 20; ++i)
                forecaster.addRun(group, load.work(4000 * factor, 0.1));
            assertBetween(0.85 * 4000 * factor, 1.15 * 4000 * factor, quantileOf(forecaster, group, 0.5));
            for (int i = 0; i < 1500; ++i)
                forecaster.addRun(group, load.work(4000 * factor, 0.1));
            assertBetween(4000 * factor, 1.3 * 4000 * factor, quantileOf(forecaster, group, 0.9));
        }
    }

    // Guards against callers that are planned by the errors of others.
    void falseDeclaredTimesOfOneWorkspaceDoNotSpoilAnother()
    {
        Load load { std::mt19937_64(41) };
        RunTimeForecaster forecaster;
        const auto declaredOf = [&] { return static_cast<Millis>(load.between(1000, 8000)); };
        for (int i = 0; i < 300; ++i) {
            const Millis falselyDeclared = declaredOf();
            forecaster.addRun({ "q", "false", 1, 1, falselyDeclared }, load.work(30000, 0.8));
            forecaster.addRun({ "q", "missing", 1, 1, 0 }, load.work(30000, 0.8));
            if (i % 10 != 0)
                continue;
            const Millis declared = declaredOf();
            forecaster.addRun({ "q", "accurate", 1, 1, declared }, load.work(static_cast<double>(declared), 0.1));
        }
        for (const Millis declared : { 1500, 3000, 6000 }) {
            const auto expected = static_cast<double>(declared);
            assertBetween(0.8 * expected, 1.25 * expected, quantileOf(forecaster, { "q", "accurate", 1, 1, declared }, 0.5));
        }
        assertBetween(20000, 45000, quantileOf(forecaster, { "q", "false", 1, 1, 2000 }, 0.5));
    }

    // Guards against a site whose declared times are accurate and that is planned differently.
    void accurateDeclaredTimesAreForecast()
    {
        Load load { std::mt19937_64(51) };
        RunTimeForecaster forecaster;
        CPPUNIT_ASSERT_EQUAL(Millis { 3000 }, forecaster.forecast({ "q", "a", 1, 1, 3000 }).quantile(0.5));
        CPPUNIT_ASSERT_EQUAL(0.0, forecaster.forecast({ "q", "a", 1, 1, 3000 }).samples());
        for (int i = 0; i < 50; ++i) {
            const double declared = std::round(load.between(500, 20000));
            forecaster.addRun({ "q", "a", 1, 1, static_cast<Millis>(declared) }, declared);
        }
        for (const Millis declared : { 700, 3000, 15000 })
            assertBetween(0.99 * static_cast<double>(declared), 1.01 * static_cast<double>(declared), quantileOf(forecaster, { "q", "b", 1, 1, declared }, 0.5));
    }

    // Guards against a planner that takes over and begins with the declared times again. Planners
    // of which each sees few runs must be as well calibrated as one that stays.
    void forecastsAreHandedOver()
    {
        Load load { std::mt19937_64(61) };
        RunTimes times;
        WorkerSpeeds speeds;
        std::string record = "{}";
        std::map<std::string, ForecastCoverage> coverages;
        for (int term = 0; term < 80; ++term) {
            RunTimeForecaster forecaster;
            restoreEstimates(record, times, speeds, forecaster);
            for (const Kind& kind : kinds)
                load.play(forecaster, kind, 60, term < 10 ? nullptr : &coverages[kind.queue]);
            record = encodeEstimates(times, speeds, forecaster);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} bytes", record.size()), record.size() < maxForecastsSize + 100);
        }
        for (const auto& [queue, coverage] : coverages)
            assertCalibrated(coverage, queue);
    }

    // Guards against a record of an older or a faulty build that makes a planner forecast nonsense.
    void damagedFieldChangesNothing()
    {
        RunTimeForecaster forecaster;
        for (int i = 0; i < 20; ++i)
            forecaster.addRun({ "q", "a", 1, 1, 1000 }, 2000);
        RunTimes times;
        WorkerSpeeds speeds;
        const std::string record = encodeEstimates(times, speeds, forecaster);
        const auto assertIgnored = [&](const std::string& text) {
            RunTimeForecaster restored;
            restoreEstimates(text, times, speeds, restored);
            CPPUNIT_ASSERT_MESSAGE(text, restored.all().empty());
        };
        for (const auto& [part, replacement] : { std::pair(R"("q")", "5"), std::pair("[[", "[[-1,"), std::pair("[[", "[[9,"), std::pair(R"("forecasts":)", R"("forecasts":[[0,"q"]],"x":)"), std::pair("0.693", "1e300"), std::pair("0.693", "null") }) {
            std::string damaged = record;
            CPPUNIT_ASSERT_MESSAGE(record, damaged.find(part) != std::string::npos);
            assertIgnored(damaged.replace(damaged.find(part), std::string(part).size(), replacement));
        }
        assertIgnored(R"({"queues":{"old":[[1,1,5],[1,1,5]]},"speeds":{}})");
        CPPUNIT_ASSERT(times.all().contains("old"));
    }

    // Guards against growth with the number of workspaces, shapes or declared times.
    void memoryIsBounded()
    {
        RunTimeForecaster forecaster;
        const RunGroup regular { "regular", "a", 1, 1, 1000 };
        for (int i = 0; i < 5000; ++i) {
            forecaster.addRun({ fmt::format("q{}", i % 700), fmt::format("w{}", i), i, i % 9, i }, 1000);
            forecaster.addRun(regular, 3000);
            CPPUNIT_ASSERT(forecaster.all().size() <= RunTimeForecaster::maxNodes);
        }
        assertBetween(2900, 3100, quantileOf(forecaster, regular, 0.5));
        RunTimes times;
        WorkerSpeeds speeds;
        CPPUNIT_ASSERT(encodeEstimates(times, speeds, forecaster).size() < maxForecastsSize + 200);
        CPPUNIT_ASSERT(sizeof(RunTimeForecaster::Node) + sizeof(RunTimeForecaster::NodeKey) < 900);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunTimeForecasterTest);

} // namespace
