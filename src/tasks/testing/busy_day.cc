#include "tasks/testing/busy_day.h"

#include <fmt/format.h>

namespace rattan::tasks::testing {

namespace {

    constexpr int racks = 10;
    constexpr Millis trafficEnds = 44000;
    constexpr int acceleratorsEach = 8;

} // namespace

BusyDay::BusyDay(Options options)
    : site({ .seed = options.seed, .workers = options.workers, .failures = 0.02, .racks = racks })
    , options(options)
    , random(options.seed * 7919)
{
}

std::string BusyDay::worker(int number) const { return fmt::format("w{:02}", number % this->options.workers); }

void BusyDay::play()
{
    this->schedule();
    this->site.newPlanner();
    this->site.planEvery(this->options.turnGap);
    this->site.roundsTake(this->options.roundTime);
    if (this->options.pollsBetweenTurns)
        this->site.pollBetweenTurns();
    for (const auto& [when, event] : this->events) {
        this->site.run(when);
        event();
    }
    this->site.run(this->options.until);
}

void BusyDay::each(Millis from, Millis until, int times, const std::function<void(int)>& event)
{
    for (int i = 0; i < times; ++i)
        this->events.emplace(from + (until - from) * i / times, [event, i] { event(i); });
}

void BusyDay::schedule()
{
    // Of one job as it comes, on average, in accelerator-milliseconds.
    constexpr double workEach = 6 * 4.5 * 3500 * 1.5;
    const double wanted = this->options.load * acceleratorsEach * this->options.workers * static_cast<double>(trafficEnds);
    this->each(1000, trafficEnds, static_cast<int>(wanted / workEach), [this](int) { this->arrive(); });
    this->each(7600, 11900, this->options.workers / 15, [this](int number) { this->submitPatient(number); });
    this->scheduleFaults();
}

void BusyDay::scheduleFaults()
{
    VirtualSite& now = this->site;
    const int leaving = this->options.workers * 12 / 100;
    const int failing = this->options.workers * 9 / 100;
    this->events.emplace(1000, [&now] { now.delayRecords(150); });
    this->events.emplace(15000, [&now] { now.delayRecords(0); });
    this->each(2000, 20000, 30, [this](int) {
        if (!this->mayGiveUp.empty())
            this->site.cancel(this->mayGiveUp[static_cast<std::size_t>(this->below(static_cast<Millis>(this->mayGiveUp.size())))]);
    });
    this->events.emplace(3500, [&now] { now.carryLate(0.1); });
    this->events.emplace(17500, [&now] { now.carryLate(0); });
    this->events.emplace(8400, [&now] { now.killPlanner(); });
    this->events.emplace(9600, [this] { this->another(); });
    this->each(8800, 13800, leaving, [this](int number) { this->site.depart(this->worker(number * 7)); });
    for (int i = 0; i < failing; ++i) {
        this->events.emplace(11000, [this, i] { this->site.failAll(this->worker(i * 7 + 3), true); });
        this->events.emplace(16000, [this, i] { this->site.failAll(this->worker(i * 7 + 3), false); });
    }
    this->events.emplace(31000, [&now] { now.killPlanner(); });
    this->events.emplace(35000, [this] { this->another(); });
    this->events.emplace(33500, [&now] { now.cutDomain("r4", true); });
    this->events.emplace(38800, [&now] { now.cutDomain("r4", false); });
}

void BusyDay::another()
{
    if (!this->site.planner)
        this->site.newPlanner();
}

Job BusyDay::jobOf(std::int64_t priority)
{
    Job job;
    job.id = fmt::format("{:016x}", ++this->jobs);
    job.workspace = std::string(this->below(2) == 0 ? "a" : "b"); // GCC 12 warns wrongly where a literal of one letter is assigned.
    job.terms = { .queue = fmt::format("q{}", priority), .service = "s", .priority = priority, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    return job;
}

void BusyDay::arrive()
{
    Job job = this->jobOf(this->below(8) == 0 ? 0 : 1 + this->below(2));
    const std::int64_t steps = 1 + this->below(2);
    for (std::int64_t i = 0; i < steps; ++i) {
        Step step;
        step.count = 1 + this->below(11);
        step.perTask = { 1000 * (1 + this->below(30)), 1000 * (1 + this->below(100)), 1 + this->below(8) };
        step.estimate = 1000 + this->below(5000);
        step.gang = this->below(40) == 0;
        step.savesProgress = this->below(3) == 0;
        if (i > 0)
            step.dependsOn.push_back(i - 1);
        job.steps.push_back(step);
    }
    if (this->below(10) == 0)
        this->mayGiveUp.push_back(job.id);
    this->site.submit(job);
}

void BusyDay::submitPatient(int)
{
    Job job = this->jobOf(2);
    job.terms.stretch = 6;
    job.steps.push_back({ .count = 78, .perTask = { 8000, 16000, 1 }, .estimate = 6000 + this->below(3000) });
    this->site.submit(job);
}

} // namespace rattan::tasks::testing
