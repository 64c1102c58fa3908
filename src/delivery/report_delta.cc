// Both sides keep the list of what runs in the same order: what is still there keeps
// its order, and what is new follows. A run is told by its place, since its name is
// most of the bytes of a row.

#include "delivery/report_delta.h"

#include <algorithm>

namespace rattan::delivery {

using tasks::RunningTask;
using tasks::WorkerReport;

namespace {

    const RunningTask* findRun(const std::vector<RunningTask>& list, const tasks::RunRef& run)
    {
        const auto found = std::find_if(list.begin(), list.end(), [&](const RunningTask& row) { return row.run == run; });
        return found == list.end() ? nullptr : &*found;
    }

    // Adds what has become of the runs of `before`, and gives those that are still there.
    std::vector<RunningTask> compare(const std::vector<RunningTask>& before, const std::vector<RunningTask>& now, ReportDelta& delta)
    {
        std::vector<RunningTask> kept;
        for (std::size_t place = 0; place < before.size(); ++place) {
            const RunningTask* row = findRun(now, before[place].run);
            if (!row) {
                delta.removed.push_back(place);
                continue;
            }
            kept.push_back(*row);
            const bool sameCheckpoint = row->checkpoint == before[place].checkpoint;
            if (row->percent == before[place].percent && sameCheckpoint)
                continue;
            delta.moved.push_back({ place, row->percent, sameCheckpoint ? std::nullopt : std::optional(row->checkpoint) });
        }
        return kept;
    }

    bool applyMoved(const std::vector<MovedTask>& moved, std::vector<RunningTask>& running)
    {
        for (const MovedTask& row : moved) {
            if (row.place >= running.size())
                return false;
            running[row.place].percent = row.percent;
            if (row.checkpoint)
                running[row.place].checkpoint = *row.checkpoint;
        }
        return true;
    }

    bool applyRemoved(const std::vector<std::size_t>& removed, std::vector<RunningTask>& running)
    {
        for (auto place = removed.rbegin(); place != removed.rend(); ++place) {
            if (*place >= running.size())
                return false;
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(*place));
        }
        return true;
    }

} // namespace

ReportDelta ReportEncoder::encode(const std::string& worker, const WorkerReport& report)
{
    ReportDelta delta { .clock = report.clock, .born = report.born };
    delta.ended = report.ended;
    const auto [found, isFirst] = this->told.try_emplace(worker);
    Told& before = found->second;
    delta.whole = isFirst || before.born != report.born;
    if (delta.whole)
        before.running.clear();
    std::vector<RunningTask> running = compare(before.running, report.running, delta);
    for (const RunningTask& row : report.running) {
        if (findRun(before.running, row.run))
            continue;
        delta.added.push_back(row);
        running.push_back(row);
    }
    before = { report.born, std::move(running) };
    return delta;
}

std::optional<WorkerReport> ReportDecoder::decode(const std::string& worker, const ReportDelta& delta)
{
    const auto [found, isFirst] = this->running.try_emplace(worker);
    if (isFirst && !delta.whole) {
        this->running.erase(found);
        return std::nullopt;
    }
    std::vector<RunningTask> running = delta.whole ? std::vector<RunningTask> {} : found->second;
    if (!applyMoved(delta.moved, running) || !applyRemoved(delta.removed, running))
        return std::nullopt;
    running.insert(running.end(), delta.added.begin(), delta.added.end());
    found->second = running;
    return WorkerReport { .clock = delta.clock, .born = delta.born, .running = std::move(running), .ended = delta.ended };
}

} // namespace rattan::delivery
