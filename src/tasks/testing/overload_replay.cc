#include "tasks/testing/overload_replay.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace rattan::tasks::testing {

namespace {

    struct Kind {
        const char* queue;
        std::int64_t priority;
        std::int64_t tasks;
        bool gang;
        bool largeTasks; // 1 to 8 accelerators, else 1.
        Millis minWork;
        Millis maxWork;
        double perSecond;
        double stretch;
        Millis latencyTarget;
    };

    constexpr Kind kinds[] = {
        { "urgent", 0, 5, true, true, 2100, 2500, 0.8, 1.5, 275 },
        { "middle", 1, 13, false, true, 5800, 8500, 0.21, 3, 1000 },
        { "patient", 2, 39, false, false, 6100, 8100, 0.2, 3, 3000 },
    };

    constexpr Millis loadEnd = 60000;
    constexpr Millis burstInterval = 20000;
    constexpr Millis burstLength = 6000;
    constexpr double burstFactor = 3;

    struct Submitted {
        std::string id;
        const Kind* kind;
        bool guaranteed;
        std::int64_t tasks;
        Millis acceptedAt;
        Millis objective;
        Millis firstStart { -1 };
        Millis fullStart { -1 };
        Millis end { -1 };
    };

    class Replay {
    public:
        explicit Replay(std::uint64_t seed)
            : site({ .seed = seed, .workers = 32, .failures = 0 })
            , random(seed)
        {
        }

        OverloadFigures run()
        {
            this->site.newPlanner();
            this->site.run(2000);
            while (this->site.now < loadEnd + 60000 && (this->site.now < loadEnd || !this->site.allFinished())) {
                if (this->site.now < loadEnd)
                    this->submitArrivals();
                this->site.run(this->site.now + interval);
                this->observe();
            }
            return this->figures();
        }

    private:
        static constexpr Millis interval = 50;

        void submitArrivals()
        {
            const bool burst = this->site.now % burstInterval < burstLength;
            for (const Kind& kind : kinds) {
                const double chance = kind.perSecond * (burst ? burstFactor : 1) * interval / 1000;
                if (std::uniform_real_distribution<double>(0, 1)(this->random) < chance)
                    this->submit(kind);
            }
        }

        std::int64_t between(std::int64_t low, std::int64_t high) { return std::uniform_int_distribution<std::int64_t>(low, high)(this->random); }

        void submit(const Kind& kind)
        {
            const std::int64_t number = static_cast<std::int64_t>(this->jobs.size());
            Job job;
            job.id = fmt::format("{}{:03}", kind.queue, number);
            // Workspace a guarantees 24 accelerators, and its urgent jobs don't overlap.
            const bool guaranteed = kind.priority == 0 && this->site.now >= this->nextGuaranteed;
            if (guaranteed)
                this->nextGuaranteed = this->site.now + 6000;
            job.workspace = guaranteed ? "a" : fmt::format("w{}", number % 7);
            job.terms = { .queue = kind.queue, .service = "s", .priority = kind.priority, .maxAttempts = 4, .stretch = kind.stretch, .latencyTarget = kind.latencyTarget };
            job.text = "work";
            Step step;
            step.count = kind.tasks;
            step.gang = kind.gang;
            step.estimate = this->between(kind.minWork, kind.maxWork);
            const std::int64_t accelerators = guaranteed ? 4 : kind.largeTasks ? std::int64_t { 1 } << this->between(0, 3)
                                                                               : 1;
            step.perTask = { 2000 * accelerators, 4000 * accelerators, accelerators };
            job.steps.push_back(step);
            const auto objective = static_cast<Millis>(kind.stretch * static_cast<double>(step.estimate)) + kind.latencyTarget;
            this->jobs.push_back({ job.id, &kind, guaranteed, kind.tasks, this->site.now, objective });
            this->site.submit(job);
        }

        void observe()
        {
            for (Submitted& job : this->jobs) {
                if (job.end >= 0)
                    continue;
                const std::int64_t runs = this->site.runsOf(job.id);
                if (job.firstStart < 0 && runs > 0)
                    job.firstStart = this->site.now;
                if (job.fullStart < 0 && runs >= job.tasks)
                    job.fullStart = this->site.now;
                if (this->site.stateOf(job.id) == JobState::Completed)
                    job.end = this->site.now;
            }
        }

        OverloadFigures figures()
        {
            OverloadFigures result;
            result.violations = this->site.violations;
            result.loadRecords = this->site.loadRecords.size();
            std::map<std::string, std::int64_t> stopsByUnit;
            for (const PlanEvent& event : this->site.planEvents) {
                if (event.kind != PlanEventKind::UnitEvicted)
                    continue;
                ++result.stops;
                result.mostStopsOfAUnit = std::max(result.mostStopsOfAUnit, ++stopsByUnit[event.job + "/" + event.unit]);
                double lost = 0;
                if (std::sscanf(event.detail.substr(event.detail.find(',') + 1).c_str(), " %lf", &lost) == 1)
                    result.lostCoreSeconds += static_cast<std::int64_t>(lost);
            }
            std::vector<Millis> starts;
            std::map<std::string, std::array<int, 3>> outcomes;
            for (const Submitted& job : this->jobs) {
                result.runs += this->site.runsOf(job.id);
                result.unfinished += job.end < 0 ? 1 : 0;
                const Millis start = (job.firstStart < 0 ? this->site.now : job.firstStart) - job.acceptedAt;
                starts.push_back(start);
                result.slowestStart = std::max(result.slowestStart, start);
                if (job.guaranteed)
                    result.slowestGuaranteedStart = std::max(result.slowestGuaranteedStart, (job.fullStart < 0 ? this->site.now : job.fullStart) - job.acceptedAt);
                const Millis took = job.end < 0 ? this->site.now : job.end - job.acceptedAt;
                const std::size_t outcome = took <= job.objective ? 0 : took <= 3 * job.objective ? 1
                                                                                                  : 2;
                ++outcomes[job.kind->queue][outcome];
                result.value += outcome == 0 ? 1 : outcome == 1 ? 0.3
                                                                : 0;
            }
            result.value /= static_cast<double>(this->jobs.size());
            std::sort(starts.begin(), starts.end());
            result.start95 = starts[starts.size() * 95 / 100];
            result.text = fmt::format("{} jobs, {} runs, {} stops ({} of one unit), {} core-seconds lost, first start of 95 of 100 within {} ms, of all within {} ms, guaranteed within {} ms, value {:.3f}, {} unfinished;",
                this->jobs.size(), result.runs, result.stops, result.mostStopsOfAUnit, result.lostCoreSeconds, result.start95, result.slowestStart, result.slowestGuaranteedStart, result.value, result.unfinished);
            for (const auto& [queue, counts] : outcomes)
                result.text += fmt::format(" {}: {} in time, {} late, {} too late;", queue, counts[0], counts[1], counts[2]);
            return result;
        }

        VirtualSite site;
        std::mt19937_64 random;
        std::vector<Submitted> jobs;
        Millis nextGuaranteed { 0 };
    };

} // namespace

OverloadFigures replayOverload(std::uint64_t seed) { return Replay(seed).run(); }

} // namespace rattan::tasks::testing
