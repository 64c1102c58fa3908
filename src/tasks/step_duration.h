#pragma once

// The duration of a piece of the planner's work for which a pause in proportion follows.
//
//     const Millis counted = countedDuration({ .elapsed = 5540, .processorTime = 20, .cores = 0.5 }); // 200
//
// The pauses keep the planner's work from filling a core, so that answers are read and the term
// is renewed. On a machine with a share of a core, or beside other processes, the work takes
// longer than its processor time, and the pauses have to follow what it takes. While the process
// is suspended it does no work, and a pause in proportion to that time would only delay starts
// and polls further. Without I/O; units are milliseconds.

#include "base/clock.h"

namespace rattan::tasks {

struct StepDuration {
    Millis elapsed { 0 };
    Millis processorTime { 0 }; // Of the thread that did the work.
    double cores { 1 }; // The share of the machine's processors that the process may use.
};

// Elapsed time counts whole up to this limit, whatever the processor time.
inline constexpr Millis maxUnexplainedDuration = 200;

// At most the elapsed time. Beyond the limit it counts only as far as the processor time explains
// it, on a process that gets a quarter of its share of the processors or more.
Millis countedDuration(const StepDuration&);

} // namespace rattan::tasks
