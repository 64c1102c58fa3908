#pragma once

// Times and bounds of a ControlLoop, each with the reason for its size.

#include "base/clock.h"

#include <chrono>
#include <cstddef>

namespace rattan::instance::detail {

inline constexpr std::size_t maxQueuedRequests = 1024; // Requests between callers' threads and the loop.

// A wait of the loop; everything that must happen sooner wakes it.
inline constexpr Millis maxLoopWait = 100;

// A turn that takes this much longer than it waits is told of: answers are read and terms
// renewed that much late, which one cannot tell from a slow network otherwise.
inline constexpr Millis slowIterationThreshold = 200;

// A silent connection to the store is noticed this much later than a dead one:
// soon where work hangs on it, and well before keys are not believed any more
// for the text, which rarely changes.
inline constexpr Millis streamReadWait = 1000;
inline constexpr Millis configurationReadWait = 1500;

// Weak instances leave planning to stronger ones, by claiming this much later.
// An eighth of a core starts work late beside 350 workers; a quarter does not.
inline constexpr double minPlanningCores = 0.25; // Cores.

// Every instance reads what happens to every job. Where nobody waits for it, one
// read for all records of this time is enough. The planner waits for new jobs, and
// callers wait for the ends of theirs: they hear of each record at once.
inline constexpr Millis jobsBatchInterval = 250;

// Instances that hardly ever plan need not hear of each renewal.
inline constexpr Millis weakClaimsBatchInterval = 900;

// Without a newer reading of the claims they do not claim either: twice the time that
// a reading usually takes them.
inline constexpr Millis maxWeakClaimsAge = 4000;

// Whoever claims has read the plans this lately, and reads on from there once it leads.
inline constexpr Millis maxPlansAge = 1500;

// The planner forgets whoever has not offered to carry orders for three of these.
inline constexpr Millis offerInterval = 1000;

// Twice what a reading of the jobs' stream takes where nobody is in a hurry.
inline constexpr Millis maxJobsAgeForRelaying = 2500;

inline constexpr Millis gaugesInterval = 500; // Whoever collects them does so every few seconds.

inline constexpr Millis claimTimeout = 500; // Longer than a renewal takes at a slow store, and half a term.
inline constexpr std::chrono::milliseconds connectTimeout { 400 };
inline constexpr std::chrono::milliseconds appendTimeout { 700 }; // Callers wait three seconds; another instance must have time to try.
inline constexpr std::size_t maxRecordsPerAppend = 200; // Of one append; at usual rates there is one.
inline constexpr std::size_t maxBytesPerAppend = 1 << 20; // Half of what the store takes at once.
inline constexpr Millis appendRetryDelay = 50; // After an append that the store did not take.

// Instances that all find the planner gone must not all claim at once.
inline constexpr Millis maxElectionJitter = 100;

// Of an instance without any processor time; one with half of what planning takes waits
// half of it. Longer than the pauses between two tries to read a store that was away,
// so that a strong instance comes first and callers wait less for their starts.
inline constexpr Millis maxWeaknessDelay = 2000;

// To the store: three streams wait, and the list, records, claims, appends and
// two probes must not wait for them.
inline constexpr long connectionsPerPeer = 10;

} // namespace rattan::instance::detail
