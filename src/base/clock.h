#pragma once

// Time for decisions and protocols, in whole milliseconds since a fixed but
// unspecified moment.
//
// Code whose result depends on time takes a time or a Clock as a parameter; only
// SystemClock reads the clocks of the system. Tests use ManualClock, so that their
// results do not depend on the speed of the test machine.

#include <atomic>
#include <cstdint>

namespace rattan {

using Millis = std::int64_t;

class Clock {
public:
    virtual ~Clock() = default;

    // The monotonic time. It includes time during which the machine was suspended
    // (CLOCK_BOOTTIME), so that a lease also expires while its holder is suspended.
    virtual Millis now() const = 0;

    // The wall-clock time in milliseconds since 1970 UTC. It may jump in either
    // direction, so it is used only for timestamps in records.
    virtual Millis wall() const = 0;
};

class SystemClock final : public Clock {
public:
    Millis now() const override;
    Millis wall() const override;
};

// A clock that changes only by calls to advance(). Thread-safe.
class ManualClock final : public Clock {
public:
    Millis now() const override { return this->time; }
    Millis wall() const override { return this->time; }
    void advance(Millis by) { this->time += by; }

private:
    std::atomic<Millis> time { 0 };
};

} // namespace rattan
