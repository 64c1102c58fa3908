// What each event changes. Reports of an attempt that is over are ignored: the
// driver repeats events until they are acknowledged, and a late report must not
// end a later attempt.

#include "decide/engine.h"
#include "decide/guarantee_match.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace rattan::decide::detail {

namespace {

    constexpr std::int64_t mostMembers = 4096;

} // namespace

void Engine::on(const TextChanged& text)
{
    for (auto& [id, record] : this->workspaces) {
        record.inText = false;
        record.rule = { .workspace = id };
    }
    for (const WorkspaceRule& rule : text.workspaces) {
        WorkspaceRecord& record = this->workspaces[rule.workspace];
        record.inText = true;
        record.rule = rule;
    }
    std::erase_if(this->workspaces, [](const auto& entry) { return !entry.second.inText && entry.second.running == 0; });
    this->book.setRules(text.workspaces);
    this->regrant();
    this->changed = true;
}

// Gangs in guarantees that the text has taken away run on by another right, so
// that what it gives to others can be reclaimed from them.
void Engine::regrant()
{
    std::vector<JobId> ids;
    for (const auto& [id, job] : this->jobs) {
        const bool affected = std::any_of(job.grants.begin(), job.grants.end(),
            [this](const Grant& grant) { return this->book.all()[grant.slot].retired; });
        if (affected)
            ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    for (const JobId id : ids) {
        JobRecord& job = this->jobs.at(id);
        if (job.state == JobState::Claiming) {
            this->dropClaim(job);
            continue;
        }
        std::vector<Placement> placements = job.placements;
        this->vacate(job);
        job.placements = std::move(placements);
        this->occupyLearned(job);
    }
}

void Engine::on(const JobSubmitted& submitted)
{
    if (this->finishedSet.contains(submitted.job))
        return;
    JobRecord* known = this->find(submitted.job);
    if (known && known->submitted)
        return;
    if (known) {
        this->meetSpec(*known, submitted);
        return;
    }
    JobRecord& job = this->jobs[submitted.job];
    job.spec = submitted;
    job.spec.members = std::clamp<std::int64_t>(submitted.members, 1, mostMembers);
    job.attempt = submitted.attemptsUsed;
    job.everStarted = submitted.attemptsUsed > 0;
    job.failures = submitted.failures;
    job.savedProgress = submitted.savedProgress;
    if (static_cast<std::int64_t>(this->jobs.size()) > this->options.mostJobs && this->fault != Fault::IgnoreLimit) {
        job.state = JobState::Starting; // In no queue.
        this->finish(job, Outcome::Refused, "too many jobs are held at once; submit again later");
        return;
    }
    this->enqueue(job);
    if (!this->paused)
        this->review(job);
}

// The log tells of a gang that was learned from the workers before.
void Engine::meetSpec(JobRecord& job, const JobSubmitted& submitted)
{
    std::vector<Placement> placements = job.placements;
    this->vacate(job);
    job.submitted = true;
    job.spec = submitted;
    job.spec.members = static_cast<std::int64_t>(placements.size());
    job.attempt = std::max(job.attempt, submitted.attemptsUsed);
    job.failures = std::max(job.failures, submitted.failures);
    job.savedProgress = submitted.savedProgress;
    job.placements = std::move(placements);
    this->occupyLearned(job);
}

// Answers a waiting job that may never start.
void Engine::review(JobRecord& job)
{
    if (job.state != JobState::Queued)
        return;
    if (!job.spec.idempotent && job.everStarted) {
        this->finish(job, Outcome::Failed, "an earlier planner may have started it, and it may not be started twice");
        return;
    }
    if (const std::string why = this->whyNever(job); !why.empty())
        this->finish(job, Outcome::Refused, why);
}

void Engine::pause(bool hold)
{
    this->reviewDue = this->reviewDue || (this->paused && !hold);
    this->paused = hold;
    this->book.hold(hold);
    this->changed = true;
}

void Engine::reviewAll()
{
    std::vector<JobId> waiting;
    for (const auto& [id, job] : this->jobs) {
        if (job.state == JobState::Queued)
            waiting.push_back(id);
    }
    std::sort(waiting.begin(), waiting.end());
    for (const JobId id : waiting)
        this->review(this->jobs.at(id));
    this->reviewDue = false;
}

// Judged by every worker ever seen, so that an outage refuses nothing.
std::string Engine::whyNever(const JobRecord& job) const
{
    const GangShape shape = job.shape();
    const auto workspace = this->workspaces.find(job.spec.workspace);
    if (workspace != this->workspaces.end()) {
        const std::int64_t most = workspace->second.rule.mostAccelerators;
        if (most > 0 && shape.accelerators() > most)
            return fmt::format("asks for {} accelerators; the text allows its workspace {} at once", shape.accelerators(), most);
    }
    const RoomIndex& index = this->workers.capacities();
    if (index.workers().empty())
        return "";
    const FitsOn fits = [&](WorkerId worker, std::int64_t limit) {
        return timesInto(this->workers[worker].capacity, shape.perMember, limit);
    };
    if (findPlaces(index, shape, fits, 0))
        return "";
    return fmt::format("no {} here could hold {} members of {} accelerators, {} cores and {} MB, even empty",
        nameOf(shape.adjacency), shape.members, shape.perMember.accelerators, shape.perMember.cores,
        shape.perMember.memoryMb);
}

void Engine::on(const JobCancelled& cancelled)
{
    JobRecord* job = this->find(cancelled.job);
    if (!job || job->cancelled || !job->submitted)
        return;
    job->cancelled = true;
    if (!job->holds())
        this->finish(*job, Outcome::Cancelled, "cancelled by its caller");
    else if (job->state != JobState::Stopping)
        this->stop(*job, StopReason::Cancelled);
}

void Engine::on(const GangLearned& learned)
{
    const bool valid = std::all_of(learned.placements.begin(), learned.placements.end(),
        [this](const Placement& placement) { return this->workers.knows(placement.worker); });
    JobRecord* known = this->find(learned.job);
    if (!valid || learned.placements.empty() || (known && known->holds()))
        return;
    JobRecord& job = known ? *known : this->jobs[learned.job];
    if (!known) {
        job.submitted = false;
        job.spec.job = learned.job;
        job.spec.workspace = learned.workspace;
        job.spec.idempotent = false; // Until the log says otherwise.
        job.spec.members = static_cast<std::int64_t>(learned.placements.size());
        job.spec.perMember = amountsOf(learned.placements.front());
    } else if (job.state == JobState::Queued) {
        this->queue.remove(job);
    } else {
        this->unclaim(job);
        this->book.release(job.grants);
    }
    job.attempt = std::max(job.attempt, learned.attempt);
    job.everStarted = true;
    job.state = JobState::Running;
    job.startedAt = this->now;
    job.placements = learned.placements;
    job.grants.clear();
    this->occupyLearned(job);
    job.answerBy = this->now + this->options.orphanLimit;
    if (!job.submitted)
        this->watchDeadline(job);
    if (!learned.complete)
        this->stop(job, StopReason::Incomplete);
}

// Finds the right by which a gang that was found running holds its workers.
void Engine::occupyLearned(JobRecord& job)
{
    auto grants = bindHomes(this->book, this->workers, job.spec.workspace, job.placements);
    job.grants = grants ? *grants : std::vector<Grant> {};
    if (grants)
        job.right = Right::Guaranteed;
    else
        job.right = job.evictable(this->options.borrowCheckpointLimit) ? Right::Borrowed : Right::Firm;
    this->occupy(job);
    for (const Placement& placement : job.placements) {
        if (this->workers[placement.worker].unpromised() < 0)
            this->book.workerChanged(placement.worker);
    }
    this->book.settle();
    this->changed = true;
}

void Engine::on(const GangStarted& started)
{
    JobRecord* job = this->current(started.job, started.attempt);
    if (!job)
        return;
    job->everStarted = true;
    if (job->state != JobState::Starting)
        return;
    job->state = JobState::Running;
    job->startedAt = this->now;
    for (const Placement& placement : job->placements) {
        this->health.startOver(placement.worker);
        this->updateQuarantine(placement.worker);
    }
}

void Engine::on(const GangFinished& finished)
{
    JobRecord* job = this->current(finished.job, finished.attempt);
    if (!job)
        return;
    job->everStarted = true;
    for (const Placement& placement : job->placements) {
        if (this->health.succeeded(placement.worker))
            this->actions.emplace_back(WorkerRestored { placement.worker });
    }
    if (job->submitted) {
        const double left = std::max(0.05, 1 - job->savedProgress);
        this->estimates.learn(job->spec, static_cast<Millis>(static_cast<double>(this->now - job->startedAt) / left));
    }
    this->vacate(*job);
    if (job->submitted)
        this->finish(*job, Outcome::Done, "");
    else
        this->jobs.erase(finished.job);
}

void Engine::on(const GangStopped& stopped)
{
    if (JobRecord* job = this->current(stopped.job, stopped.attempt))
        this->stopAnswered(*job, stopped.savedProgress);
}

void Engine::stopAnswered(JobRecord& job, double savedProgress)
{
    const StopReason reason = job.stopReason;
    const bool wasOrdered = job.ending();
    const bool lostWorkerEarly = std::exchange(job.lostWorkerEarly, false);
    this->vacate(job);
    // Whether a member ran before the stop arrived cannot be told.
    job.everStarted = true;
    job.savedProgress = std::max(job.savedProgress, std::clamp(savedProgress, 0.0, 1.0));
    if (!job.submitted) {
        this->jobs.erase(job.spec.job);
        return;
    }
    if (job.cancelled) {
        this->finish(job, Outcome::Cancelled, "cancelled by its caller");
    } else if (wasOrdered && reason == StopReason::Overuse) {
        this->finish(job, Outcome::Failed, "used more memory than it asked for, also after it was throttled");
    } else if (!job.spec.idempotent && job.everStarted) {
        this->finish(job, Outcome::Failed, "stopped, and may not be started twice");
    } else if (lostWorkerEarly && ++job.failures >= job.spec.attempts) {
        this->finish(job, Outcome::Failed, fmt::format("{} attempts failed; under the last one a worker was lost", job.failures));
    } else if (this->fault != Fault::LoseJob) {
        job.notBefore = reason == StopReason::Incomplete ? this->now + this->options.firstRetryDelay : this->now;
        this->enqueue(job);
    } else {
        this->jobs.erase(job.spec.job);
    }
}

void Engine::on(const GangFailed& failed)
{
    JobRecord* job = this->current(failed.job, failed.attempt);
    if (!job)
        return;
    if (failed.reason != FailureReason::ReserveRefused)
        job->everStarted = true;
    if (!job->submitted) {
        this->vacate(*job);
        this->jobs.erase(failed.job);
        return;
    }
    // A stop that was on its way explains the failure.
    if (job->ending() && failed.reason != FailureReason::StartFailed) {
        this->stopAnswered(*job, job->savedProgress);
        return;
    }
    this->blame(*job, failed);
    this->vacate(*job);
    if (job->cancelled)
        this->finish(*job, Outcome::Cancelled, "cancelled by its caller");
    else
        this->retryOrFail(*job, failed);
}

void Engine::retryOrFail(JobRecord& job, const GangFailed& failed)
{
    const bool harmless = failed.reason == FailureReason::ReserveRefused;
    if (!job.spec.idempotent && job.everStarted) {
        this->finish(job, Outcome::Failed, fmt::format("{}; it may have run and may not be started twice", nameOf(failed.reason)));
        return;
    }
    job.failures += harmless ? 0 : 1;
    if (job.failures >= job.spec.attempts) {
        this->finish(job, Outcome::Failed,
            fmt::format("{} attempts failed, on {} workers; the last by {}", job.failures, job.failedOn.size(),
                nameOf(failed.reason)));
        return;
    }
    const Millis doubled = this->options.firstRetryDelay << std::min<std::int64_t>(std::max<std::int64_t>(job.failures, 1), 16);
    Millis delay = std::min(doubled, this->options.longestRetryDelay);
    if (!this->retries.tryRetry(job.spec.workspace))
        delay = this->options.longestRetryDelay;
    this->setUpRetry(job, delay);
}

// Jitter keeps jobs that failed together from coming back together.
void Engine::setUpRetry(JobRecord& job, Millis delay)
{
    job.notBefore = this->now + delay / 2 + static_cast<Millis>(this->random() % static_cast<std::uint64_t>(delay / 2 + 1));
    this->enqueue(job);
}

void Engine::on(const UsageReported& usage)
{
    JobRecord* job = this->find(usage.job);
    if (job && job->state == JobState::Running && job->submitted)
        this->curbOveruse(*job, usage.usedMemoryMb);
}

// Memory is what a gang can take from its neighbours beyond what it asked for.
void Engine::curbOveruse(JobRecord& job, std::int64_t usedMemoryMb)
{
    const double asked = static_cast<double>(job.spec.members * job.spec.perMember.memoryMb);
    if (static_cast<double>(usedMemoryMb) <= asked * this->options.overuseFactor) {
        if (job.overuse == OveruseStage::Throttled)
            this->actions.emplace_back(ThrottleGang { job.spec.job, job.attempt, 100 });
        job.overuse = OveruseStage::None;
        return;
    }
    if (job.overuse == OveruseStage::None) {
        job.overuse = OveruseStage::Throttled;
        job.overuseSince = this->now;
        this->actions.emplace_back(ThrottleGang { job.spec.job, job.attempt, 50 });
        return;
    }
    if (this->now - job.overuseSince >= this->options.overuseStep)
        this->evict(job, StopReason::Overuse, false);
}

bool Engine::mayStart(const JobRecord& job) const
{
    return job.state == JobState::Queued && job.notBefore <= this->now && this->withinLimit(job)
        && (job.spec.idempotent || !job.everStarted);
}

} // namespace rattan::decide::detail
