#pragma once

// Computes the times of a planned shutdown, in milliseconds from its signal.
//
//     const ShutdownSchedule schedule = scheduleShutdown(settings.stopGrace);
//
// Failure that this prevents: connections are closed while requests still wait for answers, and
// their callers can't know whether a job was stored.

#include "base/clock.h"

namespace rattan::instance {

struct ShutdownSchedule {
    Millis acceptUntil { 0 }; // Until then, new connections are accepted and requests are served normally.
    Millis answerDeadline { 0 }; // By then, every request is answered, if necessary with "unknown".
    Millis closeDeadline { 0 }; // By then, answers are written; remaining connections are closed.
};

ShutdownSchedule scheduleShutdown(Millis grace);

} // namespace rattan::instance
