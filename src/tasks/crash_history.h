#pragma once

// Workers that crashed under the runs of a unit, and whether that is enough to give its
// job up. A task may crash each worker that starts it; a task beside it loses the same
// worker and is not to blame.
//
//     CrashHistory crashes;
//     crashes.add({ .run = 1, .task = 0, .evidence = CrashEvidence::Early });
//     if (crashes.isExhausted(unit.run)) ... // Two, if the second was alone there; three, if two
//                                            // were early; or two more runs after any three.
//
// Counted by run and task, since the same crash may be noticed again by a planner that
// takes over. Of a gang each member is a task: that its workers crash in turn under
// different members says nothing of any one of them.

#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace rattan::tasks {

enum class CrashEvidence {
    Unproven, // The run may not have begun, or its worker may go on out of reach.
    Late, // The worker crashed when the run had been alive for a while.
    Early, // It crashed soon after the run began.
    Alone, // The same, and nothing else ran there.
};

std::string_view nameOf(CrashEvidence);

struct CrashedRun {
    std::int64_t run { 0 };
    std::int64_t task { 0 }; // Its index in the step.
    CrashEvidence evidence { CrashEvidence::Unproven };

    bool operator==(const CrashedRun&) const = default;
};

class CrashHistory {
public:
    // False if it is known already.
    bool add(const CrashedRun&);

    // The run has been heard of again: its worker had not crashed.
    void retract(std::int64_t run, std::int64_t task) { this->crashes.erase({ task, run }); }

    void clear() { this->crashes.clear(); }

    // Some task has taken so many workers along that it must not be started again after
    // this run.
    bool shouldGiveUp(std::int64_t lastRun) const;

    std::size_t size() const { return this->crashes.size(); }
    std::vector<CrashedRun> all() const;

private:
    std::map<std::pair<std::int64_t, std::int64_t>, CrashEvidence> crashes; // By task and run.
};

} // namespace rattan::tasks
