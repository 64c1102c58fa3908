// Workers that come, go, change and fail, and what that does to gangs, homes
// and claims on them.

#include "decide/engine.h"

#include <algorithm>

namespace rattan::decide::detail {

void Engine::on(const WorkerSeen& seen)
{
    if (seen.worker >= mostWorkers)
        return;
    WorkerRecord& record = this->workers.edit(seen.worker);
    if (record.known && record.present && !record.leaving && record.rack == seen.rack && record.capacity == seen.capacity)
        return;
    // A unit is a share of the capacity, so firm gangs are counted anew.
    this->setFirm(record, seen.worker, -1);
    record.known = true;
    record.present = true;
    record.leaving = false;
    record.rack = seen.rack;
    record.capacity = seen.capacity;
    this->setFirm(record, seen.worker, 1);
    this->workerUsableChanged(seen.worker);
}

void Engine::setFirm(WorkerRecord& record, WorkerId worker, int sign)
{
    for (const JobId id : record.gangs) {
        const JobRecord& job = this->jobs.at(id);
        for (const Placement& placement : job.placements) {
            if (job.right == Right::Firm && placement.worker == worker)
                record.firm += sign * record.unitsOf(amountsOf(placement));
        }
    }
}

void Engine::on(const WorkerLeaving& leaving)
{
    if (!this->workers.knows(leaving.worker) || this->workers[leaving.worker].leaving)
        return;
    this->workers.edit(leaving.worker).leaving = true;
    this->workerUsableChanged(leaving.worker);
    const std::vector<JobId> gangs = this->workers[leaving.worker].gangs;
    for (const JobId id : gangs) {
        JobRecord& job = this->jobs.at(id);
        if (job.savable(this->options.borrowCheckpointLimit))
            this->evict(job, StopReason::Moved, false);
    }
}

void Engine::on(const WorkerLost& lost)
{
    if (!this->workers.knows(lost.worker) || !this->workers[lost.worker].present)
        return;
    this->workers.edit(lost.worker).present = false;
    this->workerUsableChanged(lost.worker);
    const std::vector<JobId> gangs = this->workers[lost.worker].gangs;
    for (const JobId id : gangs) {
        JobRecord& job = this->jobs.at(id);
        if (job.state == JobState::Stopping)
            continue;
        // One that was leaving has left.
        job.lostWorkerEarly = !this->workers[lost.worker].leaving && this->now - job.startedAt < steadyAfter;
        this->stop(job, StopReason::Incomplete);
    }
}

void Engine::workerUsableChanged(WorkerId worker)
{
    this->workers.refresh(worker);
    this->book.workerChanged(worker);
    if (!this->workers[worker].usable())
        this->dropClaimsOn(worker);
    this->changed = true;
}

void Engine::dropClaimsOn(WorkerId worker)
{
    const std::vector<JobId> claims = this->workers[worker].claims;
    for (const JobId id : claims)
        this->dropClaim(this->jobs.at(id));
}

void Engine::updateQuarantine(WorkerId worker)
{
    WorkerRecord& record = this->workers.edit(worker);
    const bool blocked = this->health.isQuarantined(worker);
    if (record.quarantined == blocked)
        return;
    record.quarantined = blocked;
    this->workerUsableChanged(worker);
}

void Engine::blame(JobRecord& job, const GangFailed& failed)
{
    const bool early = this->now - job.startedAt < steadyAfter || job.state == JobState::Starting;
    if (!failed.worker || !this->workers.knows(*failed.worker) || failed.reason == FailureReason::LeaseLapsed || !early)
        return;
    const WorkerId worker = *failed.worker;
    if (std::find(job.failedOn.begin(), job.failedOn.end(), worker) == job.failedOn.end())
        job.failedOn.push_back(worker);
    if (failed.reason != FailureReason::ReserveRefused && job.failedOn.size() > 1) {
        this->health.forgive(job.spec.job, job.failedOn);
        return;
    }
    if (!this->health.failed(worker, job.spec.job, this->now))
        return;
    this->updateQuarantine(worker);
    this->actions.emplace_back(WorkerQuarantined { worker, this->health.until(worker) });
}

} // namespace rattan::decide::detail
