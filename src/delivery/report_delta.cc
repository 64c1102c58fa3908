// Both sides keep the list of running tasks in the same order: remaining runs keep their order
// and new ones are appended. A run is identified by its position, since its name makes up most
// of the bytes of a row.

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

    // Adds the removed and changed runs of `previous` to the delta; returns the remaining ones.
    std::vector<RunningTask> diffRunning(const std::vector<RunningTask>& previous, const std::vector<RunningTask>& current, ReportDelta& delta)
    {
        std::vector<RunningTask> remaining;
        for (std::size_t position = 0; position < previous.size(); ++position) {
            const RunningTask* row = findRun(current, previous[position].run);
            if (!row) {
                delta.removed.push_back(position);
                continue;
            }
            remaining.push_back(*row);
            const bool sameCheckpoint = row->checkpoint == previous[position].checkpoint;
            if (row->percent == previous[position].percent && sameCheckpoint)
                continue;
            delta.changed.push_back({ position, row->percent, sameCheckpoint ? std::nullopt : std::optional(row->checkpoint) });
        }
        return remaining;
    }

    bool applyChanged(const std::vector<ChangedTask>& changed, std::vector<RunningTask>& running)
    {
        for (const ChangedTask& row : changed) {
            if (row.position >= running.size())
                return false;
            running[row.position].percent = row.percent;
            if (row.checkpoint)
                running[row.position].checkpoint = *row.checkpoint;
        }
        return true;
    }

    bool applyRemoved(const std::vector<std::size_t>& removed, std::vector<RunningTask>& running)
    {
        for (auto position = removed.rbegin(); position != removed.rend(); ++position) {
            if (*position >= running.size())
                return false;
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(*position));
        }
        return true;
    }

} // namespace

ReportDelta ReportEncoder::encode(const std::string& worker, const WorkerReport& report)
{
    ReportDelta delta { .clock = report.clock, .born = report.born };
    delta.ended = report.ended;
    delta.hasMoreEnds = report.hasMoreEnds;
    const auto [found, isFirst] = this->lastReports.try_emplace(worker);
    LastReport& previous = found->second;
    delta.isSnapshot = isFirst || previous.born != report.born;
    if (delta.isSnapshot)
        previous.running.clear();
    std::vector<RunningTask> running = diffRunning(previous.running, report.running, delta);
    for (const RunningTask& row : report.running) {
        if (findRun(previous.running, row.run))
            continue;
        delta.added.push_back(row);
        running.push_back(row);
    }
    previous = { report.born, std::move(running) };
    return delta;
}

std::optional<WorkerReport> ReportDecoder::decode(const std::string& worker, const ReportDelta& delta)
{
    const auto [found, isFirst] = this->running.try_emplace(worker);
    if (isFirst && !delta.isSnapshot) {
        this->running.erase(found);
        return std::nullopt;
    }
    std::vector<RunningTask> running = delta.isSnapshot ? std::vector<RunningTask> {} : found->second;
    if (!applyChanged(delta.changed, running) || !applyRemoved(delta.removed, running))
        return std::nullopt;
    running.insert(running.end(), delta.added.begin(), delta.added.end());
    found->second = running;
    return WorkerReport { .clock = delta.clock, .born = delta.born, .running = std::move(running), .ended = delta.ended, .hasMoreEnds = delta.hasMoreEnds };
}

} // namespace rattan::delivery
