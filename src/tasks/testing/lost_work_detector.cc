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

} // namespace

void LostWorkDetector::check(const View& view, std::vector<std::string>& violations)
{
    if (!view.atAnyLoad && view.usedAccelerators * 2 >= view.accelerators)
        return this->reset();
    std::set<std::string> runningJobs;
    for (const TaskRef& task : view.running)
        runningJobs.insert(task.job);
    std::map<std::string, Millis> stillLost;
    for (const Job* job : view.jobs) {
        if (runningJobs.contains(job->id))
            continue;
        for (const UnitKey& unit : readyUnits(*job, view)) {
            const std::int64_t fits = countFits(*job, unit, view);
            if (fits < 2)
                continue;
            const auto previous = this->lostSince.find(job->id);
            const Millis firstSeen = previous == this->lostSince.end() ? view.now : previous->second;
            stillLost[job->id] = firstSeen;
            if (view.now - firstSeen >= maxIdleTime && this->reportedJobs.insert(job->id).second)
                violations.push_back(fmt::format("{} ms: runnable but not started: {}.{}.{} of {} unfinished jobs, {} of {} accelerators in use", view.now, unit.job, unit.step, unit.index, view.jobs.size(), view.usedAccelerators, view.accelerators));
            break;
        }
    }
    this->lostSince = std::move(stillLost);
}

// Returns one unit per step: units of a step differ only in the workers on which they failed.
std::vector<UnitKey> LostWorkDetector::readyUnits(const Job& job, const View& view)
{
    std::vector<UnitKey> ready;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const Step& step = job.steps[i];
        const auto number = static_cast<std::int64_t>(i);
        const bool isReady = std::all_of(step.dependsOn.begin(), step.dependsOn.end(), [&](std::int64_t earlier) {
            for (std::int64_t index = 0; index < job.steps[static_cast<std::size_t>(earlier)].count; ++index) {
                if (!view.isReportedDone({ job.id, 0, earlier, index }))
                    return false;
            }
            return true;
        });
        for (std::int64_t index = 0; isReady && index < step.count; ++index) {
            if (view.isDone({ job.id, 0, number, index }))
                continue;
            ready.push_back({ job.id, 0, number, step.gang ? wholeGang : index });
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
        if (worker.service != job.terms.service || view.hasFailedOn(unit, worker.id))
            continue;
        if (!step.label.empty() && std::find(worker.labels.begin(), worker.labels.end(), step.label) == worker.labels.end())
            continue;
        if (!step.dataRack.empty() && worker.rack != step.dataRack)
            continue;
        const std::int64_t maxCount = step.maxPerWorker > 0 ? std::min(step.maxPerWorker, members * maxFits) : members * maxFits;
        byRack[step.sameRack ? worker.rack : ""] += countFitting(worker.free, step.perTask, maxCount);
    }
    std::int64_t fits = 0;
    for (const auto& [rack, count] : byRack)
        fits += count / members;
    return std::min(fits, maxFits);
}

} // namespace rattan::tasks::testing
