#pragma once

// Whether a worker is given work, judged by what becomes of it there. A worker
// that fails or stalls all it starts answers polls like a sound one; without
// this, every task would be sent there again and again until its job is given
// up. Two failures in a row, which sound workers show about once in a thousand
// runs, end its trust for a time that doubles; then one run is tried.

#include "base/clock.h"

namespace rattan::tasks {

class WorkerHealth {
public:
    void runSucceeded();
    void runFailed(Millis now);
    void runStalled(Millis now); // Counts as enough failures by itself.

    // False: nothing may start there. While on trial, one run at a time: `free` tells that
    // none has begun since the distrust ended.
    bool canTakeRun(Millis now, bool noRun) const;
    bool isProbing() const { return this->consecutiveFailures >= failuresToQuarantine; }

    // The end of the present distrust; 0 if trusted.
    Millis quarantinedUntil() const { return this->quarantineEnd; }

private:
    static constexpr int failuresToQuarantine = 2;
    static constexpr Millis minQuarantine = 4000; // About two short runs.
    static constexpr Millis maxQuarantine = 60000;

    void quarantine(Millis now);

    int consecutiveFailures { 0 };
    Millis quarantineEnd { 0 };
    Millis quarantineDuration { 0 };
};

} // namespace rattan::tasks
