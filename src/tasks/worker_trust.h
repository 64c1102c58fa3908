#pragma once

// Whether a worker is given work, judged by what becomes of it there. A worker
// that fails or stalls all it starts answers polls like a sound one; without
// this, every task would be sent there again and again until its job is given
// up. Two failures in a row, which sound workers show about once in a thousand
// runs, end its trust for a time that doubles; then one run is tried.

#include "base/clock.h"

namespace rattan::tasks {

class WorkerTrust {
public:
    void done();
    void failed(Millis now);
    void stalled(Millis now); // Counts as enough failures by itself.

    // False: nothing may start there. While on trial, one run at a time: `free` tells that
    // none has begun since the distrust ended.
    bool takesWork(Millis now, bool free) const;
    bool onTrial() const { return this->strikes >= strikesToDistrust; }

    // The end of the present distrust; 0 if trusted.
    Millis distrustedUntil() const { return this->until; }

private:
    static constexpr int strikesToDistrust = 2;
    static constexpr Millis firstDistrust = 4000; // About two short runs.
    static constexpr Millis longestDistrust = 60000;

    void distrust(Millis now);

    int strikes { 0 };
    Millis until { 0 };
    Millis lastSpan { 0 };
};

} // namespace rattan::tasks
