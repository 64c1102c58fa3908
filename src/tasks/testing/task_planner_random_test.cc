// Random simulations in virtual time: various jobs, orders that are lost or late, workers that
// are cut off, restart, stall or leave, and planners that die at any time. In all of them no task
// runs twice, no worker gets more than its capacity, and every job ends.

#include "tasks/testing/virtual_site.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <cstdlib>
#include <fmt/ranges.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::SiteOptions;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr std::uint64_t defaultSeedCount = 40;

// Simulations with seeds from here on include queues with a policy.
constexpr std::uint64_t firstPolicySeed = 1'000'000;
constexpr std::uint64_t policySeedCount = 10;

// Simulations with seeds from here on include crashing workers, tasks that crash their workers,
// and changing capacities.
constexpr std::uint64_t firstCrashSeed = 2'000'000;
constexpr std::uint64_t crashSeedCount = 20;

// Simulations with seeds from here on include jobs whose records are split.
constexpr std::uint64_t firstSplitSeed = 3'000'000;
constexpr std::uint64_t splitSeedCount = 3;
constexpr std::size_t smallRecordBytes = 1024;
constexpr std::size_t usualRecordBytes = 262144;

// Simulations with seeds from here on include workers that list few of their ends at a time.
constexpr std::uint64_t firstPartialListSeed = 4'000'000;
constexpr std::uint64_t partialListSeedCount = 10;
constexpr std::size_t fewEnds = 2;
constexpr std::size_t usualEnds = 500;

// Simulations with seeds from here on include queues that are sent to another service or removed.
constexpr std::uint64_t firstRouteSeed = 5'000'000;
constexpr std::uint64_t routeSeedCount = 10;
constexpr int workersOfSecondService = 6;

// Simulations with seeds from here on include queues with extreme settings, and an advice service that
// is slow or away.
constexpr std::uint64_t firstQueueSettingsSeed = 6'000'000;
constexpr std::uint64_t queueSettingsSeedCount = 4;

// The first and the last seed; RATTAN_SEEDS=FIRST-LAST selects others.
std::pair<std::uint64_t, std::uint64_t> seedRange()
{
    const char* text = std::getenv("RATTAN_SEEDS");
    unsigned long long first = 1;
    unsigned long long last = defaultSeedCount;
    if (text)
        std::sscanf(text, "%llu-%llu", &first, &last);
    return { first, last };
}

class Simulation {
public:
    explicit Simulation(std::uint64_t seed)
        : site({ .seed = seed, .lostOrders = 0.02, .lostAnswers = 0.02, .lateOrders = 0.02, .failures = 0.03, .lostAdvice = 0.1, .maxRecordBytes = seed >= firstSplitSeed && seed < firstPartialListSeed ? smallRecordBytes : usualRecordBytes, .maxEndsPerReport = seed >= firstPartialListSeed && seed < firstRouteSeed ? fewEnds : usualEnds, .workersOfSecondService = seed >= firstRouteSeed && seed < firstQueueSettingsSeed ? workersOfSecondService : 0 })
        , random(seed * 7919)
        , hasPolicies(seed >= firstPolicySeed && seed < firstCrashSeed)
        , hasCrashes(seed >= firstCrashSeed && seed < firstSplitSeed)
        , hasSplitRecords(seed >= firstSplitSeed && seed < firstPartialListSeed)
        , hasRoutes(seed >= firstRouteSeed && seed < firstQueueSettingsSeed)
        , hasQueueSettings(seed >= firstQueueSettingsSeed)
    {
    }

    void simulate()
    {
        this->site.newPlanner();
        while (this->site.now < loadEnd) {
            this->injectFault();
            this->submitRandomJob();
            this->site.run(this->site.now + this->randomBelow(400) + 50);
        }
        this->endFaults();
        const bool allOver = this->site.runUntilFinished(this->site.now + 180000);
        if (!allOver)
            this->site.violations.emplace_back("some jobs did not end");
    }

    VirtualSite site;

private:
    static constexpr Millis loadEnd = 25000;

    Millis randomBelow(Millis bound) { return static_cast<Millis>(this->random() % static_cast<std::uint64_t>(bound)); }

    std::string randomWorker() { return fmt::format("w{:02}", this->randomBelow(12)); }

