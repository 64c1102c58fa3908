#pragma once

// Detects lost work: a job that was not cancelled and has had no running task for `maxIdleTime`,
// although a task of it is ready, the task fits twice on workers that can take it, and less
// than half of all accelerators are in use; with `atAnyLoad`, however many are in use.
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
    };

    struct View {
        Millis now { 0 };
        std::vector<WorkerCapacity> workers; // Workers that can accept work.
        std::int64_t accelerators { 0 }; // Total of all workers that are present.
        std::int64_t usedAccelerators { 0 }; // Of these, those in use.
        bool atAnyLoad { false };
        std::set<TaskRef> running;
        std::vector<const Job*> jobs; // Jobs that should run.
        std::function<bool(const TaskRef&)> isDone; // True if a run of the task has completed.
        std::function<bool(const TaskRef&)> isReportedDone; // True if a worker has reported the completion to a planner.
        std::function<bool(const UnitKey&, const std::string& worker)> hasFailedOn;
    };

    void check(const View&, std::vector<std::string>& violations);
    void reset() { this->lostSince.clear(); }

private:
    static constexpr Millis maxIdleTime = 3000;

    static std::vector<UnitKey> readyUnits(const Job&, const View&);
    static std::int64_t countFits(const Job&, const UnitKey&, const View&);

    std::map<std::string, Millis> lostSince; // By job: the time at which it was first found to be idle although it could run.
    std::set<std::string> reportedJobs;
};

} // namespace rattan::tasks::testing
