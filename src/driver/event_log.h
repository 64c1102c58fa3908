#pragma once

// The events a driver keeps until its planner has acknowledged them.
//
// Ends and starts of gangs are always kept: each gang says at most one of each,
// so their number is bounded by the gangs. Progress and usage are advice and are
// dropped while the log is more than half full.

#include "driver/gang_types.h"

#include <deque>

namespace rattan::driver {

class EventLog {
public:
    explicit EventLog(std::size_t capacity)
        : capacity(capacity)
    {
    }

    void add(GangEvent);
    void acknowledge(std::uint64_t number);

    // The oldest events not yet acknowledged, at most the capacity.
    std::vector<GangEvent> pending() const;

    // New gangs are refused while this holds.
    bool isFull() const { return this->events.size() >= this->capacity; }

    // The number that the next event gets.
    std::uint64_t nextNumber() const { return this->next; }
    std::uint64_t acknowledgedNumber() const { return this->acknowledged; }

private:
    std::size_t capacity;
    std::deque<GangEvent> events;
    std::uint64_t next { 1 };
    std::uint64_t acknowledged { 0 };
};

} // namespace rattan::driver
