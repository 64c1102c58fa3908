// Each event changes the accounts; then, if anything that matters to waiting
// jobs changed, the policy is asked once. A gang occupies its workers from the
// moment its start is ordered until the planner says that no member runs any
// more, so what is still being started or stopped is never given twice.

#include "decide/engine.h"

#include <algorithm>

namespace rattan::decide::detail {

namespace {

    constexpr std::size_t mostRemembered = 20000;
    constexpr Millis refillEvery = 30000;
    constexpr Millis hour = 3600 * 1000;

    std::unique_ptr<PlacementPolicy> makePolicy(Policy policy)
    {
        switch (policy) {
        case Policy::FirstFit:
            return makeFirstFit();
        case Policy::Backfill:
            return makeBackfill();
        case Policy::Guaranteed:
            break;
        }
        return makeGuaranteed();
    }

    // Calls `visit` once for each worker of a gang, with all it takes there.
    template <typename Visit>
    void eachWorker(const std::vector<Placement>& placements, const Visit& visit)
    {
        std::map<WorkerId, Amounts> sums;
        for (const Placement& placement : placements)
            sums[placement.worker] = sums[placement.worker] + amountsOf(placement);
        for (const auto& [worker, amounts] : sums)
            visit(worker, amounts);
    }

} // namespace

Engine::Engine(const Options& options)
    : options(options)
    , book(this->workers)
    , health(this->options)
    , random(options.seed)
    , policy(makePolicy(options.policy))
    , retries(options.retryShare)
{
}

std::vector<Action> Engine::step(const Event& event, Millis time)
{
    this->now = std::max(this->now, time);
    this->actions.clear();
    std::visit([this](const auto& one) { this->on(one); }, event);
    for (const WorkerId worker : this->health.probesDue(this->now))
        this->updateQuarantine(worker);
    this->expireDeadlines();
    while (!this->wakes.empty() && *this->wakes.begin() <= this->now) {
        this->wakes.erase(this->wakes.begin());
        this->changed = true;
    }
    if (this->now >= this->nextRefill) {
        this->retries.refill();
        this->nextRefill = this->now + refillEvery;
    }
    if (!this->paused && this->reviewDue)
        this->reviewAll();
    if (!this->paused && (this->changed || this->policy->nextWake() <= this->now)) {
        this->changed = false;
        this->startClaims();
        this->policy->dispatch(*this, this->now);
    }
    return std::move(this->actions);
}

Millis Engine::nextWake() const
{
    Millis next = std::min(this->health.nextProbe(), this->paused ? never : this->policy->nextWake());
    if (!this->deadlines.empty())
        next = std::min(next, this->deadlines.begin()->first);
    if (!this->wakes.empty())
        next = std::min(next, *this->wakes.begin());
    return next;
}

JobRecord* Engine::find(JobId job)
{
    const auto found = this->jobs.find(job);
    return found == this->jobs.end() ? nullptr : &found->second;
}

const JobRecord* Engine::find(JobId job) const
{
    const auto found = this->jobs.find(job);
    return found == this->jobs.end() ? nullptr : &found->second;
}

// The job, if this attempt is the one that holds workers.
JobRecord* Engine::current(JobId job, std::int64_t attempt)
{
    JobRecord* record = this->find(job);
    return record && record->holds() && record->attempt == attempt ? record : nullptr;
}

void Engine::enqueue(JobRecord& job)
{
    job.state = JobState::Queued;
    job.rank = job.spec.urgency;
    job.order = this->policy->orderOf(*this, job);
    this->queue.add(job);
    if (job.notBefore > this->now)
        this->wakeAt(job.notBefore);
    this->changed = true;
}

void Engine::changeRank(JobRecord& job, Urgency rank)
{
    this->queue.remove(job);
    job.rank = rank;
    this->queue.add(job);
}

Millis Engine::estimate(const JobRecord& job) const
{
    const double left = 1 - std::clamp(job.savedProgress, 0.0, 1.0);
    return std::max<Millis>(1000, static_cast<Millis>(left * static_cast<double>(this->estimates.runTime(job.spec))));
}

bool Engine::withinLimit(const JobRecord& job) const
{
    const auto found = this->workspaces.find(job.spec.workspace);
    if (found == this->workspaces.end() || found->second.rule.mostAccelerators == 0)
        return true;
    return found->second.used + job.shape().accelerators() <= found->second.rule.mostAccelerators;
}

bool Engine::mayMove()
{
    while (!this->moves.empty() && this->moves.front() <= this->now - hour)
        this->moves.pop_front();
    return static_cast<std::int64_t>(this->moves.size()) < this->options.mostMovesPerHour;
}

void Engine::start(JobRecord& job, std::vector<Placement> placements, Right right, std::vector<Grant> grants)
{
    if (job.state == JobState::Queued) {
        this->queue.remove(job);
        this->book.take(grants);
    }
    if (this->fault == Fault::HalfGang && placements.size() > 1)
        placements.pop_back();
    job.placements = std::move(placements);
    job.right = right;
    job.grants = std::move(grants);
    job.state = JobState::Starting;
    ++job.attempt;
    job.startedAt = this->now;
    job.answerBy = this->now + this->options.answerLimit;
    job.overuse = OveruseStage::None;
    this->occupy(job);
    this->watchDeadline(job);
    this->retries.started(job.spec.workspace);
    eachWorker(job.placements, [this](WorkerId worker, const Amounts&) {
        this->health.startGiven(worker);
        this->updateQuarantine(worker);
    });
    this->actions.emplace_back(StartGang { job.spec.job, job.attempt, job.placements, right, job.failures });
}

// Holds the workers for a job until the gangs that are being evicted have gone.
void Engine::claim(JobRecord& job, std::vector<Placement> placements, Right right, std::vector<Grant> grants)
{
    this->queue.remove(job);
    this->book.take(grants);
    job.state = JobState::Claiming;
    job.placements = std::move(placements);
    job.right = right;
    job.grants = std::move(grants);
    this->claiming.insert(job.spec.job);
    eachWorker(job.placements, [&](WorkerId worker, const Amounts& amounts) {
        WorkerRecord& record = this->workers.edit(worker);
        record.held = record.held + amounts;
        record.claims.push_back(job.spec.job);
        this->workers.refresh(worker);
    });
    if (this->claimReady(job))
        this->changed = true;
}

void Engine::unclaim(JobRecord& job)
{
    this->claiming.erase(job.spec.job);
    eachWorker(job.placements, [&](WorkerId worker, const Amounts& amounts) {
        WorkerRecord& record = this->workers.edit(worker);
        record.held = record.held - amounts;
        std::erase(record.claims, job.spec.job);
        this->workers.refresh(worker);
    });
}

void Engine::dropClaim(JobRecord& job)
{
    this->unclaim(job);
    this->book.release(job.grants);
    job.grants.clear();
    job.placements.clear();
    this->enqueue(job);
}

bool Engine::claimReady(const JobRecord& job) const
{
    bool ready = true;
    eachWorker(job.placements, [&](WorkerId worker, const Amounts& amounts) {
        ready = ready && covers(this->workers[worker].free(), amounts);
    });
    return ready;
}

void Engine::startClaims()
{
    const std::vector<JobId> waiting(this->claiming.begin(), this->claiming.end());
    for (const JobId id : waiting) {
        JobRecord& job = this->jobs.at(id);
        // Starting one may quarantine a worker and so end the claim of another.
        if (job.state != JobState::Claiming || !this->claimReady(job))
            continue;
        this->unclaim(job);
        this->start(job, job.placements, job.right, job.grants);
    }
}

// Enters a gang into the accounts of its workers and workspace.
void Engine::occupy(JobRecord& job)
{
    const bool firm = job.right == Right::Firm;
    const bool fixed = job.right != Right::Borrowed || job.spec.urgency == Urgency::Urgent;
    for (const Placement& placement : job.placements) {
        WorkerRecord& record = this->workers.edit(placement.worker);
        record.firm += firm ? record.unitsOf(amountsOf(placement)) : 0;
    }
    eachWorker(job.placements, [&](WorkerId worker, const Amounts& amounts) {
        WorkerRecord& record = this->workers.edit(worker);
        if (this->fault != Fault::DoubleLease)
            record.used = record.used + amounts;
        record.fixed += fixed ? amounts.accelerators : 0;
        record.gangs.push_back(job.spec.job);
        this->workers.refresh(worker);
    });
    WorkspaceRecord& workspace = this->workspaces[job.spec.workspace];
    workspace.used += job.shape().accelerators();
    workspace.borrowed += job.right == Right::Borrowed ? job.shape().accelerators() : 0;
    ++workspace.running;
}

// The exact reverse of occupy, and the end of the gang's grants.
void Engine::vacate(JobRecord& job)
{
    const bool firm = job.right == Right::Firm;
    const bool fixed = job.right != Right::Borrowed || job.spec.urgency == Urgency::Urgent;
    for (const Placement& placement : job.placements) {
        WorkerRecord& record = this->workers.edit(placement.worker);
        record.firm -= firm ? record.unitsOf(amountsOf(placement)) : 0;
    }
    eachWorker(job.placements, [&](WorkerId worker, const Amounts& amounts) {
        WorkerRecord& record = this->workers.edit(worker);
        if (this->fault != Fault::DoubleLease)
            record.used = record.used - amounts;
        record.fixed -= fixed ? amounts.accelerators : 0;
        std::erase(record.gangs, job.spec.job);
        this->workers.refresh(worker);
        this->health.startOver(worker);
        this->updateQuarantine(worker);
    });
    this->book.release(job.grants);
    if (firm)
        this->book.settle();
    WorkspaceRecord& workspace = this->workspaces[job.spec.workspace];
    workspace.used -= job.shape().accelerators();
    workspace.borrowed -= job.right == Right::Borrowed ? job.shape().accelerators() : 0;
    --workspace.running;
    job.grants.clear();
    job.placements.clear();
    this->changed = true;
}

// The one place where a final answer is given; the job is gone afterwards.
void Engine::finish(JobRecord& job, Outcome outcome, std::string reason)
{
    const JobId id = job.spec.job;
    if (job.state == JobState::Queued)
        this->queue.remove(job);
    if (job.state == JobState::Claiming) {
        this->unclaim(job);
        this->book.release(job.grants);
    }
    const FinishJob answer { id, outcome, std::move(reason), job.everStarted };
    this->actions.emplace_back(answer);
    if (this->fault == Fault::AnswerTwice)
        this->actions.emplace_back(answer);
    if (this->fault != Fault::KeepFinished)
        this->jobs.erase(id);
    this->finishedOrder.push_back(id);
    this->finishedSet.insert(id);
    if (this->finishedOrder.size() > mostRemembered) {
        this->finishedSet.erase(this->finishedOrder.front());
        this->finishedOrder.pop_front();
    }
    this->changed = true;
}

void Engine::evict(JobRecord& job, StopReason reason, bool atOnce)
{
    if (job.ending())
        return;
    ++job.evictions;
    if (!job.savable(this->options.borrowCheckpointLimit) || job.state == JobState::Starting
        || (atOnce && job.stoppable())) {
        this->stop(job, reason);
        return;
    }
    job.state = JobState::Checkpointing;
    job.stopReason = reason;
    job.answerBy = this->now + job.spec.checkpointTime + this->options.checkpointGrace;
    this->watchDeadline(job);
    this->actions.emplace_back(CheckpointGang { job.spec.job, job.attempt, reason });
}

void Engine::stop(JobRecord& job, StopReason reason)
{
    job.state = JobState::Stopping;
    job.stopReason = reason;
    job.answerBy = this->now + this->options.answerLimit;
    this->watchDeadline(job);
    this->actions.emplace_back(StopGang { job.spec.job, job.attempt, reason });
}

void Engine::wakeAt(Millis time) { this->wakes.insert(time); }

void Engine::watchDeadline(const JobRecord& job) { this->deadlines.insert({ job.answerBy, job.spec.job }); }

void Engine::expireDeadlines()
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= this->now) {
        const auto [time, id] = *this->deadlines.begin();
        this->deadlines.erase(this->deadlines.begin());
        JobRecord* job = this->find(id);
        if (job && job->answerBy == time)
            this->expireOne(*job);
    }
}

// An answer can be lost with the driver that owed it. Without a limit the gang's
// workers would stay taken for ever and nobody would see why. By the time that a
// stop has gone unanswered as well, the leases have lapsed at the workers, and a
// worker that still holds one refuses the next reserve.
void Engine::expireOne(JobRecord& job)
{
    switch (job.state) {
    case JobState::Starting:
    case JobState::Checkpointing:
        this->stop(job, job.state == JobState::Checkpointing ? job.stopReason : StopReason::Unanswered);
        return;
    case JobState::Stopping:
        this->on(GangFailed { job.spec.job, job.attempt, std::nullopt, FailureReason::LeaseLapsed });
        return;
    case JobState::Running:
        if (!job.submitted)
            this->stop(job, StopReason::Unknown);
        return;
    case JobState::Queued:
    case JobState::Claiming:
        return;
    }
}

} // namespace rattan::decide::detail