    void submitRandomJob()
    {
        Job newJob;
        newJob.id = fmt::format("{:016x}", ++this->submittedJobs);
        newJob.workspace = std::string(this->randomBelow(2) == 0 ? "a" : "b"); // GCC 12 warns incorrectly if a literal of one character is assigned.
        const std::int64_t priority = this->randomBelow(3);
        newJob.terms = { .queue = fmt::format("q{}", priority), .service = "s", .priority = priority, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
        if (this->hasPolicies && this->randomBelow(3) == 0)
            newJob.terms.advice = { 20, 3, 2000 + this->randomBelow(8000) };
        if (this->hasQueueSettings)
            this->drawQueueSettings(newJob.terms);
        const std::int64_t steps = 1 + this->randomBelow(2);
        for (std::int64_t i = 0; i < steps; ++i) {
            Step step;
            step.count = 1 + this->randomBelow(5);
            step.perTask = { 1000 * (1 + this->randomBelow(40)), 1000 * (1 + this->randomBelow(200)), 1 + this->randomBelow(8) };
            step.estimate = 300 + this->randomBelow(4000);
            step.gang = this->randomBelow(2) == 0;
            step.sameRack = this->randomBelow(3) == 0;
            step.savesProgress = this->randomBelow(3) == 0;
            if (this->randomBelow(this->hasQueueSettings ? 2 : 8) == 0)
                step.maxPerWorker = 1;
            if (this->hasSplitRecords && this->randomBelow(3) == 0) {
                step.count = 20 + this->randomBelow(60);
                step.perTask = { 1000, 1000, 1 };
                step.gang = false;
                step.maxPerWorker = 0;
            }
            if (i > 0)
                step.dependsOn.push_back(i - 1);
            newJob.steps.push_back(step);
        }
        if (this->hasCrashes && this->randomBelow(10) == 0)
            this->site.crashWorkersRunning(newJob.id, 10 + this->randomBelow(3) * 600);
        this->site.submit(newJob);
        if (this->randomBelow(12) == 0)
            this->site.cancel(newJob.id);
    }

    // Advice that takes much longer than its tickets last, or no time, and a single attempt.
    void drawQueueSettings(QueueTerms& terms)
    {
        constexpr std::array<Millis, 4> perRequest { 0, 5, 50, 300 };
        constexpr std::array<Millis, 3> perWorker { 0, 1, 10 };
        constexpr std::array<Millis, 6> validity { 30, 60, 150, 400, 900, 3000 }; // A start arrives within 20 ms.
        const auto draw = [this](const auto& values) { return values.at(static_cast<std::size_t>(this->randomBelow(static_cast<Millis>(values.size())))); };
        terms.maxAttempts = 1 + this->randomBelow(4);
        if (this->randomBelow(3) > 0)
            terms.advice = { draw(perRequest), draw(perWorker), draw(validity) };
    }

    void injectAdviceFault()
    {
        constexpr Millis maxDelay = 600;
        this->site.setAdviceAway(this->randomBelow(4) == 0);
        this->site.delayAdvice(this->randomBelow(3) == 0 ? this->randomBelow(maxDelay) : 0);
        this->site.delayRecords(this->randomBelow(3) == 0 ? this->randomBelow(maxDelay) : 0);
        this->site.rejectNextTickets(this->randomBelow(4) == 0 ? 3 : 0);
    }

    void injectFault()
    {
        if (this->hasQueueSettings)
            this->injectAdviceFault();
        if (this->hasRoutes && this->randomBelow(4) == 0) {
            const std::array<std::string, 3> services { "s", "t", "" };
            this->site.sendQueue(fmt::format("q{}", this->randomBelow(3)), services.at(static_cast<std::size_t>(this->randomBelow(3))), this->randomBelow(3));
        }
        if (this->hasCrashes) {
            this->site.resize(this->randomWorker(), this->randomBelow(2) == 0 ? Resources { 128000, 512000, 8 } : Resources { 64000, 256000, 5 });
            if (this->randomBelow(8) == 0)
                this->site.crash(this->randomWorker());
        }
        switch (this->randomBelow(14)) {
        case 0:
            this->site.setPartitioned(this->randomWorker(), true);
            break;
        case 1:
        case 2:
            for (int i = 0; i < 12; ++i)
                this->site.setPartitioned(fmt::format("w{:02}", i), false);
            break;
        case 3:
            this->site.restart(this->randomWorker());
            break;
        case 4:
            this->site.setStalled(this->randomWorker(), true);
            break;
        case 5:
            for (int i = 0; i < 12; ++i)
                this->site.setStalled(fmt::format("w{:02}", i), false);
            break;
        case 6:
            this->site.killPlanner();
            this->site.run(this->site.now + this->randomBelow(3000));
            this->site.newPlanner();
            break;
        default:
            if (!this->site.planner)
                this->site.newPlanner();
        }
    }

    void endFaults()
    {
        this->site.setAdviceAway(false);
        this->site.delayAdvice(0);
        this->site.delayRecords(0);
        this->site.rejectNextTickets(0);
        for (int i = 0; i < 12; ++i) {
            this->site.setPartitioned(fmt::format("w{:02}", i), false);
            this->site.setStalled(fmt::format("w{:02}", i), false);
            if (this->hasCrashes)
                this->site.resize(fmt::format("w{:02}", i), { 128000, 512000, 8 });
        }
        if (!this->site.planner)
            this->site.newPlanner();
    }

    std::mt19937_64 random;
    std::uint64_t submittedJobs { 0 };
    bool hasPolicies;
    bool hasCrashes;
    bool hasSplitRecords;
    bool hasRoutes;
    bool hasQueueSettings;
};

// Runs one simulation. Returns an empty text if all invariants held; otherwise the first violation,
// with the trace of the job concerned.
std::string simulate(std::uint64_t seed, const std::string& tracedJob)
{
    Simulation simulation(seed);
    simulation.site.tracedJob = tracedJob;
    simulation.simulate();
    const auto& violations = simulation.site.violations;
    if (violations.empty())
        return {};
    if (!tracedJob.empty())
        return fmt::format("seed {}: {}\n{}", seed, violations.front(), fmt::join(simulation.site.trace, "\n"));
    constexpr std::size_t idDigits = 16;
    const std::size_t id = violations.front().find("00000000");
    return id == std::string::npos ? fmt::format("seed {}: {}", seed, violations.front()) : simulate(seed, violations.front().substr(id, idDigits));
}

class TaskPlannerRandomTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TaskPlannerRandomTest);
    CPPUNIT_TEST(invariantsHoldUnderFaults);
    CPPUNIT_TEST(invariantsHoldWithPolicies);
    CPPUNIT_TEST(invariantsHoldWithWorkerCrashes);
    CPPUNIT_TEST(invariantsHoldWithSplitRecords);
    CPPUNIT_TEST(invariantsHoldWithPartialLists);
    CPPUNIT_TEST(invariantsHoldWithChangedRoutes);
    CPPUNIT_TEST(invariantsHoldWithExtremeQueueSettings);
    CPPUNIT_TEST_SUITE_END();

