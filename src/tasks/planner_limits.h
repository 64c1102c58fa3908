#pragma once

// Times and bounds of a TaskPlanner.

#include "tasks/job.h"

#include <limits>

namespace rattan::tasks::detail {

// Between two runs of a task that failed: a worker that fails at once must not
// be handed the same task in a tight loop before its trust is gone.
inline constexpr Millis retryPause = 100;

// How long a poll waits for an end: the longest that workers allow, since every
// poll has a price and an end is told at once anyway.
inline constexpr Millis pollWait = 2000;

// Polls sent before the caller has its turn again: the term has to be renewed while
// thousands of workers are being asked.
inline constexpr std::size_t mostPollsAtOnce = 48;

// Of workers that nothing waits for, after a takeover; the rest of the processor is left
// for what runs.
inline constexpr std::size_t mostIdlePollsAtOnce = 8;
inline constexpr Millis idlePollsPause = 10;

// After a poll without an answer, doubling up to the longest.
inline constexpr Millis firstPollPause = 200;
inline constexpr Millis longestPollPause = 1600;

// A call without an answer may be carried out this much later. A poll that acknowledged
// ends of a worker's earlier incarnation could until then acknowledge, unread, ends of the
// present one: tasks would run again after their end. So nothing is placed there.
inline constexpr Millis longestLateCall = 13000;

// A worker's clock may be 2% slow, so a lease may last that much longer than it
// was granted for, and its clock is known to within this.
inline constexpr double slowestClock = 1.02;
inline constexpr Millis clockSlack = 300;

// An idle worker's ends may wait this long for a poll that goes there anyway;
// users see nothing of it, and a poll less is saved nearly every time.
inline constexpr Millis longestAckDelay = 1200;

// A stop without effect is sent again after this, and one without an answer after the
// first pause, doubling up to this.
inline constexpr Millis stopRetry = 700;
inline constexpr Millis firstOrderPause = 50;

// A start without an answer is sent again: a worker that has the run already says so,
// and an earlier try that comes late finds the run there, or ended. Otherwise a whole gang
// would be stopped and begun anew for the lost order of one member.
inline constexpr int mostStarts = 3;

// A run whose progress stands still for this long, or for this share of its
// expected time if that is longer, has stalled: progress is told in hundredths,
// so even one four times slower than expected moves within the share.
inline constexpr Millis stallLimit = 3500;
inline constexpr double stallShare = 0.06;

// Units that wait for running ones and keep room for when these end. More would
// leave room idle for work that is far from its turn.
inline constexpr int mostReservations = 16;

// Searches for runs to stop in one round, each over all workers and what runs
// there. What is left waits for the next round.
inline constexpr int mostEvictionSearches = 6;

// Core-seconds that a job outside its guarantee may cost others to start at once.
inline constexpr double mostLostWork = 800;

// A less urgent unit stops still less urgent ones only when it would be late
// otherwise: this long before its latest start, for what a stop takes,
inline constexpr Millis evictionLead = 6000;

// and for at most this share of the work that it is going to do itself.
inline constexpr double mostLostShare = 0.3;

// What a run that goes on until its job is cancelled is expected to take yet: nothing is
// kept free for its end.
inline constexpr Millis lasts = 24L * 3600 * 1000;

// A run that would end this shortly before its worker leaves is moved instead.
inline constexpr Millis leaveMargin = 200;

// A suspect task waits this long for a worker of its own, then starts beside others.
inline constexpr Millis longestIsolationWait = 2000;

// What a run takes of which nothing is known: more than any worker has.
inline constexpr Resources unknownRoom { 1'000'000'000, 1'000'000'000, 1'000'000 };

// An end that nobody waits for may be recorded this much later. Its worker is not
// polled meanwhile, which delays about one end in twenty by half of this.
inline constexpr Millis longestRecordDelay = 250;

// What was learned is written down with other records, at most this often: a
// planner that takes over loses a few runs' worth.
inline constexpr Millis learnedEvery = 2000;

// Workers named in one question to an advice service: as many as a wide step needs, and
// few enough that the answer, which takes time for each, comes within the slack of a job.
inline constexpr std::size_t mostWorkersAdvised = 30;

// Questions without an answer: the service takes them one after the other, so more would
// only queue there.
inline constexpr int mostAdviceUnderWay = 4;

// After a question that failed: the service was not reached, or has too many.
inline constexpr Millis advicePause = 400;

// A ticket must hold until a start that is decided now has arrived, with its record.
inline constexpr Millis ticketSpare = 1000;

// Events of one kind between two takes; more are dropped rather than hold up decisions.
inline constexpr std::size_t mostPlanEvents = 200;

// A guaranteed unit that has waited for so long is reported, and again after as long.
inline constexpr Millis guaranteeWaitReported = 400;

// The unit that has waited longest is reported once it has waited for so long, this often.
inline constexpr Millis longWait = 1500;
inline constexpr Millis waitsReportedEvery = 1000;

// A poll that is due for so long is counted there.
inline constexpr Millis pollOverdue = 500;

// Names of jobs that ended in this term, against late repeats of their records.
inline constexpr std::size_t mostFinished = 100'000;

} // namespace rattan::tasks::detail
