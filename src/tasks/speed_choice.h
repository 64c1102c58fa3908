#pragma once

// Which workers suit a unit by their speed, and whether a late run moves to other workers.
//
// The load is that of a site whose workers differ by a factor of two and more, with speeds that
// nobody reports, and urgent gangs of a few seconds beside patient work. A gang that begins on one
// slow worker is late by that alone, and patient work that occupies fast workers makes urgent work
// begin on slow ones. So the speeds in use are divided into tiers, and each kind of work has an
// order of the tiers. A tier is only an order of preference: a unit that fits nowhere else takes
// any worker.
//
//     const SpeedPreference preference = speedPreferenceFor({ .urgent = true });
//     speedTierOf({ 1.6, 0.1 }, preference)                       // 0: placed there first
//
// Pure functions without state. A worker of a site that is not heterogeneous has a deviation of 0,
// and no preference is used there.

#include "base/clock.h"

#include <vector>

namespace rattan::tasks {

// The estimated speed of a worker: a log-normal distribution.
struct WorkerSpeed {
    double median { 1 }; // Relative to a typical worker, which has 1.
    double deviation { 0 }; // The standard deviation of the logarithm.

    // True if the estimate is accurate enough to tell slow, usual and fast workers apart.
    bool isKnown() const;
};

enum class SpeedPreference {
    None, // Speeds are not distinguished beyond the classes of placement.cc.
    BestChance, // Known fast workers, then usual, unknown and known slow ones.
    SpareFast, // Unknown workers, then known slow, usual and fast ones.
    Explore, // Unknown workers, then known fast, usual and slow ones.
};

inline constexpr int speedTierCount = 5;

// The last tier of BestChance that has only workers of known and at least usual speed.
inline constexpr int maxKnownTier = 1;

// The tier of a worker, 0 to speedTierCount - 1; the lowest is preferred.
int speedTierOf(const WorkerSpeed&, SpeedPreference);

struct SpeedTierRange {
    int first { 0 };
    int last { speedTierCount - 1 };
};

// The ranges of tiers that a gang tries one after another. A gang runs at the speed of its slowest
// member, so of the ranges with the same last tier the narrowest comes first. The last range holds
// all tiers.
const std::vector<SpeedTierRange>& gangTierRanges();

struct SpeedNeed {
    bool urgent { false };
    bool urgentExpected { false }; // Urgent units ran or waited recently.
    Millis work { 0 }; // Expected, in milliseconds on a worker of speed 1.
    Millis timeLeft { 0 }; // Until the objective.
};

// Urgent work takes the best chance, and so does other work that would miss its objective on a slow
// worker and can still meet it on a fast one.
SpeedPreference speedPreferenceFor(const SpeedNeed&);

// An urgent run by its progress.
struct RunOutlook {
    Millis expectedEnd { 0 }; // By its progress where it is.
    Millis objective { 0 }; // When it should end.
    double remainingWork { 0 }; // What another run would have to do, in milliseconds at speed 1.
};

// The minimum speed at which a run that is stopped now and started again meets its objective, or 0
// if the run should stay: it meets its objective where it is, or would miss it anywhere.
double speedToMoveFor(const RunOutlook&, Millis now);

} // namespace rattan::tasks
