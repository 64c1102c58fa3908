// Calm stretches on a busy site of a deployment's size and load: gangs, urgent gangs and tasks of
// three priorities, bursts, and short series of faults. From 4 s after the last fault, no job may
// have nothing running for 3 s while a task of it could run and there is capacity for it twice over.
//
// RATTAN_SEEDS=FIRST-LAST with seeds from firstFullSeed on plays a site of 350 workers.
// RATTAN_TRACED_JOB=ID prints the orders, runs and events of a job.

#include "tasks/testing/virtual_site.h"

#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <cstdlib>
#include <fmt/ranges.h>
#include <functional>
#include <map>
#include <random>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr int workersPerRack = 20;
constexpr int fullSize = 350;
constexpr int reducedSize = 100;
constexpr std::uint64_t firstFullSeed = 3'000'000;

enum class Fault {
    Restarts, // Workers restart while they are cut off.
    FailingWorkers,
    LostCalls,
    LateCalls,
    DomainCut,
    Departures, // Workers leave at short notice.
    Crashes, // Workers are replaced.
    Takeover,
    KilledPlanner,
    FrozenPlanner,
};

constexpr std::int64_t faultCount = 10;

class BusySite {
public:
    struct Options {
        std::uint64_t seed { 1 };
        int workers { reducedSize };
        bool hasFaults { true };
        double load { 1 }; // Relative to an arrival rate at which all resources are in use.
    };

    explicit BusySite(const Options& options)
        : site({ .seed = options.seed, .workers = options.workers, .workerCapacity = { 64000, 262144, 8 }, .lease = 10000, .failures = 0, .racks = (options.workers + workersPerRack - 1) / workersPerRack, .checkLostWorkStrictly = true })
        , options(options)
        , random(options.seed * 7919)
    {
    }

    void play()
    {
        constexpr Millis plannerInterval = 50;
        this->site.newPlanner();
        this->site.setPlannerInterval(plannerInterval);
        this->site.pollBetweenTurns();
        this->scheduleArrivals();
        if (this->options.hasFaults) {
            for (const Millis seriesAt : { 8000, 26000, 44000 })
                this->scheduleFaults(seriesAt);
        }
        for (auto next = this->events.begin(); next != this->events.end() && next->first < end; next = this->events.erase(next)) {
            this->site.run(next->first);
            const std::function<void()> event = next->second;
            event();
        }
        this->site.run(end);
    }

    VirtualSite site;

private:
    static constexpr Millis trafficEnd = 58000;
    static constexpr Millis end = 64000;

    void at(Millis when, std::function<void()> event) { this->events.emplace(when, std::move(event)); }
    void after(Millis delay, std::function<void()> event) { this->at(this->site.now + delay, std::move(event)); }

