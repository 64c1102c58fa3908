#pragma once

// Events a second over about the last second, in constant memory: each event
// adds to a figure that decays exponentially. Not thread-safe.

#include "base/clock.h"

#include <cmath>

namespace rattan::entry {

class RateMeter {
public:
    void note(Millis now)
    {
        this->decayTo(now);
        this->rate += 1000.0 / memory;
    }

    double perSecond(Millis now) const { return this->rate * this->left(now); }

private:
    static constexpr double memory = 1000; // Milliseconds.

    double left(Millis now) const { return std::exp(-static_cast<double>(now - this->at) / memory); }

    void decayTo(Millis now)
    {
        this->rate *= this->left(now);
        this->at = now;
    }

    double rate { 0 };
    Millis at { 0 };
};

} // namespace rattan::entry
