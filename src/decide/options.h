#pragma once

// Limits and choices of a Decider. The defaults are what docs/DECISIONS.md
// argues for.

#include "decide/types.h"

#include <cstdint>

namespace rattan::decide {

struct Options {
    Policy policy { Policy::Guaranteed };
    std::uint64_t seed { 1 };

    std::int64_t mostJobs { 100000 }; // Held at once; further submits are refused.
    std::int64_t mostAttemptsPerStep { 64 }; // Searches for a place in one step.
    std::int64_t mostClaims { 32 }; // Jobs that wait for evictions at once.
    std::int64_t mostEvictionsPerJob { 4 }; // For overdue gangs; reclaims are not limited.

    // A gang may borrow if it can be stopped at once or saved within this time.
    Millis borrowCheckpointLimit { 60000 };
    Millis checkpointGrace { 5000 };

    // A start or stop must be answered within this time. An unanswered start is
    // stopped; a stop unanswered for as long again counts as a lapsed lease.
    Millis answerLimit { 30000 };
    Millis orphanLimit { 30000 };

    // A job may be overtaken by those that come within `stretch` times its
    // estimated run time after it, and never later than this long after it.
    double stretch { 4.0 };
    Millis longestOvertaking { 4 * 3600 * 1000 };

    std::int64_t strikesToQuarantine { 3 };
    Millis firstQuarantine { 60000 }; // Doubles with each failed probe.
    Millis longestQuarantine { 3600 * 1000 };

    Millis firstRetryDelay { 1000 }; // Doubles with each attempt; jitter of half.
    Millis longestRetryDelay { 5 * 60 * 1000 };
    double retryShare { 0.1 }; // Retries allowed per start, for a workspace and in all.

    double overuseFactor { 1.25 }; // Of the memory asked for.
    Millis overuseStep { 30000 }; // Between throttle, checkpoint and stop.

    bool moves { true }; // Moving work that frees a wanted shape.
    std::int64_t mostMovesPerHour { 60 };
};

} // namespace rattan::decide
