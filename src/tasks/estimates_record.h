#pragma once

// The record of a planner's estimates, which are run times of queues and speeds of workers,
// so that the next planner can continue with them.

#include "tasks/run_times.h"
#include "tasks/worker_speeds.h"

#include <string>
#include <string_view>

namespace rattan::tasks {

std::string encodeEstimates(const RunTimes&, const WorkerSpeeds&);

// Ignores a record that can't be parsed, except for the entries before the error. That is
// harmless, since all estimates can be derived again from later runs.
void restoreEstimates(std::string_view record, RunTimes&, WorkerSpeeds&);

} // namespace rattan::tasks