    std::int64_t randomBetween(std::int64_t low, std::int64_t high) { return low + static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(high - low + 1)); }
    bool isChosen(std::int64_t percent) { return this->randomBetween(1, 100) <= percent; }

    std::int64_t randomSize(double mean, std::int64_t max) { return std::clamp<std::int64_t>(std::lround(std::exponential_distribution<double>(1 / mean)(this->random)), 2, max); }
    Millis randomTime(double mean) { return std::lround(mean * std::lognormal_distribution<double>(-0.08, 0.4)(this->random)); }
    std::string randomWorker() { return fmt::format("w{:02}", this->randomBetween(0, this->options.workers - 1)); }
    std::string randomRack() { return fmt::format("r{}", this->randomBetween(0, (this->options.workers - 1) / workersPerRack)); }

    void scheduleArrivals()
    {
        constexpr double jobsPerSecond = 11;
        constexpr double burstFactor = 2.6;
        const double regularInterval = 1000 * fullSize / (jobsPerSecond * this->options.load * this->options.workers);
        Millis when = 1000;
        while (when < trafficEnd) {
            const Millis inCycle = when % 20000;
            const bool isBurst = inCycle >= 5000 && inCycle < 9000;
            when += std::max<Millis>(1, std::lround(std::exponential_distribution<double>(1)(this->random) * regularInterval / (isBurst ? burstFactor : 1)));
            this->at(when, [this] { this->submitRandomJob(); });
        }
        for (int i = 0; i < this->options.workers / 50; ++i)
            this->at(1500 + 100 * i, [this] { this->submitServingJob(); });
        for (Millis periodicAt = 3000; periodicAt < trafficEnd; periodicAt += 8000)
            this->at(periodicAt, [this] { this->submitPeriodicJob(); });
    }

    Job createJob(std::int64_t priority, Step step)
    {
        Job job { .id = fmt::format("{:016x}", ++this->jobs), .workspace = std::string(this->isChosen(50) ? "c" : "a"), .text = "work", .steps = { std::move(step) } };
        job.terms = { .queue = fmt::format("q{}", priority), .service = "s", .priority = priority, .maxAttempts = 4, .stretch = priority == 0 ? 1.5 : 3, .latencyTarget = 1000 };
        return job;
    }

    void submitRandomJob()
    {
        const std::int64_t kind = this->randomBetween(1, 100);
        Job job = kind <= 35 ? this->createUrgentGang() : kind <= 75 ? this->createGang()
                                                                     : this->createTasks();
        if (job.terms.priority == 2)
            this->site.setFailures(job.id, this->isChosen(3) ? 1 : 0.02);
        if (this->isChosen(5))
            this->after(this->randomBetween(0, 20000), [this, id = job.id] { this->site.cancel(id); });
        this->site.submit(std::move(job));
    }

    Job createGang()
    {
        Step step { .count = this->randomSize(13, 78), .perTask = { 26000, 75000, std::int64_t { 1 } << this->randomBetween(0, 3) }, .estimate = this->randomTime(6800), .savesProgress = this->isChosen(50), .gang = true, .sameRack = this->isChosen(60) };
        if (this->isChosen(10))
            step.dataRack = this->randomRack();
        if (this->isChosen(4)) {
            step.label = this->randomRack();
            step.count = std::min<std::int64_t>(step.count, 8);
        }
        return this->createJob(1, std::move(step));
    }

    Job createUrgentGang()
    {
        return this->createJob(0, { .count = this->randomSize(5, 32), .perTask = { 7500, 31000, std::int64_t { 1 } << this->randomBetween(0, 2) }, .estimate = this->randomTime(2500), .gang = true, .sameRack = this->isChosen(80) });
    }

    Job createTasks()
    {
        Step step { .count = this->randomSize(39, 230), .perTask = { 5600, 23000, 1 }, .estimate = this->randomTime(9500), .savesProgress = this->isChosen(30) };
        if (this->isChosen(20))
            step.maxPerWorker = this->randomBetween(1, 4);
        if (this->isChosen(10))
            step.dataRack = this->randomRack();
        Job job = this->createJob(2, std::move(step));
        if (this->isChosen(20))
            job.steps.push_back({ .count = this->randomBetween(1, 5), .perTask = { 5600, 23000, 1 }, .estimate = 3000, .dependsOn = { 0 } });
        return job;
    }

    void submitServingJob()
    {
        this->site.submit(this->createJob(1, { .count = this->randomBetween(2, 8), .perTask = { 5600, 23000, 1 }, .estimate = 1000, .maxPerWorker = 1, .longRunning = true }));
    }

    void submitPeriodicJob()
    {
        Job job = this->createJob(2, { .count = this->randomBetween(1, 12), .perTask = { 5600, 23000, 1 }, .estimate = 2000 });
        job.repeats = 3;
        job.startAt = this->site.now + 1000;
        job.interval = 4000;
        this->site.submit(std::move(job));
    }

    void scheduleFaults(Millis seriesAt)
    {
        const std::int64_t count = this->randomBetween(2, 4);
        for (std::int64_t i = 0; i < count; ++i) {
            const auto fault = static_cast<Fault>(this->randomBetween(0, faultCount - 1));
            this->at(seriesAt + this->randomBetween(0, 3000), [this, fault] { this->cause(fault); });
        }
    }

    void cause(Fault fault)
    {
        const std::int64_t several = this->randomBetween(1, std::max(2, this->options.workers / 25));
        switch (fault) {
        case Fault::Restarts:
            for (std::int64_t i = 0; i < several; ++i)
                this->restartBehindCut(this->randomWorker());
            break;
        case Fault::FailingWorkers:
            for (std::int64_t i = 0; i < several; ++i)
                this->failFor(this->randomWorker(), 6000);
            break;
        case Fault::LostCalls:
            this->site.loseOrders(0.1);
            this->site.loseAnswers(0.1);
            this->after(2000, [this] {
                this->site.loseOrders(0);
                this->site.loseAnswers(0);
            });
            break;
        case Fault::LateCalls:
            this->site.delayOrders(0.05);
            this->after(1500, [this] { this->site.delayOrders(0); });
            break;
        case Fault::DomainCut:
            this->cutDomain(this->randomRack());
            break;
        case Fault::Departures:
            for (std::int64_t i = 0; i < several; ++i)
                this->site.leaveAndStop(this->randomWorker());
            break;
        case Fault::Crashes:
            for (std::int64_t i = 0; i < several; ++i)
                this->site.crash(this->randomWorker());
            break;
        case Fault::Takeover:
            this->site.newPlanner();
            break;
        case Fault::KilledPlanner:
            this->site.killPlanner();
            this->after(this->randomBetween(500, 2000), [this] { this->ensurePlanner(); });
            break;
        case Fault::FrozenPlanner:
            this->site.freezePlanner(this->site.now + this->randomBetween(500, 4000));
            break;
        }
    }

    void restartBehindCut(const std::string& worker)
    {
        this->site.setPartitioned(worker, true);
        const Millis duration = this->randomBetween(300, 2500);
        this->after(duration / 2, [this, worker] { this->site.restart(worker); });
        this->after(duration, [this, worker] { this->site.setPartitioned(worker, false); });
    }

    void failFor(const std::string& worker, Millis duration)
    {
        this->site.failAll(worker, true);
        this->after(duration, [this, worker] { this->site.failAll(worker, false); });
    }

    void cutDomain(const std::string& domain)
    {
        this->site.setDomainPartitioned(domain, true);
        this->after(5000, [this, domain] { this->site.setDomainPartitioned(domain, false); });
    }

    void ensurePlanner()
    {
        if (!this->site.planner)
            this->site.newPlanner();
    }

    Options options;
    std::mt19937_64 random;
    std::multimap<Millis, std::function<void()>> events;
    std::uint64_t jobs { 0 };
};

