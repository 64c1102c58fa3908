#include "tasks/testing/lost_work_judge.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::tasks::testing {

namespace {

    std::int64_t fitting(const Resources& free, const Resources& each, std::int64_t most)
    {
        std::int64_t count = 0;
        Resources used = each;
        while (count < most && used.fitsIn(free)) {
            ++count;
            used += each;
        }
        return count;
    }

} // namespace

void LostWorkJudge::look(const View& view, std::vector<std::string>& broken)
{
    if (view.used * 2 >= view.accelerators)
        return this->disturbed();
    std::set<std::string> begun;
    for (const TaskRef& task : view.running)
        begun.insert(task.job);
    std::map<std::string, Millis> still;
    for (const Job* job : view.jobs) {
        if (begun.contains(job->id))
            continue;
        for (const UnitKey& unit : dueUnits(*job, view)) {
            const std::int64_t fits = countFits(*job, unit, view);
            if (fits < 2)
                continue;
            const auto before = this->since.find(job->id);
            const Millis from = before == this->since.end() ? view.now : before->second;
            still[job->id] = from;
            if (view.now - from >= longest && this->told.insert(job->id).second)
                broken.push_back(fmt::format("{} ms: could run and doesn't: {}.{}.{} of {} jobs that are not over, {} of {} accelerators in use", view.now, unit.job, unit.step, unit.index, view.jobs.size(), view.used, view.accelerators));
            break;
        }
    }
    this->since = std::move(still);
}

// One of each step, since all are alike but for where they have failed.
std::vector<UnitKey> LostWorkJudge::dueUnits(const Job& job, const View& view)
{
    std::vector<UnitKey> due;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const Step& step = job.steps[i];
        const auto number = static_cast<std::int64_t>(i);
        const bool hasTurn = std::all_of(step.dependsOn.begin(), step.dependsOn.end(), [&](std::int64_t earlier) {
            for (std::int64_t index = 0; index < job.steps[static_cast<std::size_t>(earlier)].count; ++index) {
                if (!view.isListed({ job.id, 0, earlier, index }))
                    return false;
            }
            return true;
        });
        for (std::int64_t index = 0; hasTurn && index < step.count; ++index) {
            if (view.isDone({ job.id, 0, number, index }))
                continue;
            due.push_back({ job.id, 0, number, step.gang ? wholeGang : index });
            break;
        }
    }
    return due;
}

// How often the whole unit fits, at most twice.
std::int64_t LostWorkJudge::countFits(const Job& job, const UnitKey& unit, const View& view)
{
    constexpr std::int64_t enough = 2;
    const Step& step = job.steps[static_cast<std::size_t>(unit.step)];
    const std::int64_t members = unit.index == wholeGang ? step.count : 1;
    std::map<std::string, std::int64_t> byRack;
    for (const Place& place : view.places) {
        if (place.service != job.terms.service || view.hasFailedOn(unit, place.id))
            continue;
        if (!step.label.empty() && std::find(place.labels.begin(), place.labels.end(), step.label) == place.labels.end())
            continue;
        if (!step.dataRack.empty() && place.rack != step.dataRack)
            continue;
        const std::int64_t most = step.maxPerWorker > 0 ? std::min(step.maxPerWorker, members * enough) : members * enough;
        byRack[step.sameRack ? place.rack : ""] += fitting(place.free, step.perTask, most);
    }
    std::int64_t fits = 0;
    for (const auto& [rack, count] : byRack)
        fits += count / members;
    return std::min(fits, enough);
}

} // namespace rattan::tasks::testing
