#pragma once

// Drives a FakeDomain through a random sequence of events that one seed fixes:
// submits, cancels, answers in any order, failures, workers that come and go,
// and texts that change.

#include "decide/check.h"
#include "decide/testing/fake_domain.h"

#include <iterator>

namespace rattan::decide::testing {

class RandomSequence {
public:
    explicit RandomSequence(std::uint64_t seed, std::int64_t mostJobs = 100000)
        : random(seed)
        , domain(Options { .seed = seed, .mostJobs = mostJobs, .answerLimit = 20000 })
    {
        const WorkerId count = 3 + this->below(5);
        for (WorkerId worker = 0; worker < count; ++worker) {
            const auto accelerators = std::int64_t { 1 } << this->below(4);
            this->domain.addWorker(worker, worker / 3, { accelerators, accelerators * 8, accelerators * 1024 });
        }
        this->changeText();
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            this->domain.now += static_cast<Millis>(this->below(4000));
            this->oneStep();
            this->domain.checkJobs();
        }
    }

    // Cancels all and answers all; then no job may be left.
    void drain()
    {
        for (const auto& [job, spec] : std::map<JobId, JobSubmitted>(this->domain.specs))
            this->domain.tell(JobCancelled { job });
        for (int i = 0; i < 200 && !this->domain.gangs.empty(); ++i)
            this->answerOne();
        this->domain.checkJobs();
        for (const auto& [job, spec] : this->domain.specs) {
            if (this->domain.answersOf(job) != 1)
                this->domain.faults.push_back(fmt::format("answers: job {} has {} at the end", job, this->domain.answersOf(job)));
        }
    }

    // Every idle guaranteed shape is asked for at once, while others borrow as
    // much as they can; all have to run once the borrowers have gone.
    void rush()
    {
        std::vector<JobId> wanted;
        for (const detail::Slot& slot : std::vector<detail::Slot>(this->domain.decider.engine().book.all())) {
            if (slot.retired || slot.taken() > 0 || !slot.met())
                continue;
            JobSubmitted job { .job = this->nextJob++, .workspace = slot.workspace, .urgency = Urgency::Ordinary };
            job.members = slot.within == Adjacency::Worker ? 1 : slot.units;
            job.perMember = { slot.units / job.members, 0, 0 };
            job.adjacency = slot.within;
            job.submittedAt = this->domain.now;
            wanted.push_back(job.job);
            this->domain.tell(job);
        }
        for (int i = 0; i < 500; ++i) {
            const auto ending = std::find_if(this->domain.gangs.begin(), this->domain.gangs.end(),
                [](const auto& entry) { return entry.second.ending; });
            if (ending == this->domain.gangs.end())
                break;
            // An evicted gang of the same workspace would ask for its guarantee too.
            const JobId evicted = ending->first;
            if (std::find(wanted.begin(), wanted.end(), evicted) == wanted.end())
                this->domain.tell(JobCancelled { evicted });
            this->domain.answerStop(evicted);
        }
        for (const JobId job : wanted) {
            if (!this->domain.runs(job))
                this->domain.faults.push_back(fmt::format("guarantee: job {} does not run in a rush", job));
        }
    }

    // Leaves only what runs and stays, so that a rush asks for what is idle and no
    // more; an evicted gang of a workspace would ask for its guarantee too.
    void cancelQueued()
    {
        for (const auto& [job, spec] : std::map<JobId, JobSubmitted>(this->domain.specs)) {
            if (!this->domain.runs(job))
                this->domain.tell(JobCancelled { job });
        }
        for (int i = 0; i < 200; ++i) {
            const auto ending = std::find_if(this->domain.gangs.begin(), this->domain.gangs.end(),
                [](const auto& entry) { return entry.second.ending; });
            if (ending == this->domain.gangs.end())
                break;
            const JobId evicted = ending->first;
            this->domain.tell(JobCancelled { evicted });
            this->domain.answerStop(evicted);
        }
    }

