#pragma once

// The record of a planner's estimates, which are run times of queues, speeds of workers and
// forecasts of run times, so that the next planner can continue with them. Planners of earlier
// builds neither write nor read the field of the forecasts.

#include "tasks/run_time_forecaster.h"
#include "tasks/run_times.h"
#include "tasks/worker_speeds.h"

#include <string>
#include <string_view>

namespace rattan::tasks {

// The maximum size of the field of the forecasts in bytes. The record is written at most every
// 2 s, so it takes up to 3 of the 22 KB/s of a node. The field has the levels of groups from
// the coarsest on, of one level those that were updated last; what is left out is learned again.
inline constexpr std::size_t maxForecastsSize = 6000;

std::string encodeEstimates(const RunTimes&, const WorkerSpeeds&, const RunTimeForecaster&);

// Ignores a record that can't be parsed, except for the entries before the error. That is
// harmless, since all estimates can be derived again from later runs. The field of the forecasts
// is used as a whole or, if any part of it is invalid, not at all.
void restoreEstimates(std::string_view record, RunTimes&, WorkerSpeeds&, RunTimeForecaster&);

} // namespace rattan::tasks
