#include "tasks/speed_choice.h"

#include <cmath>

namespace rattan::tasks {

namespace {

    // Slow, usual and fast workers are at 0.6, 1.0 and 1.6 of the usual speed; the bounds are the
    // geometric means, so that an estimate is in the right class up to an error of 25%.
    constexpr double maxSlowSpeed = 0.78;
    constexpr double minFastSpeed = 1.26;

    // Half the logarithmic distance of two classes.
    constexpr double maxKnownDeviation = 0.2;

    // The speed that patient work must tolerate to be placed on slow or unknown workers.
    constexpr double slowSpeed = 0.6;

    // A run is moved only if it would be late by more than the error of an expected end, which is
    // extrapolated from percents that are up to 2 s old.
    constexpr Millis minLateness = 100;

    // The time for the stop, the record and the start of the next run.
    constexpr Millis moveTime = 350;

    // The fastest worker that is assumed to exist.
    constexpr double maxSpeed = 2;

    enum class SpeedClass {
        Fast,
        Usual,
        Unknown,
        Slow,
    };

    SpeedClass classOf(const WorkerSpeed& speed)
    {
        if (!speed.isKnown())
            return SpeedClass::Unknown;
        if (speed.median < maxSlowSpeed)
            return SpeedClass::Slow;
        return speed.median < minFastSpeed ? SpeedClass::Usual : SpeedClass::Fast;
    }

} // namespace

bool WorkerSpeed::isKnown() const { return this->deviation <= maxKnownDeviation; }

int speedTierOf(const WorkerSpeed& speed, SpeedPreference preference)
{
    const SpeedClass speedClass = classOf(speed);
    switch (preference) {
    case SpeedPreference::None:
        return 0;
    case SpeedPreference::BestChance:
        // Among unknown workers, one that showed no high speed so far is the worse choice.
        if (speedClass == SpeedClass::Unknown)
            return speed.median < maxSlowSpeed ? 3 : 2;
        return speedClass == SpeedClass::Fast ? 0 : speedClass == SpeedClass::Usual ? 1
                                                                                    : 4;
    case SpeedPreference::SpareFast:
        return speedClass == SpeedClass::Unknown ? 0 : speedClass == SpeedClass::Slow ? 1
            : speedClass == SpeedClass::Usual                                         ? 2
                                                                                      : 3;
    case SpeedPreference::Explore:
        return speedClass == SpeedClass::Unknown ? 0 : speedClass == SpeedClass::Fast ? 1
            : speedClass == SpeedClass::Usual                                         ? 2
                                                                                      : 3;
    }
    return 0;
}

const std::vector<SpeedTierRange>& gangTierRanges()
{
    static const std::vector<SpeedTierRange> ranges = [] {
        std::vector<SpeedTierRange> result;
        for (int last = 0; last < speedTierCount; ++last) {
            for (int first = last; first >= 0; --first)
                result.push_back({ first, last });
        }
        return result;
    }();
    return ranges;
}

SpeedPreference speedPreferenceFor(const SpeedNeed& need)
{
    if (need.urgent)
        return SpeedPreference::BestChance;
    const auto work = static_cast<double>(need.work);
    const auto timeLeft = static_cast<double>(need.timeLeft);
    if (work / slowSpeed > timeLeft && work / maxSpeed < timeLeft)
        return SpeedPreference::BestChance;
    return need.urgentExpected ? SpeedPreference::SpareFast : SpeedPreference::Explore;
}

double speedToMoveFor(const RunOutlook& run, Millis now)
{
    if (run.expectedEnd <= run.objective + minLateness)
        return 0;
    const Millis timeLeft = run.objective - now - moveTime;
    if (timeLeft <= 0)
        return 0;
    const double needed = run.remainingWork / static_cast<double>(timeLeft);
    return needed <= maxSpeed ? needed : 0;
}

} // namespace rattan::tasks
