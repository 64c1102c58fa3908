#include "simulation.h"

#include "decide/engine.h"
#include "decide/fragmentation.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace rattan::bench {

namespace {

    constexpr Millis startLatency = 300; // Reserve everywhere, then start all.
    constexpr Millis stopLatency = 200;
    constexpr Millis failAfter = 1000;
    constexpr Millis sampleEvery = 60000;
    constexpr Millis checkEvery = 600000;
    constexpr Millis lossNoticed = 6000; // One lease.
    constexpr Millis reclaimBound = 60000 + 5000 + 30000;

    struct Gang {
        std::int64_t attempt { 0 };
        std::vector<decide::Placement> placements;
        Millis runningSince { -1 };
        bool ending { false };
    };

    class Simulation {
    public:
        Simulation(const Workload& workload, const RunOptions& options)
            : workload(workload)
            , timed(options.timed)
            , decider(options.decisions)
            , random(options.decisions.seed)
            , broken(workload.broken.begin(), workload.broken.end())
        {
            this->result.jobs.resize(workload.arrivals.size());
            this->answers.resize(workload.arrivals.size());
            this->saved.resize(workload.arrivals.size());
        }

        RunResult run()
        {
            this->decider.pause(true);
            this->tell(this->workload.text);
            for (const decide::WorkerSeen& worker : this->workload.workers)
                this->tell(worker);
            this->decider.pause(false);
            this->schedule();
            while (!this->events.empty() && this->open > 0) {
                const Scheduled next = this->events.top();
                this->events.pop();
                this->sampleUntil(next.time);
                this->now = next.time;
                next.action();
            }
            this->close();
            return std::move(this->result);
        }

    private:
        struct Scheduled {
            Millis time { 0 };
            std::uint64_t number { 0 };
            std::function<void()> action;
            bool operator>(const Scheduled& other) const
            {
                return std::tie(this->time, this->number) > std::tie(other.time, other.number);
            }
        };

        void at(Millis time, std::function<void()> action)
        {
            this->events.push({ time, this->scheduled++, std::move(action) });
        }

        void schedule()
        {
            this->open = this->workload.arrivals.size();
            for (const Arrival& arrival : this->workload.arrivals) {
                this->at(arrival.job.submittedAt, [this, &arrival] { this->tell(arrival.job); });
                if (arrival.cancelAt > 0)
                    this->at(arrival.cancelAt, [this, &arrival] { this->tell(decide::JobCancelled { arrival.job.job }); });
            }
            for (const Outage& outage : this->workload.outages) {
                this->at(outage.from + lossNoticed, [this, &outage] { this->lose(outage.worker); });
                this->at(outage.until, [this, &outage] { this->tell(this->workload.workers[outage.worker]); });
            }
        }

        void tell(const decide::Event& event)
        {
            const auto before = std::chrono::steady_clock::now();
            const std::vector<decide::Action> actions = this->decider.step(event, this->now);
            if (this->timed) {
                const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - before;
                this->result.stepMicros.push_back(took.count());
            }
            for (const decide::Action& action : actions)
                std::visit([this](const auto& one) { this->on(one); }, action);
            this->noteClaims();
            const Millis wake = this->decider.nextWake();
            if (wake < decide::detail::never && (this->wakeAt <= this->now || wake < this->wakeAt)) {
                this->wakeAt = std::max(wake, this->now + 1);
                this->at(this->wakeAt, [this, time = this->wakeAt] {
                    if (time == this->wakeAt)
                        this->tell(decide::Tick {});
                });
            }
        }

        // Guaranteed jobs that wait for evictions, from when on.
        void noteClaims()
        {
            for (const decide::JobId job : this->decider.engine().claiming) {
                if (this->decider.engine().find(job)->right == decide::Right::Guaranteed)
                    this->claimedAt.try_emplace(job, this->now);
            }
        }

        void on(const decide::StartGang& start)
        {
            if (const auto claimed = this->claimedAt.find(start.job); claimed != this->claimedAt.end()) {
                if (start.right == decide::Right::Guaranteed) {
                    this->result.reclaims.push_back(this->now - claimed->second);
                    this->result.guaranteeViolations += this->now - claimed->second > reclaimBound ? 1 : 0;
                }
                this->claimedAt.erase(claimed);
            }
            this->gangs[start.job] = { start.attempt, start.placements };
            const Arrival& arrival = this->workload.arrivals[start.job];
            const auto faulty = std::find_if(start.placements.begin(), start.placements.end(),
                [this](const decide::Placement& placement) { return this->broken.contains(placement.worker); });
            if (faulty != start.placements.end() || arrival.alwaysFails) {
                const decide::WorkerId worker = faulty != start.placements.end() ? faulty->worker : start.placements.front().worker;
                this->at(this->now + failAfter, [this, start, worker] {
                    if (this->endGang(start.job, start.attempt))
                        this->tell(decide::GangFailed { start.job, start.attempt, worker, decide::FailureReason::StartFailed });
                });
                return;
            }
            this->at(this->now + startLatency, [this, start] { this->started(start); });
        }

