#pragma once

// The list stand-in's table: what is true, and what the list shows, which is
// what was true some time ago. Pure; the caller brings time and locking.

#include "base/clock.h"
#include "platform/instance_list.h"

#include <deque>
#include <map>
#include <string>

namespace rattan::testing {

class InstanceTable {
public:
    static constexpr std::size_t mostInstances = 20000;
    static constexpr std::size_t mostPending = 100000;

    void setLag(Millis value) { this->lag = value; }
    Millis currentLag() const { return this->lag; }

    // False when the table is full.
    bool put(const platform::Instance&, Millis now);
    void remove(const std::string& id, Millis now);
    std::vector<platform::Instance> visible(Millis now);

private:
    struct Change {
        Millis at { 0 };
        std::string id;
        std::optional<platform::Instance> instance; // Empty: removed.
    };

    bool push(Change, Millis now);
    void advance(Millis now);

    Millis lag { 0 };
    std::deque<Change> pending;
    std::map<std::string, platform::Instance> shown;
};

} // namespace rattan::testing
