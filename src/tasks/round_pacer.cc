#include "tasks/round_pacer.h"

#include <algorithm>
#include <limits>

namespace rattan::tasks {

namespace {

    // The pauses in multiples of the duration of the last round: from a full round to the next
    // full one, and from any round to the next urgent one.
    constexpr int fullPauseFactor = 3;
    constexpr int urgentPauseFactor = 1;

    // Shorter rounds can't be measured well by a clock with millisecond resolution.
    constexpr Millis minMeasuredDuration = 4;

} // namespace

void RoundPacer::markChanged()
{
    this->changedSinceFull = true;
    this->changedSinceRound = true;
}

void RoundPacer::scheduleBy(Millis at) { this->dueAt = this->dueAt == 0 ? at : std::min(this->dueAt, at); }

Millis RoundPacer::fullRoundAt() const
{
    Millis at = this->changedSinceFull ? this->notBefore : this->notBefore + idleInterval;
    if (this->dueAt > 0)
        at = std::min(at, this->dueAt);
    return std::max({ at, this->notBefore, this->nextFullRoundAt });
}

Millis RoundPacer::urgentRoundAt() const
{
    const Millis at = this->changedSinceRound ? this->notBefore : this->notBefore + idleInterval;
    return std::max(at, this->nextUrgentRoundAt);
}

RoundKind RoundPacer::next(Millis now, bool urgentWaits) const
{
    if (now >= this->fullRoundAt())
        return RoundKind::Full;
    return urgentWaits && now >= this->urgentRoundAt() ? RoundKind::Urgent : RoundKind::None;
}

void RoundPacer::roundStarted(RoundKind kind, Millis now)
{
    this->notBefore = now + minInterval;
    this->changedSinceRound = false;
    if (kind != RoundKind::Full)
        return;
    this->changedSinceFull = false;
    this->dueAt = 0;
}

void RoundPacer::roundFinished(RoundKind kind, Millis duration, Millis now)
{
    if (kind == RoundKind::Full)
        this->lastFullPause = duration < minMeasuredDuration ? 0 : duration * fullPauseFactor;
    if (kind == RoundKind::None || duration < minMeasuredDuration)
        return;
    this->nextUrgentRoundAt = now + duration * urgentPauseFactor;
    if (kind == RoundKind::Full)
        this->nextFullRoundAt = now + duration * fullPauseFactor;
}

Millis RoundPacer::nextWake(Millis now, bool urgentWaits) const
{
    const Millis urgent = urgentWaits ? this->urgentRoundAt() : std::numeric_limits<Millis>::max();
    return std::max(now, std::min(this->fullRoundAt(), urgent));
}

} // namespace rattan::tasks
