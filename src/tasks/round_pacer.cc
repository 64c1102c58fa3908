#include "tasks/round_pacer.h"

#include <algorithm>
#include <limits>

namespace rattan::tasks {

namespace {

    // Durations that a round is followed by without another of its kind.
    constexpr int wholeRest = 3;
    constexpr int urgentRest = 1;

    // A clock in milliseconds tells nothing of shorter ones.
    constexpr Millis longRound = 4;

} // namespace

void RoundPacer::changed()
{
    this->isChanged = true;
    this->isChangedForUrgent = true;
}

void RoundPacer::dueBy(Millis at) { this->dueAt = this->dueAt == 0 ? at : std::min(this->dueAt, at); }

Millis RoundPacer::wholeAt() const
{
    Millis at = this->isChanged ? this->notBefore : this->notBefore + idle;
    if (this->dueAt > 0)
        at = std::min(at, this->dueAt);
    return std::max({ at, this->notBefore, this->wholeHeldUntil });
}

Millis RoundPacer::urgentAt() const
{
    const Millis at = this->isChangedForUrgent ? this->notBefore : this->notBefore + idle;
    return std::max(at, this->urgentHeldUntil);
}

RoundKind RoundPacer::next(Millis now, bool urgentWaits) const
{
    if (now >= this->wholeAt())
        return RoundKind::Whole;
    return urgentWaits && now >= this->urgentAt() ? RoundKind::Urgent : RoundKind::None;
}

void RoundPacer::begun(RoundKind kind, Millis now)
{
    this->notBefore = now + gap;
    this->isChangedForUrgent = false;
    if (kind != RoundKind::Whole)
        return;
    this->isChanged = false;
    this->dueAt = 0;
}

void RoundPacer::took(RoundKind kind, Millis duration, Millis now)
{
    if (kind == RoundKind::None || duration < longRound)
        return;
    this->urgentHeldUntil = now + duration * urgentRest;
    if (kind == RoundKind::Whole)
        this->wholeHeldUntil = now + duration * wholeRest;
}

Millis RoundPacer::nextWake(Millis now, bool urgentWaits) const
{
    const Millis urgent = urgentWaits ? this->urgentAt() : std::numeric_limits<Millis>::max();
    return std::max(now, std::min(this->wholeAt(), urgent));
}

} // namespace rattan::tasks
