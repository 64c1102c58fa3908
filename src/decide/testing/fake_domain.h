#pragma once

// Stands in for the planner, the driver and the workers of a domain: carries out
// the actions of a Decider, answers them, and keeps a ledger of its own of what
// runs where and how each job ended.

#include "decide/decide.h"
#include "decide/engine.h"

#include <fmt/format.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace rattan::decide::testing {

struct LedgerGang {
    StartGang start;
    JobSubmitted spec;
    bool started { false };
    bool ending { false };
    Millis lapsesAt { detail::never }; // Once a stop was ordered.
};

class FakeDomain {
public:
    explicit FakeDomain(const Options& options)
        : decider(options)
    {
    }

    void tell(const Event& event)
    {
        // The driver stops renewing what it was told to stop, answered or not.
        std::erase_if(this->gangs, [this](const auto& entry) { return entry.second.lapsesAt <= this->now; });
        if (const auto* submitted = std::get_if<JobSubmitted>(&event))
            this->specs[submitted->job] = *submitted;
        for (const Action& action : this->decider.step(event, this->now))
            std::visit([this](const auto& one) { this->on(one); }, action);
        this->checkAll();
    }

    void addWorker(WorkerId worker, RackId rack, const Amounts& capacity)
    {
        this->capacities[worker] = capacity;
        this->rackOf[worker] = rack;
        this->tell(WorkerSeen { worker, rack, capacity });
    }

    void answerStart(JobId job)
    {
        LedgerGang& gang = this->gangs.at(job);
        gang.started = true;
        this->tell(GangStarted { job, gang.start.attempt });
    }

    void answerFinish(JobId job)
    {
        const std::int64_t attempt = this->end(job);
        this->tell(GangFinished { job, attempt });
    }

    void answerStop(JobId job, double saved = 0)
    {
        const std::int64_t attempt = this->end(job);
        this->tell(GangStopped { job, attempt, saved });
    }

    void answerFailure(JobId job, FailureReason reason, std::optional<WorkerId> worker = std::nullopt)
    {
        const std::int64_t attempt = this->end(job);
        this->tell(GangFailed { job, attempt, worker, reason });
    }

    bool runs(JobId job) const { return this->gangs.contains(job); }
    std::size_t answersOf(JobId job) const
    {
        const auto found = this->finals.find(job);
        return found == this->finals.end() ? 0 : found->second.size();
    }

    // Every job that was submitted is held or has one final answer.
    void checkJobs()
    {
        for (const auto& [job, spec] : this->specs) {
            const bool held = this->decider.engine().find(job) != nullptr;
            if (this->answersOf(job) + (held ? 1 : 0) != 1)
                this->faults.push_back(fmt::format("answers: job {} has {} and is {}held", job, this->answersOf(job), held ? "" : "not "));
        }
    }

    bool saw(const std::string& word) const
    {
        for (const std::string& fault : this->faults) {
            if (fault.find(word) != std::string::npos)
                return true;
        }
        return false;
    }

    Decider decider;
    Millis now { 0 };
    std::map<JobId, LedgerGang> gangs;
    std::map<JobId, JobSubmitted> specs;
    std::map<JobId, std::vector<FinishJob>> finals;
    std::map<WorkerId, Amounts> capacities;
    std::map<WorkerId, RackId> rackOf;
    std::vector<std::string> faults;
    std::vector<Action> others; // Quarantines, throttles and the like.
    bool checksState { true };

private:
    void on(const StartGang& start)
    {
        if (this->gangs.contains(start.job))
            this->faults.push_back(fmt::format("leased twice: job {} is started while it runs", start.job));
        this->gangs[start.job] = { start, this->specs[start.job] };
        if (static_cast<std::int64_t>(start.placements.size()) != this->specs[start.job].members)
            this->faults.push_back(fmt::format("partial gang: job {} is started with {} members", start.job, start.placements.size()));
    }

    void on(const StopGang& stop)
    {
        this->markEnding(stop.job);
        if (this->gangs.contains(stop.job))
            this->gangs.at(stop.job).lapsesAt = this->now + this->decider.engine().options.answerLimit;
    }
    void on(const CheckpointGang& checkpoint) { this->markEnding(checkpoint.job); }
    void on(const FinishJob& finish) { this->finals[finish.job].push_back(finish); }
    void on(const ThrottleGang& one) { this->others.emplace_back(one); }
    void on(const WorkerQuarantined& one) { this->others.emplace_back(one); }
    void on(const WorkerRestored& one) { this->others.emplace_back(one); }

    void markEnding(JobId job)
    {
        if (this->gangs.contains(job))
            this->gangs.at(job).ending = true;
    }

    std::int64_t end(JobId job)
    {
        const std::int64_t attempt = this->gangs.at(job).start.attempt;
        this->gangs.erase(job);
        return attempt;
    }

    void checkAll()
    {
        std::map<WorkerId, std::int64_t> used;
        for (const auto& [job, gang] : this->gangs) {
            for (const Placement& placement : gang.start.placements)
                used[placement.worker] += placement.accelerators;
        }
        for (const auto& [worker, sum] : used) {
            if (sum > this->capacities[worker].accelerators)
                this->faults.push_back(fmt::format("leased twice: worker {} runs {} accelerators", worker, sum));
        }
        if (!this->checksState)
            return;
        for (std::string& fault : this->decider.violations())
            this->faults.push_back(std::move(fault));
    }
};

} // namespace rattan::decide::testing