struct SeedRange {
    std::uint64_t first { 3 };
    std::uint64_t last { 4 };
    int workers { reducedSize };
};

SeedRange seedRange()
{
    unsigned long long first = 0;
    unsigned long long last = 0;
    const char* text = std::getenv("RATTAN_SEEDS");
    if (text && std::sscanf(text, "%llu-%llu", &first, &last) == 2 && first >= firstFullSeed)
        return { first, last, fullSize };
    return {};
}

// Plays a course and returns what was violated.
std::vector<std::string> play(const BusySite::Options& options)
{
    BusySite busy(options);
    const char* traced = std::getenv("RATTAN_TRACED_JOB");
    if (traced)
        busy.site.tracedJob = traced;
    busy.play();
    if (traced)
        fmt::print("{}\n", fmt::join(busy.site.trace, "\n"));
    std::vector<std::string> violations;
    for (const std::string& violation : busy.site.violations)
        violations.push_back(fmt::format("seed {}: {}", options.seed, violation));
    return violations;
}

void assertNoJobStands(bool hasFaults, double load)
{
    const SeedRange seeds = seedRange();
    std::vector<std::string> violations;
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
        const std::vector<std::string> found = play({ .seed = seed, .workers = seeds.workers, .hasFaults = hasFaults, .load = load });
        violations.insert(violations.end(), found.begin(), found.end());
    }
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} violations:\n{}", violations.size(), fmt::join(violations, "\n")), violations.empty());
}

class CalmSiteTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CalmSiteTest);
    CPPUNIT_TEST(jobsDoNotStandAtFullLoad);
    CPPUNIT_TEST(jobsDoNotStandAfterFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against jobs that stand beside capacity for them on a full site without any fault.
    void jobsDoNotStandAtFullLoad() { assertNoJobStands(false, 1); }

    // Guards against jobs that stand beside capacity for them in a calm stretch after faults.
    void jobsDoNotStandAfterFaults() { assertNoJobStands(true, 0.8); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CalmSiteTest);

} // namespace
