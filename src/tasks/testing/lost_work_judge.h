#pragma once

// Judges whether work is lost: a job that nobody cancelled has nothing running for a
// while, although the turn of one of its tasks has come, the task fits twice over on
// workers that can take it, and less than half of all accelerators are in use.
//
// It is shown what workers do, not what a planner believes. Resources that is only just free
// counts as well, so a planner has to see it within that while.
//
//     LostWorkJudge judge;
//     if (isCalm) judge.look(view, broken); else judge.disturbed();
//
// Told of a disturbance it begins anew: while workers are out of reach, nobody can know
// what runs there.

#include "tasks/job.h"
#include "tasks/placement.h"
#include "tasks/progress.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattan::tasks::testing {

class LostWorkJudge {
public:
    struct Place {
        std::string id;
        std::string service;
        std::string rack;
        std::vector<std::string> labels;
        Resources free;
    };

    struct View {
        Millis now { 0 };
        std::vector<Place> places; // Workers that can take work.
        std::int64_t accelerators { 0 }; // Of all workers that are present,
        std::int64_t used { 0 }; // and in use there.
        std::set<TaskRef> running;
        std::vector<const Job*> jobs; // That are to be done.
        std::function<bool(const TaskRef&)> isDone; // Its run has ended well.
        std::function<bool(const TaskRef&)> isListed; // A worker has told so.
        std::function<bool(const UnitKey&, const std::string& worker)> hasFailedOn;
    };

    void look(const View&, std::vector<std::string>& broken);
    void disturbed() { this->since.clear(); }

private:
    static constexpr Millis longest = 3000;

    static std::vector<UnitKey> dueUnits(const Job&, const View&);
    static std::int64_t countFits(const Job&, const UnitKey&, const View&);

    std::map<std::string, Millis> since; // When what is wrong with a job was first seen.
    std::set<std::string> told;
};

} // namespace rattan::tasks::testing
