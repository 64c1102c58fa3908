#pragma once

// Durations and limits of a TaskPlanner. Durations are in milliseconds.

#include "tasks/job.h"

#include <limits>

namespace rattan::tasks::detail {

// The delay between two runs of a task that failed. Without it, a worker that fails
// immediately would get the same task in a tight loop until it is quarantined.
inline constexpr Millis retryDelay = 100;

// How many workers the failures of a step count against while no task of it has succeeded.
inline constexpr std::size_t maxBlamedWorkers = 2;

// The delay after a long-running task has ended as done; it starts at retryDelay and doubles up to the
// maximum with each run that was shorter than the minimum. Together with maxIdleBesideUnused it is
// below the three seconds within which such a task must run again.
inline constexpr Millis maxRestartDelay = 800;
inline constexpr Millis minSteadyRun = 2000;

// How long a worker may hold a poll open until a run ends. This is the maximum that workers
// allow: each poll costs processor time, and an end is answered immediately anyway.
inline constexpr Millis longPollWait = 2000;

// The number of polls sent per turn of the caller, which must be able to renew its term while
// thousands of workers are polled.
inline constexpr std::size_t maxPollsPerTurn = 48;

// The number of polls per idlePollInterval to workers without runs while no unit waits. After a
// takeover all of them are due; the limit leaves processor time for workers with runs.
inline constexpr std::size_t maxIdlePollsPerTurn = 8;
inline constexpr Millis idlePollInterval = 10;

// The delay after an unanswered poll; it doubles up to the maximum.
inline constexpr Millis minPollBackoff = 200;
inline constexpr Millis maxPollBackoff = 1600;

// An unanswered call may still be executed for this long. In that time, a poll that
// acknowledged ends of a worker's earlier incarnation could acknowledge ends of the current
// incarnation that were never read, and their tasks would run again. Therefore nothing is
// placed on such a worker until the time has passed.
inline constexpr Millis maxCallDelay = 13000;

// A worker's clock may be 2% slow, so a lease may last longer than granted by this factor.
// The offset of the clock is known to within the uncertainty.
inline constexpr double leaseClockFactor = 1.02;
inline constexpr Millis clockUncertainty = 300;

// A bound for the leases of a silent worker is recorded after the delay, since most workers answer
// again before, and only if this much is left of them.
inline constexpr Millis leaseLimitDelay = 1000;
inline constexpr Millis minRecordedLease = 1000;

// The number of such bounds that a batch adds: a whole failure domain may be silent.
inline constexpr std::size_t maxLeaseLimitsPerBatch = 100;

// How long the acknowledgement of an idle worker's ends may wait for the next poll. Users don't
// notice the delay, and it nearly always saves a poll.
inline constexpr Millis maxAckDelay = 1200;

// A stop that had no effect is sent again after the interval. An unanswered stop is sent again
// after the backoff, which doubles up to the interval.
inline constexpr Millis stopRetryInterval = 700;
inline constexpr Millis minStopBackoff = 50;

// The number of attempts to send a start. Repeating an unanswered start is safe: a worker that
// already has the run says so, and an earlier attempt that arrives late finds the run there or
// ended. Without a repeat, the lost start of one member would stop and restart its whole gang.
inline constexpr int maxStartAttempts = 3;

// A run has stalled if its progress does not change for the minimum time and for this fraction
// of its expected run time. Progress is reported in percent, so even a run that is four times
// slower than expected progresses within the fraction.
inline constexpr Millis minStallTime = 3500;
inline constexpr double stallFraction = 0.06;

// The number of waiting units per service that reserve resources of running ones. More
// reservations would leave resources idle for units that are far back in the queue.
inline constexpr int maxReservations = 16;

// The number of waiting units of a job and of all jobs together; further tasks have no unit yet. Each
// step that has begun has up to the minimum regardless of the others; if the limit for all jobs is
// reached, a step of a job that is not urgent has one.
inline constexpr std::int64_t maxJobWaitingUnits = 2000;
inline constexpr std::int64_t maxWaitingUnits = 30'000;
inline constexpr std::int64_t minStepWaitingUnits = 16;

// The number of steps of a job in all of its occurrences that have begun and not ended. The next
// occurrence that is due begins when an earlier one has ended.
inline constexpr std::size_t maxOpenSteps = 4096;

// The number of eviction searches per round, each over all workers and their runs. The
// remaining units wait for the next round.
inline constexpr int maxEvictionSearches = 6;

// The work in core-seconds that an urgent job outside its workspace's guarantee may make others
// lose in order to start immediately.
inline constexpr double maxUrgentLostCoreSeconds = 800;

// A unit that is not urgent evicts units of lower priority only if it would otherwise be late:
// from this long before its latest start, to allow for the duration of the stops,
inline constexpr Millis evictionLeadTime = 6000;

// and for at most this fraction of its own expected work.
inline constexpr double maxLostWorkFraction = 0.3;

// The expected remaining time of a run that continues until its job is cancelled, so that no
// reservation waits for its end.
inline constexpr Millis longRunningTime = 24L * 3600 * 1000;

// A forecast from fewer runs of the queue and shape is not used; then the estimate of the queue
// is. Below this, a quantile of 90% rests on at most one run.
inline constexpr double minForecastSamples = 12;

// How long forecasts are used without being computed again, which takes about 10 ms for 10,000
// groups.
inline constexpr Millis forecastValidity = 2000;

// A run that is expected to end less than this before its worker leaves is moved.
inline constexpr Millis leaveMargin = 200;

// How long a suspect task waits for a worker without other runs; then it starts on any worker.
inline constexpr Millis maxIsolationWait = 2000;

// The assumed resources of a run whose job is unknown: more than any worker has.
inline constexpr Resources unknownResources { 1'000'000'000, 1'000'000'000, 1'000'000 };

// How long the record of an end that nothing waits for may be delayed. Its worker is not polled
// in the meantime, which delays about one end in twenty by half of this time.
inline constexpr Millis maxRecordDelay = 250;

// The minimum interval between records of run times and worker speeds, which are written with
// other records. A planner that takes over loses what a few runs have shown since the last one.
inline constexpr Millis learnedRecordInterval = 2000;

// The minimum interval between records of overloaded queues, which every instance reads. They count
// for 5 s, so one may be lost or late.
inline constexpr Millis loadRecordInterval = 2000;

// The number of workers in one request to the advice service: enough for a step with many
// tasks, and few enough that the answer, whose time grows with each worker, does not make a job
// late.
inline constexpr std::size_t maxWorkersPerAdviceRequest = 30;

// The number of unanswered advice requests. The service handles them one at a time, so more
// would only queue there.
inline constexpr int maxPendingAdviceRequests = 4;

// The delay after a failed advice request: the service was unreachable or overloaded.
inline constexpr Millis adviceRetryDelay = 400;

// The number of workers in a request for tickets of runs that are placed: the maximum that the service
// takes, since all of them are needed.
inline constexpr std::size_t maxWorkersPerTicketRequest = 100;

// A ticket that expires within this time is renewed first: a start takes about that long to arrive.
inline constexpr Millis startDeliveryTime = 200;

// The number of events of one kind between two calls of takeOrders(). More are dropped because
// they would delay decisions.
inline constexpr std::size_t maxEventsPerKind = 200;

// A guaranteed unit that waits is reported once per interval.
inline constexpr Millis guaranteeWaitReportInterval = 400;

// The unit that has waited longest is reported after the minimum wait, once per interval.
inline constexpr Millis minReportedWait = 1500;
inline constexpr Millis waitReportInterval = 1000;

// How often jobs of which nothing runs are searched for, which visits every run.
inline constexpr Millis idleCheckInterval = 500;

// How often unused resources are counted for a unit of such a job, which visits every worker.
inline constexpr Millis unusedCheckInterval = 250;

// How long a job may have nothing running beside unused resources in which a unit of it fits twice by
// all that it needs: first those that are reserved for others, then those that it prefers not to use.
// Jobs must run within three seconds; a record, a start and a round need the rest.
inline constexpr Millis maxIdleBesideReserved = 1500;
inline constexpr Millis maxIdleBesideUnused = 2000;

// A poll that has been due for at least this long counts as overdue in that report.
inline constexpr Millis overduePollThreshold = 500;

// The number of remembered ids of jobs that ended in this term. They guard against late repeats
// of records; when the limit is reached, all are dropped.
inline constexpr std::size_t maxFinishedJobs = 100'000;

} // namespace rattan::tasks::detail
