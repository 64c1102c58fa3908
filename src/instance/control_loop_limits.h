#pragma once

// Times and limits of ControlLoop.

#include "base/clock.h"

#include <chrono>
#include <cstddef>

namespace rattan::instance::detail {

inline constexpr std::size_t maxQueuedRequests = 1024; // Requests from callers' threads that the loop has not accepted yet.

// The same for requests with a large body, one of which is parsed in each iteration. The last one in
// the queue should be answered before its caller gives up.
inline constexpr std::size_t maxQueuedLargeRequests = 32;
inline constexpr std::size_t maxSmallBodyBytes = 8 << 10;
inline constexpr Millis defaultCallerTimeout = 3000; // For callers that do not send a timeout.

// Longest wait of an iteration; any earlier event wakes the loop.
inline constexpr Millis maxLoopWait = 100;

// An iteration that exceeds its wait by this much is logged. It delays reads of answers and
// renewals of terms by the same time, and without the log this looks like a slow network.
inline constexpr Millis slowIterationThreshold = 200;

// How long a read at the store may wait for new records. A silent connection is detected this
// much later than a closed one, so the wait is short for streams that work depends on. The
// configuration rarely changes; its wait only has to end well before API keys stop being accepted.
inline constexpr Millis streamReadWait = 1000;
inline constexpr Millis configurationReadWait = 1500;

// Instances with fewer cores delay their claims, so that faster instances plan. With 350
// workers, an eighth of a core starts tasks late and a quarter does not.
inline constexpr double minPlanningCores = 0.25; // Cores.

// Every instance reads the records of all jobs. Without urgent need, one read covers all records
// of this interval. While this instance plans or relays orders, which needs new jobs, or a
// caller waits for the end of a job, each record is read immediately.
inline constexpr Millis jobsBatchInterval = 250;

// Instances below minPlanningCores rarely plan and do not need every renewal immediately.
inline constexpr Millis weakClaimsBatchInterval = 900;

// Instances below minPlanningCores do not claim if their last confirmed read of the claims is
// older than this, which is twice the time that such a read usually takes.
inline constexpr Millis maxWeakClaimsAge = 4000;

// An instance claims only if it read the plans this recently; it continues from there when it leads.
inline constexpr Millis maxPlansAge = 1500;

// The planner drops relays whose last offer is older than three intervals.
inline constexpr Millis offerInterval = 1000;

// Twice the duration of a jobs read without urgent need.
inline constexpr Millis maxJobsAgeForRelaying = 2500;

inline constexpr Millis gaugesInterval = 500; // Metrics are collected every few seconds.

inline constexpr Millis claimTimeout = 500; // Half a term, and longer than a renewal at a slow store.
inline constexpr std::chrono::milliseconds connectTimeout { 400 };
inline constexpr std::chrono::milliseconds appendTimeout { 700 }; // Callers time out after three seconds; another instance must have time to retry.
inline constexpr std::size_t maxRecordsPerAppend = 200; // At usual rates an append has one record.
inline constexpr std::size_t maxBytesPerAppend = 1 << 20; // Half of the store's limit.
inline constexpr Millis appendRetryDelay = 50; // After a failed append.

// Spreads the claims of instances that detect the failure of the planner at the same time.
inline constexpr Millis maxElectionJitter = 100;

// Extra delay before the claim of an instance with zero cores. It decreases linearly to zero at
// minPlanningCores. It is longer than the pause between two reads of an unavailable store, so
// that a faster instance claims first and jobs start earlier.
inline constexpr Millis maxWeaknessDelay = 2000;

// Connections to the store. Reads of three streams block, and the worker list, records, claims,
// appends and two probes must not queue behind them.
inline constexpr long maxConnectionsPerPeer = 10;

} // namespace rattan::instance::detail
