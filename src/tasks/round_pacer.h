#pragma once

// When a planner holds its rounds of decisions, and which units each looks at.
//
//     RoundPacer pacer;
//     pacer.changed();                                  // an answer, a job, a worker
//     const RoundKind kind = pacer.next(now, urgentWaits);
//     if (kind != RoundKind::None) { pacer.begun(kind, now); ... }
//     pacer.took(kind, duration, now);                  // by the caller's clock
//
// The load this answers: full workers and hundreds of units that wait, on a machine with a
// small share of a core. A round over all of them then takes so long that others have to
// be rare, or answers are not read and the term is not renewed. Urgent units are few and
// due within a second or two, so between such rounds they have short ones of their own.
// Without a clock; not thread-safe.

#include "base/clock.h"

namespace rattan::tasks {

enum class RoundKind {
    None,
    Urgent, // Only units of the highest priority.
    Full,
};

class RoundPacer {
public:
    // A burst of answers does not cost a round each.
    static constexpr Millis minInterval = 10;

    // With nothing new, for what time itself changes.
    static constexpr Millis idleInterval = 500;

    // Something has happened that a round may answer.
    void markChanged();

    // A unit that waits may do more from then on.
    void scheduleBy(Millis);

    RoundKind next(Millis now, bool urgentWaits) const;
    void roundStarted(RoundKind, Millis now);

    // Rounds of a kind take a bounded share of the time.
    void roundFinished(RoundKind, Millis duration, Millis now);

    // When next() has to be asked again although nothing changes; at least `now`.
    Millis nextWake(Millis now, bool urgentWaits) const;

private:
    Millis fullRoundAt() const;
    Millis urgentRoundAt() const;

    bool changedSinceFull { true };
    bool changedSinceRound { true };
    Millis notBefore { 0 };
    Millis nextFullRoundAt { 0 };
    Millis nextUrgentRoundAt { 0 };
    Millis dueAt { 0 }; // 0: none.
};

} // namespace rattan::tasks
