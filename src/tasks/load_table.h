#pragma once

// The queues that the leading planner reports as overloaded, on each instance. A record that
// isn't renewed counts for 5 s only: the planner may be gone, and then nothing is refused.
// Not thread-safe.

#include "tasks/admission.h"
#include "tasks/job.h"

#include <cstdint>
#include <map>

namespace rattan::tasks {

class LoadTable {
public:
    // Returns whether the key is that of a load record. Records may be repeated and out of order.
    bool apply(std::string_view key, std::string_view value, std::int64_t offset, Millis now);

    // The load of a queue; null if it isn't overloaded, its record is too old, or the record is about
    // another service, to which the queue was sent before.
    const QueueLoad* find(const QueueTerms&, Millis now, Millis wall) const;

private:
    struct Entry {
        std::int64_t offset { -1 };
        std::optional<QueueLoad> load;
        Millis readAt { 0 };
    };
    std::map<std::string, Entry, std::less<>> entries; // One for each queue that was ever overloaded.
};

} // namespace rattan::tasks
