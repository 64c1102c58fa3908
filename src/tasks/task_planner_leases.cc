// Leases: until when a run may be alive at a worker that doesn't answer.
//
// A planner that takes over does not know which leases were granted before. It counts a whole lease
// from the beginning of its term, and the time for which its predecessor may not have noticed yet
// that it was replaced. If it did so in each term, the runs of a worker that is gone would seem
// alive for one lease more with each takeover. Therefore a planner records for each silent worker
// how much is left of the leases there. That no lease outlasts this bound rests on three things:
//  * From before the record is written until the record that drops it is durable, the planner grants
//    no lease there. A planner that was replaced without knowing it can't drop it any more, since the
//    store refuses its records.
//  * The time that is left counts from when the reader has read the record, which is later than when
//    it was written. So neither wall-clock time, nor a suspended process, nor a late record matters.
//  * Only the planner of the very next term uses it. Any planner in between may have granted leases.
// So the next planner considers a run lost no earlier than the one that wrote the record would have.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::tasks {

using namespace detail;

void TaskPlanner::grantLease(Worker& worker, Millis now) const
{
    const auto maxDuration = static_cast<Millis>(static_cast<double>(this->options.maxLease) * leaseClockFactor);
    worker.leaseEndsBy = std::max(worker.leaseEndsBy, now + maxDuration + clockUncertainty);
}

void TaskPlanner::expireLeases(Millis now)
{
    for (auto& [id, worker] : this->workers) {
        if (worker.placedRuns.empty() || now < worker.leaseEndsBy)
            continue;
        // The worker answers but was not polled in time. It is polled first, since a run that has
        // completed would run a second time if it were considered lost without reading its end.
        if (worker.hasAnswered && !worker.silent && worker.incarnationConfirmedAt < worker.leaseEndsBy) {
            worker.nextPollAt = std::min(worker.nextPollAt, now);
            continue;
        }
        std::vector<RunRef> expired;
        for (const auto& [run, placedRun] : worker.placedRuns) {
            if (placedRun.phase != RunPhase::Recording)
                expired.push_back(run);
        }
        if (expired.empty())
            continue;
        this->emit(PlanEventKind::WorkerLapsed, {}, 0, id, fmt::format("{} runs, no answer for a whole lease", expired.size()));
        for (const RunRef& run : expired)
            this->loseRun(worker, run, RunLoss::LeaseOver, now);
        worker.hasAnswered = false; // A poll must show what runs there now.
    }
}

void TaskPlanner::adoptLeaseLimits()
{
    for (const auto& [id, limit] : this->jobTable.leaseLimits()) {
        this->inheritedLimits.insert(id);
        const auto found = this->workers.find(id);
        if (found != this->workers.end() && limit.term == this->options.previousTerm)
            found->second.leaseEndsBy = std::min(found->second.leaseEndsBy, limit.endsBy);
    }
}

// Not while a start waits for its record or may be repeated, since each attempt grants a lease.
bool TaskPlanner::isLeaseLimitDue(const Worker& worker, Millis now) const
{
    const bool isUnreachable = !worker.hasAnswered && worker.description.address.empty(); // No poll can be sent.
    if (!(worker.silent || isUnreachable) || !worker.needsLease() || !this->mayGrantLease(worker))
        return false;
    const Millis quietSince = worker.silent ? worker.silentSince : this->termStartedAt;
    if (now < quietSince + leaseLimitDelay || now + minRecordedLease > worker.leaseEndsBy)
        return false;
    return std::none_of(worker.placedRuns.begin(), worker.placedRuns.end(), [](const auto& row) {
        const PlacedRun& placedRun = row.second;
        const bool mayBeRepeated = placedRun.phase == RunPhase::Starting && !placedRun.inherited && !placedRun.stopRequested;
        return placedRun.phase == RunPhase::Recording || mayBeRepeated;
    });
}

// The record of a start may be in the same batch.
bool TaskPlanner::mustDropLeaseLimit(const std::string& id) const
{
    const auto found = this->workers.find(id);
    if (found == this->workers.end())
        return true;
    const Worker& worker = found->second;
    const bool awaitsStart = std::any_of(worker.placedRuns.begin(), worker.placedRuns.end(), [](const auto& row) { return row.second.phase == RunPhase::Recording; });
    return awaitsStart || !worker.needsLease() || (worker.hasAnswered && !worker.silent);
}

void TaskPlanner::findLeaseLimitChanges(Millis now)
{
    this->limitsToRecord.clear();
    this->limitsToDrop.clear();
    for (const auto& [id, worker] : this->workers) {
        if (this->limitsToRecord.size() < maxLeaseLimitsPerBatch && this->isLeaseLimitDue(worker, now))
            this->limitsToRecord.push_back(id);
    }
    for (const std::string& id : this->limitedWorkers) {
        if (this->mustDropLeaseLimit(id))
            this->limitsToDrop.push_back(id);
    }
}

void TaskPlanner::recordLeaseLimits(RecordBatch& batch, Millis now)
{
    for (const std::string& id : this->limitsToRecord) {
        const Millis remaining = this->workers.at(id).leaseEndsBy - now;
        batch.jobs.emplace_back(formatKey({ RecordKind::LeaseLimit, id }), encodeLeaseLimit({ this->options.term, remaining }));
        this->limitedWorkers.insert(id);
        this->inheritedLimits.erase(id);
    }
    // No planner uses those of earlier terms any more.
    this->limitsToDrop.insert(this->limitsToDrop.end(), this->inheritedLimits.begin(), this->inheritedLimits.end());
    this->inheritedLimits.clear();
    for (const std::string& id : this->limitsToDrop)
        batch.jobs.emplace_back(formatKey({ RecordKind::LeaseLimit, id }), "");
    this->limitsDroppedInBatch = std::exchange(this->limitsToDrop, {});
    this->limitsToRecord.clear();
}

void TaskPlanner::leaseLimitsRecorded()
{
    for (const std::string& id : std::exchange(this->limitsDroppedInBatch, {}))
        this->limitedWorkers.erase(id);
}

} // namespace rattan::tasks
