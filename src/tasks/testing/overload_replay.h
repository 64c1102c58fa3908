#pragma once

// Replays an overload in virtual time: bursts of all three kinds of jobs on a site that is a tenth
// of the measured one (32 workers with 8 accelerators), and counts what became of them.

#include "tasks/testing/virtual_site.h"

#include <string>
#include <vector>

namespace rattan::tasks::testing {

struct OverloadFigures {
    std::int64_t runs { 0 };
    std::int64_t stops { 0 };
    std::int64_t mostStopsOfAUnit { 0 }; // For units that aren't guaranteed.
    std::int64_t lostCoreSeconds { 0 };
    std::int64_t unfinished { 0 };
    Millis slowestGuaranteedStart { 0 }; // From acceptance until all tasks of a job within its guarantee run.
    Millis slowestStart { 0 }; // From acceptance to the first start of any job.
    Millis start95 { 0 }; // 95 of 100 jobs have a first start within this time.
    std::size_t loadRecords { 0 }; // Records of overloaded queues.
    double value { 0 }; // Share of the achievable value: 1 for a job in time, 0.3 if late.
    std::vector<std::string> violations;
    std::string text; // All figures, for the message of a failed test.
};

// The objective of each kind is that of docs/design/hard-load.md. The jobs of workspace a are
// within its guarantee.
OverloadFigures replayOverload(std::uint64_t seed);

} // namespace rattan::tasks::testing
