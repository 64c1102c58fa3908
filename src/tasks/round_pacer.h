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
    Whole,
};

class RoundPacer {
public:
    // A burst of answers does not cost a round each.
    static constexpr Millis gap = 10;

    // With nothing new, for what time itself changes.
    static constexpr Millis idle = 500;

    // Something has happened that a round may answer.
    void changed();

    // A unit that waits may do more from then on.
    void dueBy(Millis);

    RoundKind next(Millis now, bool urgentWaits) const;
    void begun(RoundKind, Millis now);

    // Rounds of a kind take a bounded share of the time.
    void took(RoundKind, Millis duration, Millis now);

    // When next() has to be asked again although nothing changes; at least `now`.
    Millis nextWake(Millis now, bool urgentWaits) const;

private:
    Millis wholeAt() const;
    Millis urgentAt() const;

    bool isChanged { true };
    bool isChangedForUrgent { true };
    Millis notBefore { 0 };
    Millis wholeHeldUntil { 0 };
    Millis urgentHeldUntil { 0 };
    Millis dueAt { 0 }; // 0: none.
};

} // namespace rattan::tasks
