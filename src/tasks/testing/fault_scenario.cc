#include "tasks/testing/fault_scenario.h"

#include <fmt/format.h>

namespace rattan::tasks::testing {

namespace {

    constexpr int rackCount = 10;
    constexpr Millis trafficEnd = 44000;
    constexpr int acceleratorsPerWorker = 8;

} // namespace

FaultScenario::FaultScenario(Options options)
    : site({ .seed = options.seed, .workers = options.workers, .failures = 0.02, .racks = rackCount })
    , options(options)
    , random(options.seed * 7919)
{
}

std::string FaultScenario::workerId(int number) const { return fmt::format("w{:02}", number % this->options.workers); }

void FaultScenario::run()
{
    this->schedule();
    this->site.newPlanner();
    this->site.setPlannerInterval(this->options.plannerInterval);
    this->site.setRoundDuration(this->options.roundDuration);
    if (this->options.pollsBetweenTurns)
        this->site.pollBetweenTurns();
    for (const auto& [when, event] : this->events) {
        this->site.run(when);
        event();
    }
    this->site.run(this->options.until);
}

void FaultScenario::scheduleEvenly(Millis from, Millis until, int times, const std::function<void(int)>& event)
{
    for (int i = 0; i < times; ++i)
        this->events.emplace(from + (until - from) * i / times, [event, i] { event(i); });
}

void FaultScenario::schedule()
{
    // Average work of one regular job, in accelerator-milliseconds.
    constexpr double averageWorkPerJob = 6 * 4.5 * 3500 * 1.5;
    const double totalWork = this->options.load * acceleratorsPerWorker * this->options.workers * static_cast<double>(trafficEnd);
    this->scheduleEvenly(1000, trafficEnd, static_cast<int>(totalWork / averageWorkPerJob), [this](int) { this->submitRandomJob(); });
    this->scheduleEvenly(7600, 11900, this->options.workers / 15, [this](int number) { this->submitLowPriorityJob(number); });
    this->scheduleFaults();
}

void FaultScenario::scheduleFaults()
{
    VirtualSite& target = this->site;
    const int leavingWorkers = this->options.workers * 12 / 100;
    const int failingWorkers = this->options.workers * 9 / 100;
    this->events.emplace(1000, [&target] { target.delayRecords(150); });
    this->events.emplace(15000, [&target] { target.delayRecords(0); });
    this->scheduleEvenly(2000, 20000, 30, [this](int) {
        if (!this->cancellableJobs.empty())
            this->site.cancel(this->cancellableJobs[static_cast<std::size_t>(this->randomBelow(static_cast<Millis>(this->cancellableJobs.size())))]);
    });
    this->events.emplace(3500, [&target] { target.delayOrders(0.1); });
    this->events.emplace(17500, [&target] { target.delayOrders(0); });
    this->events.emplace(8400, [&target] { target.killPlanner(); });
    this->events.emplace(9600, [this] { this->ensurePlanner(); });
    this->scheduleEvenly(8800, 13800, leavingWorkers, [this](int number) { this->site.leaveAndStop(this->workerId(number * 7)); });
    for (int i = 0; i < failingWorkers; ++i) {
        this->events.emplace(11000, [this, i] { this->site.failAll(this->workerId(i * 7 + 3), true); });
        this->events.emplace(16000, [this, i] { this->site.failAll(this->workerId(i * 7 + 3), false); });
    }
    this->events.emplace(31000, [&target] { target.killPlanner(); });
    this->events.emplace(35000, [this] { this->ensurePlanner(); });
    this->events.emplace(33500, [&target] { target.setDomainPartitioned("r4", true); });
    this->events.emplace(38800, [&target] { target.setDomainPartitioned("r4", false); });
}

void FaultScenario::ensurePlanner()
{
    if (!this->site.planner)
        this->site.newPlanner();
}

Job FaultScenario::createJob(std::int64_t priority)
{
    Job job;
    job.id = fmt::format("{:016x}", ++this->jobs);
    job.workspace = std::string(this->randomBelow(2) == 0 ? "a" : "b"); // GCC 12 gives a false warning if a one-letter literal is assigned.
    job.terms = { .queue = fmt::format("q{}", priority), .service = "s", .priority = priority, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    return job;
}

void FaultScenario::submitRandomJob()
{
    Job job = this->createJob(this->randomBelow(8) == 0 ? 0 : 1 + this->randomBelow(2));
    const std::int64_t steps = 1 + this->randomBelow(2);
    for (std::int64_t i = 0; i < steps; ++i) {
        Step step;
        step.count = 1 + this->randomBelow(11);
        step.perTask = { 1000 * (1 + this->randomBelow(30)), 1000 * (1 + this->randomBelow(100)), 1 + this->randomBelow(8) };
        step.estimate = 1000 + this->randomBelow(5000);
        step.gang = this->randomBelow(40) == 0;
        step.savesProgress = this->randomBelow(3) == 0;
        if (i > 0)
            step.dependsOn.push_back(i - 1);
        job.steps.push_back(step);
    }
    if (this->randomBelow(10) == 0)
        this->cancellableJobs.push_back(job.id);
    this->site.submit(job);
}

void FaultScenario::submitLowPriorityJob(int)
{
    Job job = this->createJob(2);
    job.terms.stretch = 6;
    job.steps.push_back({ .count = 78, .perTask = { 8000, 16000, 1 }, .estimate = 6000 + this->randomBelow(3000) });
    this->site.submit(job);
}

} // namespace rattan::tasks::testing
