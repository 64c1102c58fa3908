#pragma once

// Determines when a planner runs a scheduling round, and which units the round considers.
//
//     RoundPacer pacer;
//     pacer.markChanged();                              // an answer, a job or a worker
//     const RoundKind kind = pacer.next(now, urgentWaits);
//     if (kind != RoundKind::None) { pacer.roundStarted(kind, now); ... }
//     pacer.roundFinished(kind, duration, now);         // as by countedDuration()
//
// It is meant for full workers and hundreds of waiting units on a machine with a small
// share of a core. A round over all units then takes so long that rounds must be rare, or
// answers are not read and the term is not renewed. Urgent units are few and due within a
// second or two, so short rounds for them alone run between full rounds. Reads no clock;
// not thread-safe.

#include "base/clock.h"

namespace rattan::tasks {

enum class RoundKind {
    None,
    Urgent, // Only units of the highest priority.
    Full,
};

class RoundPacer {
public:
    // The minimum interval between rounds, so that a burst of answers shares one.
    static constexpr Millis minInterval = 10;

    // Without changes, a round runs after this time for what depends on time alone.
    static constexpr Millis idleInterval = 500;

    // Reports a change that a round may react to.
    void markChanged();

    // Requests a full round no later than this time, because more may then be possible for a
    // waiting unit. The pauses between rounds still apply.
    void scheduleBy(Millis);

    RoundKind next(Millis now, bool urgentWaits) const;
    void roundStarted(RoundKind, Millis now);

    // Reports the duration of a round, so that each kind takes a bounded share of the time.
    void roundFinished(RoundKind, Millis duration, Millis now);

    // How long the next full round waits after the last one, at least.
    Millis fullPause() const { return this->lastFullPause; }

    // When next() must be called again even without a change; not before `now`.
    Millis nextWake(Millis now, bool urgentWaits) const;

private:
    Millis fullRoundAt() const;
    Millis urgentRoundAt() const;

    bool changedSinceFull { true };
    bool changedSinceRound { true };
    Millis notBefore { 0 };
    Millis nextFullRoundAt { 0 };
    Millis lastFullPause { 0 };
    Millis nextUrgentRoundAt { 0 };
    Millis dueAt { 0 }; // 0 if no time is scheduled.
};

} // namespace rattan::tasks