        void started(const decide::StartGang& start)
        {
            Gang* gang = this->find(start.job, start.attempt);
            if (!gang || gang->ending)
                return;
            gang->runningSince = this->now;
            const Arrival& arrival = this->workload.arrivals[start.job];
            JobResult& job = this->result.jobs[start.job];
            if (!job.everRan)
                job.firstWait = this->now - arrival.job.submittedAt;
            job.everRan = true;
            const double left = 1 - this->saved[start.job];
            const auto remaining = std::max<Millis>(1, static_cast<Millis>(left * static_cast<double>(arrival.runTime)));
            this->at(this->now + remaining, [this, start, remaining] {
                if (static_cast<std::int64_t>(start.placements.size()) < this->workload.arrivals[start.job].job.members)
                    this->result.partialGangSeconds += static_cast<double>(remaining) / 1000;
                if (this->endGang(start.job, start.attempt)) {
                    this->result.jobs[start.job].done = true;
                    this->tell(decide::GangFinished { start.job, start.attempt });
                }
            });
            this->tell(decide::GangStarted { start.job, start.attempt });
        }

        void on(const decide::StopGang& stop) { this->endAfter(stop.job, stop.attempt, stopLatency, false); }

        void on(const decide::CheckpointGang& checkpoint)
        {
            const Millis longest = this->workload.arrivals[checkpoint.job].job.checkpointTime;
            const auto takes = longest / 5 + static_cast<Millis>(this->random() % static_cast<std::uint64_t>(longest * 4 / 5));
            this->endAfter(checkpoint.job, checkpoint.attempt, takes, true);
        }

        void endAfter(decide::JobId job, std::int64_t attempt, Millis takes, bool save)
        {
            ++this->result.evictions;
            if (Gang* gang = this->find(job, attempt))
                gang->ending = true;
            const Millis ordered = this->now;
            this->at(this->now + takes, [this, job, attempt, save, ordered] {
                const Gang* gang = this->find(job, attempt);
                if (!gang)
                    return;
                if (save && gang->runningSince >= 0) {
                    const auto ran = static_cast<double>(ordered - gang->runningSince);
                    this->saved[job] += ran / static_cast<double>(this->workload.arrivals[job].runTime);
                    this->saved[job] = std::min(this->saved[job], 1.0);
                }
                this->endGang(job, attempt);
                this->tell(decide::GangStopped { job, attempt, this->saved[job] });
            });
        }

        void on(const decide::FinishJob& finish)
        {
            if (++this->answers[finish.job] > 1)
                return;
            --this->open;
            JobResult& job = this->result.jobs[finish.job];
            job.done = finish.outcome == decide::Outcome::Done;
            job.completion = this->now - this->workload.arrivals[finish.job].job.submittedAt;
            this->claimedAt.erase(finish.job);
        }

        void on(const decide::ThrottleGang&) { }
        void on(const decide::WorkerQuarantined&) { }
        void on(const decide::WorkerRestored&) { }

        void lose(decide::WorkerId worker)
        {
            std::vector<std::pair<decide::JobId, std::int64_t>> hit;
            for (const auto& [job, gang] : this->gangs) {
                for (const decide::Placement& placement : gang.placements) {
                    if (placement.worker == worker) {
                        hit.emplace_back(job, gang.attempt);
                        break;
                    }
                }
            }
            this->tell(decide::WorkerLost { worker });
            for (const auto& [job, attempt] : hit) {
                if (this->endGang(job, attempt))
                    this->tell(decide::GangFailed { job, attempt, worker, decide::FailureReason::MemberLost });
            }
        }

        Gang* find(decide::JobId job, std::int64_t attempt)
        {
            const auto found = this->gangs.find(job);
            return found != this->gangs.end() && found->second.attempt == attempt ? &found->second : nullptr;
        }

        bool endGang(decide::JobId job, std::int64_t attempt)
        {
            if (!this->find(job, attempt))
                return false;
            this->gangs.erase(job);
            return true;
        }

        // Fragmentation counts while jobs still arrive.
        void sampleUntil(Millis time)
        {
            const Millis last = this->workload.arrivals.back().job.submittedAt;
            for (; this->nextSample <= time && this->nextSample <= last; this->nextSample += sampleEvery) {
                this->result.fragmentation += this->decider.fragmentation();
                this->result.strictFragmentation
                    += decide::detail::fragmentationOf(this->decider.engine(), decide::detail::FragmentationView::Strict);
                ++this->samples;
            }
            if (time < this->nextCheck)
                return;
            this->nextCheck = time + checkEvery;
            this->result.guaranteeViolations += static_cast<std::int64_t>(this->decider.violations().size());
        }

        void close()
        {
            const auto count = static_cast<double>(std::max<std::int64_t>(this->samples, 1));
            this->result.fragmentation /= count;
            this->result.strictFragmentation /= count;
            for (const int count : this->answers)
                this->result.unanswered += count == 1 ? 0 : 1;
        }

        const Workload& workload;
        bool timed;
        decide::Decider decider;
        std::mt19937_64 random;
        std::set<decide::WorkerId> broken;
        RunResult result;
        std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> events;
        std::uint64_t scheduled { 0 };
        Millis now { 0 };
        Millis wakeAt { -1 };
        std::size_t open { 0 };
        std::map<decide::JobId, Gang> gangs;
        std::vector<int> answers;
        std::vector<double> saved;
        std::map<decide::JobId, Millis> claimedAt;
        Millis nextSample { 0 };
        Millis nextCheck { 0 };
        std::int64_t samples { 0 };
    };

} // namespace

RunResult simulate(const Workload& workload, const RunOptions& options) { return Simulation(workload, options).run(); }

} // namespace rattan::bench
