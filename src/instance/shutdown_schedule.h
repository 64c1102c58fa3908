#pragma once

// What a planned stop does when, in milliseconds from its signal.
//
//     const StopPlan plan = planStop(settings.grace);
//
// What goes wrong without it: connections are closed under requests whose answers
// take longer than the stop waits, and their callers can't know whether a job was stored.

#include "base/clock.h"

namespace rattan::instance {

struct ShutdownSchedule {
    Millis acceptUntil { 0 }; // Until then new connections may come, and callers are served as ever.
    Millis answerDeadline { 0 }; // By then every request is answered, if need be with "unknown".
    Millis closeDeadline { 0 }; // By then answers are written; what is left is cut.
};

ShutdownSchedule scheduleShutdown(Millis grace);

} // namespace rattan::instance
