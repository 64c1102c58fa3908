// Workers whose speeds differ by a factor of two and more: estimates from drawn loads with known
// speeds, the choice of workers, and a quiet day in virtual time.

#include "tasks/estimates_record.h"
#include "tasks/testing/virtual_site.h"

#include <array>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <numeric>
#include <random>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

const std::vector<double> mixedSpeeds { 0.6, 1.0, 1.6 };
const std::vector<double> similarSpeeds { 0.8, 1.0, 1.2 };
constexpr std::size_t workerCount = 30;

std::string workerId(std::size_t number) { return fmt::format("w{:02}", number); }

// Steps of six tasks on drawn workers: siblings differ by 15 to 30%, and 3 of 100 take 7 times as
// long. As for tasks with progress reports, siblings are compared without a forecast.
class DrawnLoad {
public:
    DrawnLoad(std::uint64_t seed, const std::vector<double>& speeds)
        : random(seed)
    {
        for (std::size_t i = 0; i < workerCount; ++i)
            this->speeds.push_back(speeds[i % speeds.size()]);
    }

    // Adds steps in which each worker has this many runs.
    void addRuns(int perWorker)
    {
        constexpr std::size_t siblings = 6;
        std::vector<std::size_t> order(workerCount);
        std::iota(order.begin(), order.end(), 0);
        for (int pass = 0; pass < perWorker; ++pass) {
            std::shuffle(order.begin(), order.end(), this->random);
            for (std::size_t first = 0; first < workerCount; first += siblings) {
                const double work = std::uniform_real_distribution<double>(2000, 8000)(this->random);
                std::lognormal_distribution<double> spread(0, std::uniform_real_distribution<double>(0.15, 0.3)(this->random));
                std::vector<SpeedEstimator::Sample> samples;
                for (std::size_t i = first; i < first + siblings; ++i) {
                    const int factor = this->random() % 100 < 3 ? 7 : 1;
                    samples.push_back({ workerId(order[i]), work * factor * spread(this->random) / this->speeds[order[i]] });
                }
                this->estimator.addSiblings(samples);
            }
        }
    }

    // Only ratios of speeds can be estimated, so the actual ones are relative to their mean.
    double errorOf(std::size_t worker) const
    {
        double mean = 0;
        for (const double speed : this->speeds)
            mean += std::log(speed) / static_cast<double>(workerCount);
        return std::abs(this->estimator.of(workerId(worker)).median / (this->speeds[worker] / std::exp(mean)) - 1);
    }

    SpeedEstimator estimator;
    std::vector<double> speeds;

private:
    std::mt19937_64 random;
};

Job createJob(const std::string& id, std::int64_t priority, const Step& step, double stretch, Millis latencyTarget)
{
    Job job;
    job.id = id;
    job.workspace = "a";
    job.terms = { .queue = "q" + std::to_string(priority), .service = "s", .priority = priority, .maxAttempts = 4, .stretch = stretch, .latencyTarget = latencyTarget };
    job.text = "work";
    job.steps.push_back(step);
    return job;
}

// A quiet day on 36 workers: urgent gangs of 5 tasks beside middle and patient work, with arrivals
// that don't depend on the planner.
class QuietDay {
public:
    static constexpr Millis estimate = 2100;
    static constexpr Millis objective = estimate * 3 / 2 + 250;

    explicit QuietDay(std::uint64_t seed)
        : site({ .seed = seed, .workers = 36, .failures = 0, .speeds = mixedSpeeds, .workSpread = 0.2, .longTasks = 0.03 })
        , arrivals(seed)
    {
        this->site.newPlanner();
    }

    void run(Millis until)
    {
        std::array<Millis, 3> next { 1000, 1500, 1000 };
        for (int number = 0; this->site.now < until; this->site.run(this->site.now + 50)) {
            const std::array<Millis, 3> intervals { 500 + static_cast<Millis>(this->arrivals() % 460), 5000, 4000 };
            const std::array<Step, 3> steps { Step { .count = 5, .perTask = { 1000, 1000, 1 + number % 2 }, .estimate = estimate, .gang = true },
                Step { .count = 13, .perTask = { 1000, 1000, 2 }, .estimate = 7000 }, Step { .count = 39, .perTask = { 1000, 1000, 1 }, .estimate = 7000 } };
            for (std::size_t priority = 0; priority < next.size(); ++priority) {
                if (this->site.now < next.at(priority))
                    continue;
                next.at(priority) += intervals.at(priority);
                const std::string id = fmt::format("p{}-{}", priority, number++);
                if (priority == 0)
                    this->urgent[id] = this->site.now;
                this->site.submit(createJob(id, static_cast<std::int64_t>(priority), steps.at(priority), priority == 0 ? 1.5 : 3, priority == 0 ? 250 : static_cast<Millis>(priority * 2000 - 1000)));
            }
        }
    }

