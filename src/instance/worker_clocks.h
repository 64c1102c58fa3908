#pragma once

// What each worker's own clock shows, as far as its answers tell. Leases end at
// a time on that clock, so a lease can be granted only where it is known.

#include "base/clock.h"
#include "tasks/progress.h"

#include <map>
#include <optional>

namespace rattan::instance {

class WorkerClocks {
public:
    void update(const tasks::Incarnation& incarnation, Millis clock, Millis now) { this->readings[incarnation] = { clock, now }; }

    // At least what the worker's clock shows now, but for the time its last answer
    // took to arrive; empty if it never answered.
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
