#pragma once

// The planner process: all threads, from settings to graceful shutdown.

#include "planner/options.h"

namespace rattan::planner {

// Runs until a stop signal or a drain; the exit code.
int runPlanner(const PlannerOptions&);

} // namespace rattan::planner
