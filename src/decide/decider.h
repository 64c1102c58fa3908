#pragma once

// The decisions for one failure domain: which gang runs where, and when.
//
//     decide::Decider decider(decide::Options {});
//     for (const decide::Action& action : decider.step(decide::WorkerSeen { 1, 0, { 8, 128, 524288 } }, now))
//         carryOut(action);
//     wakeAt(decider.nextWake());      // then step(decide::Tick {}, now)
//
// The same events at the same times with the same seed give the same actions:
// there is no clock, no I/O and no thread in here. Not thread-safe; one thread
// owns a Decider. Work per step is bounded, see docs/DECISIONS.md.
//
// A planner that takes over tells the text, the workers and the gangs found at
// them first, then the submits and cancels of the log, and steps nothing until
// the survey of the workers is complete: actions come from the first event on.
// Hold them back with `pause(true)`, which keeps every step from placing work.

#include "decide/action.h"
#include "decide/event.h"
#include "decide/options.h"
#include "decide/view.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattan::decide {

namespace detail {
    class Engine;
} // namespace detail

class Decider {
public:
    explicit Decider(const Options&);
    ~Decider();
    Decider(Decider&&) noexcept;
    Decider& operator=(Decider&&) noexcept;

    // `now` must never be less than in an earlier step.
    std::vector<Action> step(const Event&, Millis now);

    // While paused nothing new is placed; stops and final answers still come.
    void pause(bool);

    // When a Tick has to come at the latest; the far future if nothing waits.
    Millis nextWake() const;

    // Empty for jobs that were never told or are over.
    std::optional<JobStatus> job(JobId) const;
    std::vector<JobId> jobsOf(WorkspaceId, std::size_t limit) const;

    std::vector<WorkspaceStatus> workspaces() const;
    std::vector<RackStatus> racks() const;
    std::vector<WorkerId> quarantined() const;

    // Of the pieces that the largest waiting shape wants and could have if what is
    // free lay together, the share that it cannot have as it lies; 0 to 1. While
    // nothing waits, of the largest idle guaranteed shapes, which may use what is
    // borrowed. docs/DECISIONS.md argues for this.
    double fragmentation() const;

    // Checks the state against the invariants; empty when all hold. For tests
    // and benchmarks: its time grows with the state.
    std::vector<std::string> violations() const;

    const detail::Engine& engine() const { return *this->inner; }
    detail::Engine& engine() { return *this->inner; }

private:
    std::unique_ptr<detail::Engine> inner;
};

} // namespace rattan::decide