public:
    void invariantsHoldUnderFaults()
    {
        const auto [first, last] = seedRange();
        for (std::uint64_t seed = first; seed <= last; ++seed) {
            const std::string problem = simulate(seed, "");
            CPPUNIT_ASSERT_MESSAGE(problem, problem.empty());
        }
    }

    void invariantsHoldWithWorkerCrashes()
    {
        for (std::uint64_t seed = firstCrashSeed; seed < firstCrashSeed + crashSeedCount; ++seed) {
            const std::string problem = simulate(seed, "");
            CPPUNIT_ASSERT_MESSAGE(problem, problem.empty());
        }
    }

    void invariantsHoldWithSplitRecords()
    {
        for (std::uint64_t seed = firstSplitSeed; seed < firstSplitSeed + splitSeedCount; ++seed) {
            const std::string problem = simulate(seed, "");
            CPPUNIT_ASSERT_MESSAGE(problem, problem.empty());
        }
    }

    void invariantsHoldWithPartialLists()
    {
        for (std::uint64_t seed = firstPartialListSeed; seed < firstPartialListSeed + partialListSeedCount; ++seed) {
            const std::string problem = simulate(seed, "");
            CPPUNIT_ASSERT_MESSAGE(problem, problem.empty());
        }
    }

    void invariantsHoldWithChangedRoutes()
    {
        for (std::uint64_t seed = firstRouteSeed; seed < firstRouteSeed + routeSeedCount; ++seed) {
            const std::string problem = simulate(seed, "");
            CPPUNIT_ASSERT_MESSAGE(problem, problem.empty());
        }
    }

    void invariantsHoldWithExtremeQueueSettings()
    {
        for (std::uint64_t seed = firstQueueSettingsSeed; seed < firstQueueSettingsSeed + queueSettingsSeedCount; ++seed) {
            const std::string problem = simulate(seed, "");
            CPPUNIT_ASSERT_MESSAGE(problem, problem.empty());
        }
    }

    void invariantsHoldWithPolicies()
    {
        for (std::uint64_t seed = firstPolicySeed; seed < firstPolicySeed + policySeedCount; ++seed) {
            const std::string problem = simulate(seed, "");
            CPPUNIT_ASSERT_MESSAGE(problem, problem.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskPlannerRandomTest);

} // namespace
