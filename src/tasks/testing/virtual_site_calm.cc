// What a judge of lost work is shown of a site, and when: never near a fault.

#include "tasks/testing/virtual_site.h"

#include <algorithm>

namespace rattan::tasks::testing {

bool VirtualSite::isDisturbed() const
{
    const SiteOptions& faults = this->options;
    if (!this->planner || faults.lostOrders > 0 || faults.lostAnswers > 0 || faults.lateOrders > 0 || faults.lostAdvice > 0)
        return true;
    if (this->startsWait > 0 || this->nextStartLate > 0 || this->startsKeptBack > 0 || this->recordsWait > 0)
        return true;
    return std::any_of(this->workers.begin(), this->workers.end(), [](const auto& row) { return !row.second.crashed && (row.second.cut || row.second.stalls || row.second.failsAll); });
}

// Runs on a worker that is gone are given up a lease later.
void VirtualSite::judgeLostWork()
{
    constexpr Millis lookEvery = 100;
    constexpr Millis spare = 1000;
    if (this->isDisturbed())
        this->disturb();
    if (this->now % lookEvery != 0)
        return;
    if (this->now < this->disturbedAt + this->options.lease + spare)
        return this->lostWork.disturbed();
    this->lostWork.look(this->viewOfWork(), this->broken);
}

LostWorkJudge::View VirtualSite::viewOfWork() const
{
    LostWorkJudge::View view;
    view.now = this->now;
    for (const auto& [id, worker] : this->workers) {
        if (!worker.listed || worker.crashed)
            continue;
        Resources free = worker.capacity;
        for (const auto& [ref, run] : worker.running) {
            free -= run.room;
            view.running.insert(ref.task);
            view.used += run.room.accelerators;
        }
        view.accelerators += worker.capacity.accelerators;
        constexpr int enoughFailures = 2; // After as many a planner may do without it.
        if (!worker.leaving && !worker.hasStalled && worker.failuresInARow < enoughFailures)
            view.places.push_back({ id, "s", worker.rack, { "k", worker.rack }, free });
    }
    for (const auto& [id, job] : this->jobs) {
        // Where advice or the calendar decides as well, it cannot be told from here.
        const bool isToBeDone = !this->cancelled.contains(id) && !isFinal(this->stateOf(id)) && !this->hasFailedForGood(id);
        if (isToBeDone && job.repeats == 0 && job.terms.advice.ticketValidity == 0)
            view.jobs.push_back(&job);
    }
    view.isDone = [this](const TaskRef& task) { return this->done.contains(task); };
    view.isListed = [this](const TaskRef& task) { return this->doneListed.contains(task); };
    view.hasFailedOn = [this](const UnitKey& unit, const std::string& worker) {
        const auto failed = this->failedOn.find(unit);
        return failed != this->failedOn.end() && failed->second.contains(worker);
    };
    return view;
}

bool VirtualSite::hasFailedForGood(const std::string& id) const
{
    const std::int64_t most = this->jobs.at(id).terms.maxAttempts;
    for (auto next = this->failedRuns.lower_bound({ id, 0, 0, wholeGang }); next != this->failedRuns.end() && next->first.job == id; ++next) {
        if (static_cast<std::int64_t>(next->second.size()) >= most)
            return true;
    }
    return false;
}

void VirtualSite::noteListed(const WorkerReport& report)
{
    for (const EndedTask& end : report.ended) {
        if (end.end != RunEnd::Done)
            continue;
        const Step& step = this->stepOf(end.run.task);
        this->doneListed.insert(end.run.task);
        for (std::int64_t index = 0; step.gang && index < step.count; ++index)
            this->doneListed.insert({ end.run.task.job, end.run.task.occurrence, end.run.task.step, index });
    }
}

} // namespace rattan::tasks::testing
