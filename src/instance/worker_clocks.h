#pragma once

// Estimates the clock of each worker from its answers. A lease ends at a time on the worker's
// clock, so a lease can be granted only if that clock is known.

#include "base/clock.h"
#include "tasks/progress.h"

#include <map>
#include <optional>

namespace rattan::instance {

class WorkerClocks {
public:
    void update(const tasks::Incarnation& incarnation, Millis clock, Millis now) { this->readings[incarnation] = { clock, now }; }

    // The estimated clock of the worker at `now`, or nothing if it never answered. The estimate
    // is behind the clock by the transit time of the worker's last answer.
    std::optional<Millis> estimate(const tasks::Incarnation& incarnation, Millis now) const
    {
        const auto found = this->readings.find(incarnation);
        if (found == this->readings.end())
            return std::nullopt;
        return found->second.clock + (now - found->second.receivedAt);
    }

    void forget(const tasks::Incarnation& incarnation) { this->readings.erase(incarnation); }

private:
    struct Reading {
        Millis clock { 0 };
        Millis receivedAt { 0 };
    };

    std::map<tasks::Incarnation, Reading> readings;
};

} // namespace rattan::instance