    std::mt19937_64 random;
    FakeDomain domain;

private:
    std::uint32_t below(std::uint32_t bound) { return static_cast<std::uint32_t>(this->random() % bound); }
    bool chance(std::uint32_t percent) { return this->below(100) < percent; }

    void oneStep()
    {
        const std::uint32_t kind = this->below(100);
        if (kind < 35)
            this->submit();
        else if (kind < 42)
            this->domain.tell(JobCancelled { 1 + this->below(static_cast<std::uint32_t>(this->nextJob)) });
        else if (kind < 82)
            this->answerOne();
        else if (kind < 90)
            this->disturbWorker();
        else if (kind < 92)
            this->changeText();
        else if (kind < 95)
            this->reportUsage();
        else
            this->domain.tell(Tick {});
    }

    void submit()
    {
        JobSubmitted job { .job = this->nextJob++, .workspace = 1 + this->below(3) };
        job.jobClass = this->below(3);
        job.urgency = static_cast<Urgency>(this->below(3));
        job.members = 1 + this->below(4);
        job.perMember = { static_cast<std::int64_t>(this->below(5)), static_cast<std::int64_t>(this->below(9)), 512 };
        job.adjacency = static_cast<Adjacency>(this->below(3));
        job.declaredRunTime = this->below(100000);
        job.idempotent = this->chance(85);
        job.checkpointable = this->chance(50);
        job.stoppable = this->chance(60);
        job.checkpointTime = this->chance(80) ? 10000 : 300000;
        job.submittedAt = this->domain.now;
        this->domain.tell(job);
        if (this->chance(10))
            this->domain.tell(job); // Told again.
    }

    void answerOne()
    {
        if (this->domain.gangs.empty())
            return;
        const auto gang = std::next(this->domain.gangs.begin(), this->below(static_cast<std::uint32_t>(this->domain.gangs.size())));
        const JobId job = gang->first;
        const auto worker = gang->second.start.placements.front().worker;
        if (gang->second.ending) {
            if (this->chance(80))
                this->domain.answerStop(job, this->below(100) / 100.0);
            else
                this->domain.answerFailure(job, static_cast<FailureReason>(this->below(5)), worker);
        } else if (!gang->second.started) {
            if (this->chance(80))
                this->domain.answerStart(job);
            else
                this->domain.answerFailure(job, static_cast<FailureReason>(this->below(5)), worker);
        } else if (this->chance(80)) {
            this->domain.answerFinish(job);
        } else {
            this->domain.answerFailure(job, FailureReason::MemberLost, worker);
        }
    }

    void disturbWorker()
    {
        const auto worker = this->below(static_cast<std::uint32_t>(this->domain.capacities.size()));
        if (this->chance(40))
            this->domain.tell(WorkerLost { worker });
        else if (this->chance(30))
            this->domain.tell(WorkerLeaving { worker });
        else
            this->domain.tell(WorkerSeen { worker, this->domain.rackOf[worker], this->domain.capacities[worker] });
    }

    void changeText()
    {
        TextChanged text;
        for (WorkspaceId workspace = 1; workspace <= 3; ++workspace) {
            WorkspaceRule rule { .workspace = workspace };
            for (std::uint32_t i = 0; i < this->below(3); ++i) {
                rule.guarantees.push_back({ 1 + static_cast<std::int64_t>(this->below(2)),
                    std::int64_t { 1 } << this->below(3), static_cast<Adjacency>(this->below(3)) });
            }
            text.workspaces.push_back(std::move(rule));
        }
        this->domain.tell(text);
    }

    void reportUsage()
    {
        if (this->domain.gangs.empty())
            return;
        const LedgerGang& gang = this->domain.gangs.begin()->second;
        this->domain.tell(UsageReported { gang.start.job, 1, static_cast<std::int64_t>(this->below(8192)), 0.5 });
    }

    JobId nextJob { 1 };
};

} // namespace rattan::decide::testing
