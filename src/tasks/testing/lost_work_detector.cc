#include "tasks/testing/lost_work_detector.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::tasks::testing {

namespace {

    std::int64_t countFitting(const Resources& free, const Resources& each, std::int64_t maxCount)
    {
        std::int64_t count = 0;
        Resources used = each;
        while (count < maxCount && used.fitsIn(free)) {
            ++count;
            used += each;
        }
        return count;
    }

    // The number of running tasks of the unit's step.
    std::int64_t countSiblings(const UnitKey& unit, const std::vector<TaskRef>& running)
    {
        return std::count_if(running.begin(), running.end(), [&](const TaskRef& task) { return task.job == unit.job && task.occurrence == unit.occurrence && task.step == unit.step; });
    }

} // namespace

void LostWorkDetector::check(const View& view, std::vector<std::string>& violations)
{
    if (!view.atAnyLoad && !view.strict && view.usedAccelerators * 2 >= view.accelerators)
        return this->reset();
    std::set<std::string> runningJobs;
    for (const TaskRef& task : view.running)
        runningJobs.insert(task.job);
    std::map<UnitKey, Millis> stillLost;
    for (const Job* job : view.jobs) {
        for (const UnitKey& unit : readyUnits(*job, view)) {
            const UnitKey measured = measuredUnit(*job, unit, view);
            if (stillLost.contains(measured) || !isIdle(*job, unit, view, runningJobs.contains(job->id)) || countFits(*job, unit, view) < 2)
                continue;
            const auto previous = this->lostSince.find(measured);
            const Millis firstSeen = previous == this->lostSince.end() ? view.now : previous->second;
            stillLost[measured] = firstSeen;
            if (view.now - firstSeen >= maxIdleTime && this->reportedUnits.insert(measured).second)
                violations.push_back(fmt::format("{} ms: runnable but not started: {}.{}.{} of {} unfinished jobs, {} of {} accelerators in use", view.now, unit.job, unit.step, unit.index, view.jobs.size(), view.usedAccelerators, view.accelerators));
        }
    }
    this->lostSince = std::move(stillLost);
}

// The unit whose idle time counts: a long-running task, otherwise the job as a whole.
UnitKey LostWorkDetector::measuredUnit(const Job& job, const UnitKey& unit, const View& view)
{
    const bool isMeasuredAlone = view.strict && job.steps[static_cast<std::size_t>(unit.step)].longRunning;
    return isMeasuredAlone ? unit : UnitKey { job.id, 0, 0, wholeGang };
}

bool LostWorkDetector::isIdle(const Job& job, const UnitKey& unit, const View& view, bool isJobRunning)
{
    if (!view.strict || !job.steps[static_cast<std::size_t>(unit.step)].longRunning)
        return !isJobRunning;
    const TaskRef task { unit.job, unit.occurrence, unit.step, std::max<std::int64_t>(unit.index, 0) };
    if (view.running.contains(task))
        return false;
    const Millis lastRunEndedAt = view.lastRunEndedAt(task);
    return lastRunEndedAt == 0 || view.now >= lastRunEndedAt + maxRestartTime;
}

std::vector<UnitKey> LostWorkDetector::readyUnits(const Job& job, const View& view)
{
    std::vector<UnitKey> ready;
    for (std::int64_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
        if (job.repeats > 0 && job.dueAt(occurrence) > view.now)
            break;
        for (const UnitKey& unit : readyUnits(job, occurrence, view))
            ready.push_back(unit);
    }
    return ready;
}

// Returns one unit per step, except for long-running tasks: units of a step differ only in the
// workers on which they failed.
std::vector<UnitKey> LostWorkDetector::readyUnits(const Job& job, std::int64_t occurrence, const View& view)
{
    std::vector<UnitKey> ready;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const Step& step = job.steps[i];
        const auto number = static_cast<std::int64_t>(i);
        const bool isReady = std::all_of(step.dependsOn.begin(), step.dependsOn.end(), [&](std::int64_t earlier) {
            for (std::int64_t index = 0; index < job.steps[static_cast<std::size_t>(earlier)].count; ++index) {
                if (!view.isReportedDone({ job.id, occurrence, earlier, index }))
                    return false;
            }
            return true;
        });
        for (std::int64_t index = 0; isReady && index < step.count; ++index) {
            if (view.isDone({ job.id, occurrence, number, index }))
                continue;
            ready.push_back({ job.id, occurrence, number, step.gang ? wholeGang : index });
            if (step.gang || !view.strict || !step.longRunning)
                break;
        }
    }
    return ready;
}

// How many times the complete unit fits on the workers, up to two.
std::int64_t LostWorkDetector::countFits(const Job& job, const UnitKey& unit, const View& view)
{
    constexpr std::int64_t maxFits = 2;
    const Step& step = job.steps[static_cast<std::size_t>(unit.step)];
    const std::int64_t members = unit.index == wholeGang ? step.count : 1;
    std::map<std::string, std::int64_t> byRack;
    for (const WorkerCapacity& worker : view.workers) {
        if (worker.service != job.terms.service || (!view.strict && view.hasFailedOn(unit, worker.id)))
            continue;
        if (!step.label.empty() && std::find(worker.labels.begin(), worker.labels.end(), step.label) == worker.labels.end())
            continue;
        if (!view.strict && !step.dataRack.empty() && worker.rack != step.dataRack)
            continue;
        std::int64_t maxCount = members * maxFits;
        if (step.maxPerWorker > 0)
            maxCount = std::clamp<std::int64_t>(step.maxPerWorker - countSiblings(unit, worker.running), 0, maxCount);
        byRack[step.sameRack && !view.strict ? worker.rack : ""] += countFitting(worker.free, step.perTask, maxCount);
    }
    std::int64_t fits = 0;
    for (const auto& [rack, count] : byRack)
        fits += count / members;
    return std::min(fits, maxFits);
}

} // namespace rattan::tasks::testing
