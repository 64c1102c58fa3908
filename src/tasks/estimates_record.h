#pragma once

// The record of what planners have learned, so that the next one need not begin
// from nothing: run times of queues and speeds of workers.

#include "tasks/run_times.h"
#include "tasks/worker_speeds.h"

#include <string>
#include <string_view>

namespace rattan::tasks {

std::string encodeEstimates(const RunTimes&, const WorkerSpeeds&);

// A record that cannot be read leaves both as they are: everything in it can be
// learned again.
void restoreEstimates(std::string_view record, RunTimes&, WorkerSpeeds&);

} // namespace rattan::tasks
