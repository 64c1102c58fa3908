#pragma once

// Worker crashes during the runs of a unit, and whether they suffice to give up its job. A
// task may crash every worker that starts it, while another task on that worker only
// loses its worker and isn't the cause.
//
// A job may be shown as failed only if it has failed, so a task is given up only for proven crashes
// in a row, each soon after the start of its run, with no run in between that survived its start:
// after three, or after two if it was started twice more after its third loss. Losses without proof
// never suffice, however many they are: the worker may be cut off, may have left, or may not have
// started the run.
//
//     CrashHistory crashes;
//     crashes.add({ .run = 1, .task = 0, .evidence = CrashEvidence::Early });
//     crashes.add({ .run = 2, .task = 0, .evidence = CrashEvidence::Unproven });
//     crashes.add({ .run = 3, .task = 0, .evidence = CrashEvidence::Alone });
//     crashes.taskToGiveUp(4); // None: there are two proven crashes, and one more run.
//     crashes.taskToGiveUp(5); // 0
//
// Crashes are identified by run and task, since a planner that takes over may detect the
// same crash again. Each member of a gang is a separate task: crashes of the workers of
// different members are not evidence against any one of them.

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace rattan::tasks {

enum class CrashEvidence {
    Unproven, // The run may not have started, or its worker may be alive but unreachable.
    Late, // The run survived its start, so the task doesn't crash the workers that start it.
    Early, // The worker crashed soon after the run started.
    Alone, // As Early, and no other run was on the worker.
};

std::string_view nameOf(CrashEvidence);

struct CrashedRun {
    std::int64_t run { 0 };
    std::int64_t task { 0 }; // The index of the task in the step.
    CrashEvidence evidence { CrashEvidence::Unproven };

    bool operator==(const CrashedRun&) const = default;
};

class CrashHistory {
public:
    // Returns false if the crash is already known.
    bool add(const CrashedRun&);

    // Removes a crash, because its worker has reported the run again and so did not crash.
    void retract(std::int64_t run, std::int64_t task) { this->crashes.erase({ task, run }); }

    void clear() { this->crashes.clear(); }

    // The index of a task that has crashed so many workers that it must not be started again
    // after this run, if there is one.
    std::optional<std::int64_t> taskToGiveUp(std::int64_t lastRun) const;

    std::size_t size() const { return this->crashes.size(); }
    std::vector<CrashedRun> all() const;

private:
    std::map<std::pair<std::int64_t, std::int64_t>, CrashEvidence> crashes; // The key is task and run.
};

} // namespace rattan::tasks
