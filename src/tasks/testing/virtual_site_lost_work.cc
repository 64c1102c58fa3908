// The input of the lost work detector for a site. The detector is not run while a fault is
// active or recent.

#include "tasks/testing/virtual_site.h"

#include <algorithm>

namespace rattan::tasks::testing {

bool VirtualSite::hasActiveFault() const
{
    const SiteOptions& faults = this->options;
    if (!this->planner || faults.lostOrders > 0 || faults.lostAnswers > 0 || faults.lateOrders > 0 || faults.lostAdvice > 0)
        return true;
    if (this->now < this->frozenUntil)
        return true;
    if (this->startDelay > 0 || this->nextStartDelay > 0 || this->suppressedStarts > 0 || this->recordDelay > 0)
        return true;
    return std::any_of(this->workers.begin(), this->workers.end(), [](const auto& row) { return !row.second.crashed && (row.second.isPartitioned || row.second.isStalled || row.second.failsAll); });
}

// Checks for lost work, but not until a while after the last fault, by default one lease and a
// margin: the planner gives up the runs of an unreachable worker only after one lease.
void VirtualSite::checkLostWork()
{
    constexpr Millis checkInterval = 100;
    constexpr Millis margin = 1000;
    constexpr Millis strictCalmAfterFault = 4000;
    if (this->hasActiveFault())
        this->recordFault();
    if (this->now % checkInterval != 0)
        return;
    Millis calmAfterFault = this->options.calmAfterFault > 0 ? this->options.calmAfterFault : this->options.lease + margin;
    if (this->options.checkLostWorkStrictly)
        calmAfterFault = strictCalmAfterFault;
    if (this->now < this->lastFaultAt + calmAfterFault)
        return this->lostWorkDetector.reset();
    this->lostWorkDetector.check(this->detectorView(), this->violations);
}

LostWorkDetector::View VirtualSite::detectorView() const
{
    LostWorkDetector::View view;
    view.now = this->now;
    view.atAnyLoad = this->options.checkLostWorkAtAnyLoad;
    view.strict = this->options.checkLostWorkStrictly;
    for (const auto& [id, worker] : this->workers) {
        if (!worker.listed || worker.crashed)
            continue;
        Resources free = worker.capacity;
        std::vector<TaskRef> running;
        for (const auto& [ref, run] : worker.running) {
            free -= run.resources;
            view.running.insert(ref.task);
            running.push_back(ref.task);
            view.usedAccelerators += run.resources.accelerators;
        }
        view.accelerators += worker.capacity.accelerators;
        constexpr int failureLimit = 2; // After this many failures the planner may stop using the worker.
        const bool isSuspect = !view.strict && (worker.wasStalled || worker.consecutiveFailures >= failureLimit);
        if (!worker.leaving && !this->evacuatedDomains.contains(worker.rack) && !isSuspect)
            view.workers.push_back({ id, worker.service, worker.rack, { "k", worker.rack }, free, std::move(running) });
    }
    for (const auto& [id, job] : this->jobs) {
        // For jobs that also depend on advice, the site cannot determine whether they should run.
        const bool isPending = !this->cancelled.contains(id) && !isFinal(this->stateOf(id)) && !this->hasExhaustedAttempts(id);
        if (isPending && (job.repeats == 0 || view.strict) && job.terms.advice.ticketValidity == 0)
            view.jobs.push_back(&job);
    }
    view.isDone = [this](const TaskRef& task) { return this->done.contains(task); };
    view.isReportedDone = [this](const TaskRef& task) { return this->reportedDone.contains(task); };
    view.hasFailedOn = [this](const UnitKey& unit, const std::string& worker) {
        const auto failed = this->failedOn.find(unit);
        return failed != this->failedOn.end() && failed->second.contains(worker);
    };
    view.lastRunEndedAt = [this](const TaskRef& task) {
        const auto ended = this->lastRunEndedAt.find(task);
        return ended == this->lastRunEndedAt.end() ? Millis { 0 } : ended->second;
    };
    return view;
}

bool VirtualSite::hasExhaustedAttempts(const std::string& id) const
{
    const std::int64_t maxAttempts = this->jobs.at(id).terms.maxAttempts;
    for (auto next = this->failedRuns.lower_bound({ id, 0, 0, wholeGang }); next != this->failedRuns.end() && next->first.job == id; ++next) {
        if (static_cast<std::int64_t>(next->second.size()) >= maxAttempts)
            return true;
    }
    return false;
}

void VirtualSite::recordReportedEnds(const WorkerReport& report)
{
    for (const EndedTask& end : report.ended) {
        if (end.end != RunEnd::Done)
            continue;
        const Step& step = this->stepOf(end.run.task);
        this->reportedDone.insert(end.run.task);
        for (std::int64_t index = 0; step.gang && index < step.count; ++index)
            this->reportedDone.insert({ end.run.task.job, end.run.task.occurrence, end.run.task.step, index });
    }
}

} // namespace rattan::tasks::testing
