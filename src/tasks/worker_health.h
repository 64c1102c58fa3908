#pragma once

// Decides from the results of runs whether a worker may be given more of them. A worker on
// which every run fails or stalls still answers polls like a healthy one. Without this
// check, tasks would be sent there again and again until their jobs are given up. Two
// consecutive failures, which happen on healthy workers about once in a thousand runs,
// quarantine the worker for a time that doubles with each quarantine. After that, a single
// run probes the worker.

#include "base/clock.h"

namespace rattan::tasks {

class WorkerHealth {
public:
    void runSucceeded();
    void runFailed(Millis now);
    void runStalled(Millis now); // A single stall is enough for a quarantine.

    // True if a run may start there. While probing, that is one run at a time: `noRun` is true
    // if none has started since the quarantine ended.
    bool canTakeRun(Millis now, bool noRun) const;

    // True if no run has succeeded since one failed or stalled.
    bool hasFailedLast() const { return this->consecutiveFailures > 0; }

    // True from the start of a quarantine until a run succeeds.
    bool isProbing() const { return this->consecutiveFailures >= failuresToQuarantine; }

    // The end of the last quarantine, or 0 if a run has succeeded since.
    Millis quarantinedUntil() const { return this->quarantineEnd; }

private:
    static constexpr int failuresToQuarantine = 2;
    static constexpr Millis minQuarantine = 4000; // The time of about two short runs.
    static constexpr Millis maxQuarantine = 60000;

    void quarantine(Millis now);

    int consecutiveFailures { 0 };
    Millis quarantineEnd { 0 };
    Millis quarantineDuration { 0 };
};

} // namespace rattan::tasks
