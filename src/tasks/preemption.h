#pragma once

// Decides whether a waiting unit stops runs of others now, and what each stop costs.
//
// It answers bursts of urgent jobs while all accelerators are in use. Stopping the cheapest runs
// for each urgent unit at once throws away a run whenever another run would have ended by itself
// in time, and the stopped runs start again just to be stopped by the next urgent unit. So a
// unit that can wait for running ones to end, and still end in time itself, reserves their
// resources and stops nothing yet.

#include "base/clock.h"
#include "tasks/job_value.h"

#include <optional>

namespace rattan::tasks {

// How often a unit may be stopped for units that aren't guaranteed.
inline constexpr std::int64_t maxStopsPerUnit = 2;

// The time from the decision to stop runs until the unit runs in their place: stops take up to
// 200 ms, then the run is recorded and its start sent.
inline constexpr Millis stopLeadTime = 500;

// A guaranteed unit stops others at the latest this long after its acceptance. Its bound is
// 2,700 ms, and records, stops and starts may be slow while the store or a link is.
inline constexpr Millis maxGuaranteedWait = 1000;

struct PreemptionInputs {
    bool guaranteed { false };
    bool hasStartBound { false }; // A unit of the first step of a guaranteed job.
    Millis waitingSince { 0 };
    Deadlines latestStarts; // The latest starts at which the job ends in time, or is of any use.
    Millis expectedRunTime { 0 };
    std::optional<Millis> freeAt; // When enough resources become free by themselves; none if unknown.
    Millis now { 0 };
};

struct PreemptionChoice {
    bool stopNow { false };
    Millis reconsiderAt { 0 }; // If it waits: when the wait has to end.
};

PreemptionChoice choosePreemption(const PreemptionInputs&);

// The weight of a run's lost work, from the value of its job if the run goes on and if it starts
// over. Runs whose result is nearly worthless are stopped first, those that become late by the
// stop last.
double stopWeight(double valueIfContinued, double valueIfRestarted);

} // namespace rattan::tasks