    // Urgent jobs from this time on that were late although the fastest workers could end them in
    // time, with an allowance for the record, the start and the report of the end.
    std::string lateJobs(Millis from) const
    {
        constexpr Millis overhead = 60;
        std::string late;
        for (const auto& [id, submittedAt] : this->urgent) {
            double work = 0;
            for (std::int64_t i = 0; i < 5; ++i)
                work = std::max(work, this->site.workOf({ id, 0, 0, i }));
            const bool isPossible = work / mixedSpeeds.back() + overhead <= objective;
            const Millis took = this->site.finishedAt(id) - submittedAt;
            if (submittedAt >= from && isPossible && took > objective)
                late += fmt::format(" {} of {} ms, submitted at {}, took {} ms;", id, static_cast<Millis>(work), submittedAt, took);
        }
        return late;
    }

    VirtualSite site;

private:
    std::mt19937_64 arrivals;
    std::map<std::string, Millis> urgent;
};

class HeterogeneousWorkersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HeterogeneousWorkersTest);
    CPPUNIT_TEST(speedsAreEstimatedInSpiteOfLongRuns);
    CPPUNIT_TEST(sitesOfSimilarSpeedsAreServedAsBefore);
    CPPUNIT_TEST(estimatesAreHandedOverBesideTheOldFields);
    CPPUNIT_TEST(speedPreferencesLeaveNoRoomUnused);
    CPPUNIT_TEST(urgentGangsOfAQuietDayEndInTime);
    CPPUNIT_TEST(lateUrgentGangMovesOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against usual workers that are taken for slow ones because of single long runs, and
    // against a worker that remains slow in the estimates after it has recovered.
    void speedsAreEstimatedInSpiteOfLongRuns()
    {
        std::size_t accurate = 0;
        std::size_t accurateAfterRecovery = 0;
        constexpr std::uint64_t seeds = 40;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            DrawnLoad load(seed, mixedSpeeds);
            load.addRuns(12);
            CPPUNIT_ASSERT(load.estimator.isHeterogeneous());
            for (std::size_t i = 0; i < workerCount; ++i)
                accurate += load.errorOf(i) <= 0.15 ? 1 : 0;
            load.addRuns(18);
            load.speeds[0] = 1.0;
            load.addRuns(12);
            accurateAfterRecovery += load.errorOf(0) <= 0.15 ? 1 : 0;
        }
        CPPUNIT_ASSERT(accurate * 10 >= seeds * workerCount * 9);
        CPPUNIT_ASSERT(accurateAfterRecovery * 10 >= seeds * 9);
    }

    // Guards against changes for sites whose speeds are within 20%, in spite of long runs there.
    void sitesOfSimilarSpeedsAreServedAsBefore()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            DrawnLoad load(seed, similarSpeeds);
            for (int i = 0; i < 30; ++i) {
                load.addRuns(2);
                CPPUNIT_ASSERT(!load.estimator.isHeterogeneous());
            }
        }
        WorkerSpeeds speeds;
        WorkerSpeeds speedsWithoutReports;
        for (int i = 0; i < 20; ++i) {
            speeds.addSiblingRuns({ { "a", 5000 }, { "b", 6000 }, { "c", 4200 } });
            speedsWithoutReports.addSiblingRuns({ { "a", 5000 }, { "b", 6000 }, { "c", 4200 } });
            SpeedEstimator::StepWork work;
            speeds.addProgress({ { "a", 9000 }, { "b", 2000 }, { "c", 4200 } }, work);
        }
        CPPUNIT_ASSERT(!speeds.areHeterogeneous()); // Three workers are too few.
        CPPUNIT_ASSERT_EQUAL(speedsWithoutReports.of("a"), speeds.of("a"));
        CPPUNIT_ASSERT_EQUAL(0.0, speeds.estimateOf("a").deviation);
    }

    void estimatesAreHandedOverBesideTheOldFields()
    {
        DrawnLoad load(3, mixedSpeeds);
        WorkerSpeeds speeds;
        speeds.addGangRun({ workerId(1) }, { 4000, 0.05 }, 5000);
        const std::string before = encodeEstimates({}, speeds, RunTimeForecaster());
        CPPUNIT_ASSERT(before.find("heterogeneous") == std::string::npos);
        load.addRuns(12);
        speeds.heterogeneous() = load.estimator;
        const std::string record = encodeEstimates({}, speeds, RunTimeForecaster());
        const auto fieldOf = [](const std::string& text, const char* name) { return nlohmann::json::parse(text).at(name); };
        for (const char* name : { "queues", "speeds", "forecasts" })
            CPPUNIT_ASSERT(fieldOf(record, name) == fieldOf(before, name));
        RunTimes runTimes;
        WorkerSpeeds restored;
        RunTimeForecaster forecaster;
        restoreEstimates(record, runTimes, restored, forecaster);
        CPPUNIT_ASSERT(restored.areHeterogeneous());
        for (std::size_t i = 0; i < workerCount; ++i)
            CPPUNIT_ASSERT(std::abs(restored.of(workerId(i)) - speeds.of(workerId(i))) < 0.01);
    }

    // Guards against work that waits beside free workers of a speed that it does not prefer, and
    // against gangs that mix speeds without need.
    void speedPreferencesLeaveNoRoomUnused()
    {
        std::mt19937_64 random(9);
        for (int round = 0; round < 2000; ++round) {
            Snapshot snapshot { .heterogeneous = true };
            for (std::size_t i = 0; i < 9; ++i) {
                SnapshotWorker worker { .id = workerId(i), .rack = "r", .speed = mixedSpeeds[i % 3], .speedDeviation = i < 6 ? 0.1 : 0.4, .capacity = { 128000, 512000, 8 } };
                worker.free = { 128000, 512000, static_cast<std::int64_t>(random() % 9) };
                worker.freeAfterStops = worker.free;
                snapshot.workers.push_back(worker);
            }
            PlacementRequest request;
            request.members = 1 + static_cast<std::int64_t>(random() % 6);
            request.perMember = { 1000, 1000, 1 + static_cast<std::int64_t>(random() % 8) };
            request.urgent = random() % 2 == 0;
            const bool fits = snapshot.findFree(request).has_value();
            request.speedPreference = request.urgent ? SpeedPreference::BestChance : random() % 2 == 0 ? SpeedPreference::SpareFast
                                                                                                       : SpeedPreference::Explore;
            const auto placement = snapshot.findFreeBySpeed(request);
            CPPUNIT_ASSERT_EQUAL(fits, placement.has_value());
            std::int64_t fastRoom = 0;
            for (const std::size_t fast : { 2, 5 })
                fastRoom += snapshot.workers[fast].free.accelerators / request.perMember.accelerators;
            for (const std::size_t place : placement.value_or(Placement {}))
                CPPUNIT_ASSERT(!request.urgent || fastRoom < request.members || place == 2 || place == 5);
        }
    }

    // Guards against urgent gangs that are late because one of their members has a slow worker.
    void urgentGangsOfAQuietDayEndInTime()
    {
        for (std::uint64_t seed = 81; seed <= 88; ++seed) {
            constexpr Millis knownFrom = 15000;
            QuietDay day(seed);
            day.run(45000);
            day.site.run(60000);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}", seed), std::string(), day.lateJobs(knownFrom));
            CPPUNIT_ASSERT_MESSAGE(day.site.violations.empty() ? "" : day.site.violations.front(), day.site.violations.empty());
        }
    }

    // Guards against a gang that stays on slow workers, and is late, beside fast ones that have
    // become free.
    void lateUrgentGangMovesOnce()
    {
        VirtualSite site({ .seed = 90, .workers = 9, .failures = 0, .speeds = mixedSpeeds });
        site.newPlanner();
        for (int i = 0; i < 8; ++i)
            site.submit(createJob(fmt::format("patient{}", i), 2, { .count = 18, .perTask = { 1000, 1000, 4 }, .estimate = 2000 }, 20, 3000));
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        site.run(site.now + 5000);
        site.submit(createJob("first", 0, { .count = 6, .perTask = { 1000, 1000, 8 }, .estimate = 1600 }, 3, 250));
        site.run(site.now + 100);
        const Millis submittedAt = site.now;
        site.submit(createJob("gang", 0, { .count = 2, .perTask = { 1000, 1000, 4 }, .estimate = 2100, .gang = true }, 1.3, 250));
        CPPUNIT_ASSERT(site.runUntilFinished(site.now + 10000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("gang"));
        CPPUNIT_ASSERT(site.finishedAt("gang") - submittedAt <= 2980);
        CPPUNIT_ASSERT_MESSAGE(site.violations.empty() ? "" : site.violations.front(), site.violations.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeterogeneousWorkersTest);

} // namespace
