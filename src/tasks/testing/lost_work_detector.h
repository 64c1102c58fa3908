#pragma once

// Detects lost work: a job that was not cancelled and has had no running task for `maxIdleTime`,
// although a task of it is ready, the task fits twice on workers that can take it, and less
// than half of all accelerators are in use; with `atAnyLoad`, however many are in use.
//
// With `strict`, a unit needs only its resources, its label and its limit per worker: one rack, the
// rack of its data and the workers on which it failed are preferences and don't reduce capacity.
// Occurrences of periodic jobs count once they are due. Each long-running task counts by itself,
// from `maxRestartTime` after its last run, whether others of its job run or not.
//
// The detector is given what workers do, not the planner's view. It counts capacity as free at
// once, so a planner must use freed capacity within that time.
//
//     LostWorkDetector detector;
//     if (isCalm) detector.check(view, violations); else detector.reset();
//
// reset() restarts the measurement after a disturbance: while workers are unreachable, no
// planner can know what they run.

#include "tasks/job.h"
#include "tasks/placement.h"
#include "tasks/progress.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattan::tasks::testing {

class LostWorkDetector {
public:
    struct WorkerCapacity {
        std::string id;
        std::string service;
        std::string rack;
        std::vector<std::string> labels;
        Resources free;
        std::vector<TaskRef> running;
    };

    struct View {
        Millis now { 0 };
        std::vector<WorkerCapacity> workers; // Workers that can accept work.
        std::int64_t accelerators { 0 }; // Total of all workers that are present.
        std::int64_t usedAccelerators { 0 }; // Of these, those in use.
        bool atAnyLoad { false };
        bool strict { false };
        std::set<TaskRef> running;
        std::vector<const Job*> jobs; // Jobs that should run.
        std::function<bool(const TaskRef&)> isDone; // True if a run of the task has completed.
        std::function<bool(const TaskRef&)> isReportedDone; // True if a worker has reported the completion to a planner.
        std::function<bool(const UnitKey&, const std::string& worker)> hasFailedOn;
        std::function<Millis(const TaskRef&)> lastRunEndedAt; // 0 if no run of the task has ended.
    };

    void check(const View&, std::vector<std::string>& violations);
    void reset() { this->lostSince.clear(); }

private:
    static constexpr Millis maxIdleTime = 3000;
    static constexpr Millis maxRestartTime = 6000;

    static std::vector<UnitKey> readyUnits(const Job&, const View&);
    static std::vector<UnitKey> readyUnits(const Job&, std::int64_t occurrence, const View&);
    static bool isIdle(const Job&, const UnitKey&, const View&, bool isJobRunning);
    static UnitKey measuredUnit(const Job&, const UnitKey&, const View&);
    static std::int64_t countFits(const Job&, const UnitKey&, const View&);

    std::map<UnitKey, Millis> lostSince; // By measured unit: the time at which it was first found to be idle although it could run.
    std::set<UnitKey> reportedUnits;
};

} // namespace rattan::tasks::testing
