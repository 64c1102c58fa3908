// Random courses of events, in virtual time: jobs of all kinds, orders that are
// lost or come late, workers that are cut off, restart, stall or leave, and
// planners that die at any moment. Whatever happens, nothing runs twice, no
// worker gets more than it has room for, and every job ends.

#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <cstdlib>
#include <fmt/ranges.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::SiteOptions;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr std::uint64_t usualSeeds = 40;

// From this seed on, some queues have a policy.
constexpr std::uint64_t firstWithPolicies = 1'000'000;
constexpr std::uint64_t seedsWithPolicies = 10;

// From this seed on, workers crash, some tasks crash their workers, and capacities change.
constexpr std::uint64_t firstWithCrashes = 2'000'000;
constexpr std::uint64_t seedsWithCrashes = 20;

// RATTAN_SEEDS=FIRST-LAST plays others.
std::pair<std::uint64_t, std::uint64_t> seeds()
{
    const char* text = std::getenv("RATTAN_SEEDS");
    unsigned long long first = 1;
    unsigned long long last = usualSeeds;
    if (text)
        std::sscanf(text, "%llu-%llu", &first, &last);
    return { first, last };
}

class Course {
public:
    explicit Course(std::uint64_t seed)
        : site({ .seed = seed, .lostOrders = 0.02, .lostAnswers = 0.02, .lateOrders = 0.02, .failures = 0.03, .lostAdvice = 0.1 })
        , random(seed * 7919)
        , hasPolicies(seed >= firstWithPolicies && seed < firstWithCrashes)
        , hasCrashes(seed >= firstWithCrashes)
    {
    }

    void play()
    {
        this->site.newPlanner();
        while (this->site.now < trafficEnds) {
            this->disturb();
            this->arrive();
            this->site.run(this->site.now + this->below(400) + 50);
        }
        this->calm();
        const bool over = this->site.runUntilFinished(this->site.now + 180000);
        if (!over)
            this->site.violations.emplace_back("jobs that never end");
    }

    VirtualSite site;

private:
    static constexpr Millis trafficEnds = 25000;

    Millis below(Millis bound) { return static_cast<Millis>(this->random() % static_cast<std::uint64_t>(bound)); }

    std::string worker() { return fmt::format("w{:02}", this->below(12)); }

    void arrive()
    {
        Job job;
        job.id = fmt::format("{:016x}", ++this->jobs);
        job.workspace = std::string(this->below(2) == 0 ? "a" : "b"); // GCC 12 warns wrongly where a literal of one letter is assigned.
        const std::int64_t priority = this->below(3);
        job.terms = { .queue = fmt::format("q{}", priority), .service = "s", .priority = priority, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
        if (this->hasPolicies && this->below(3) == 0)
            job.terms.advice = { 20, 3, 2000 + this->below(8000) };
        const std::int64_t steps = 1 + this->below(2);
        for (std::int64_t i = 0; i < steps; ++i) {
            Step step;
            step.count = 1 + this->below(5);
            step.perTask = { 1000 * (1 + this->below(40)), 1000 * (1 + this->below(200)), 1 + this->below(8) };
            step.estimate = 300 + this->below(4000);
            step.gang = this->below(2) == 0;
            step.sameRack = this->below(3) == 0;
            step.savesProgress = this->below(3) == 0;
            if (this->below(8) == 0)
                step.maxPerWorker = 1;
            if (i > 0)
                step.dependsOn.push_back(i - 1);
            job.steps.push_back(step);
        }
        if (this->hasCrashes && this->below(10) == 0)
            this->site.crashWorkersRunning(job.id, 10 + this->below(3) * 600);
        this->site.submit(job);
        if (this->below(12) == 0)
            this->site.cancel(job.id);
    }

    void disturb()
    {
        if (this->hasCrashes) {
            this->site.resize(this->worker(), this->below(2) == 0 ? Resources { 128000, 512000, 8 } : Resources { 64000, 256000, 5 });
            if (this->below(8) == 0)
                this->site.crash(this->worker());
        }
        switch (this->below(14)) {
        case 0:
            this->site.setPartitioned(this->worker(), true);
            break;
        case 1:
        case 2:
            for (int i = 0; i < 12; ++i)
                this->site.setPartitioned(fmt::format("w{:02}", i), false);
            break;
        case 3:
            this->site.restart(this->worker());
            break;
        case 4:
            this->site.setStalled(this->worker(), true);
            break;
        case 5:
            for (int i = 0; i < 12; ++i)
                this->site.setStalled(fmt::format("w{:02}", i), false);
            break;
        case 6:
            this->site.killPlanner();
            this->site.run(this->site.now + this->below(3000));
            this->site.newPlanner();
            break;
        default:
            if (!this->site.planner)
                this->site.newPlanner();
        }
    }

    void calm()
    {
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
    std::uint64_t jobs { 0 };
    bool hasPolicies;
    bool hasCrashes;
};

// Empty if all held; else what did not, with the story of the job concerned.
std::string play(std::uint64_t seed, const std::string& traced)
{
    Course course(seed);
    course.site.tracedJob = traced;
    course.play();
    const auto& broken = course.site.violations;
    if (broken.empty())
        return {};
    if (!traced.empty())
        return fmt::format("seed {}: {}\n{}", seed, broken.front(), fmt::join(course.site.trace, "\n"));
    constexpr std::size_t idDigits = 16;
    const std::size_t id = broken.front().find("00000000");
    return id == std::string::npos ? fmt::format("seed {}: {}", seed, broken.front()) : play(seed, broken.front().substr(id, idDigits));
}

class TaskPlannerRandomTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TaskPlannerRandomTest);
    CPPUNIT_TEST(whateverHappensTheRulesHold);
    CPPUNIT_TEST(alsoWhereQueuesHavePolicies);
    CPPUNIT_TEST(alsoWhereTasksCrashTheirWorkers);
    CPPUNIT_TEST_SUITE_END();

public:
    void whateverHappensTheRulesHold()
    {
        const auto [first, last] = seeds();
        for (std::uint64_t seed = first; seed <= last; ++seed) {
            const std::string problem = play(seed, "");
            CPPUNIT_ASSERT_MESSAGE(problem, problem.empty());
        }
    }

    void alsoWhereTasksCrashTheirWorkers()
    {
        for (std::uint64_t seed = firstWithCrashes; seed < firstWithCrashes + seedsWithCrashes; ++seed) {
            const std::string problem = play(seed, "");
            CPPUNIT_ASSERT_MESSAGE(problem, problem.empty());
        }
    }

    void alsoWhereQueuesHavePolicies()
    {
        for (std::uint64_t seed = firstWithPolicies; seed < firstWithPolicies + seedsWithPolicies; ++seed) {
            const std::string problem = play(seed, "");
            CPPUNIT_ASSERT_MESSAGE(problem, problem.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskPlannerRandomTest);

} // namespace
