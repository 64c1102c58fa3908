#pragma once

// Runs one workload under one policy in virtual time. Drivers and workers are
// small fakes: a start, a stop and a checkpoint take a while and may fail.

#include "decide/decide.h"
#include "workload.h"

#include <vector>

namespace rattan::bench {

struct JobResult {
    bool done { false };
    Millis completion { 0 }; // Submit to finish.
    Millis firstWait { 0 }; // Submit to the first time it runs.
    bool everRan { false };
};

struct RunResult {
    std::vector<JobResult> jobs; // As the workload's arrivals.
    double fragmentation { 0 }; // Mean over time.
    double strictFragmentation { 0 }; // Idle guarantees counting only what is free.
    std::vector<Millis> reclaims; // From asking to the start.
    std::int64_t guaranteeViolations { 0 };
    double partialGangSeconds { 0 };
    std::int64_t evictions { 0 };
    std::int64_t unanswered { 0 }; // Jobs with no final answer, or more than one.
    std::vector<double> stepMicros; // Real time of each step, if asked for.
};

struct RunOptions {
    decide::Options decisions;
    bool timed { false };
};

RunResult simulate(const Workload&, const RunOptions&);

} // namespace rattan::bench
