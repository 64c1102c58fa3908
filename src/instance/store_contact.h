#pragma once

// Tells from the store's answers whether this instance reaches the store.
//
//     StoreContact contact;
//     contact.storeAnswered(now);                  // any answer to a read, of any stream
//     if (contact.shouldProbe(now)) reader.probe();
//     if (!contact.isReachable(now)) ...           // forward requests, leave the rotation
//
// A cut link gives no answers and no errors, and reads that wait for records are silent for a
// second anyway. So after a short silence the store is probed, and the missing answer to the
// probe shows the cut within a second. Not thread-safe.

#include "base/clock.h"

#include <algorithm>

namespace rattan::instance {

class StoreContact {
public:
    void storeAnswered(Millis at) { this->lastAnswerAt = std::max(this->lastAnswerAt, at); }

    // Whether the store has been silent for so long that a read should be sent that does not wait.
    bool shouldProbe(Millis now) const { return now - this->lastAnswerAt > quietTime; }

    // False without an answer, also to a probe.
    bool isReachable(Millis now) const { return now - this->lastAnswerAt <= maxSilence; }

    Millis silence(Millis now) const { return now - this->lastAnswerAt; }

private:
    // Longer than the usual gap between records while jobs run, so that few probes are needed.
    static constexpr Millis quietTime = 500;

    // Leaves a slow store enough time to answer the first probe.
    static constexpr Millis maxSilence = 900;

    Millis lastAnswerAt { 0 };
};

} // namespace rattan::instance
