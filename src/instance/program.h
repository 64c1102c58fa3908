#pragma once

// The program rattan-instance, which is all of rattanrock on an instance of the platform. Every
// instance serves callers, and one instance at a time plans.

#include "base/error.h"
#include "instance/control_loop.h"
#include "instance/settings.h"

#include <functional>

namespace rattan::instance {

// Reads the settings file. Called at startup and on each reload signal.
using ReadSettings = std::function<Result<InstanceSettings>()>;

// Serves until the stop signal; returns the exit code.
int runInstance(const ReadSettings&, Protocols);

} // namespace rattan::instance
