#pragma once

// Whether a job of a queue that arrives now can still be of any use, by the work that goes before
// it.
//
// It answers an overload that lasts: more work waits than can be done while it is useful. A job
// that waits until it is useless costs its caller time, and its tasks may still use resources. A
// refusal at once lets the caller retry when the backlog has drained. Nothing is refused while
// resources are free.

#include "base/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace rattan::tasks {

struct QueueBacklog {
    double waitMillis { 0 }; // How long all resources need for the useful work of equal or higher priority.
    Millis usefulSlack { 0 }; // The longest wait after which a job of the queue is still of use.
    double usedShare { 0 }; // Of the scarcest resource, 0 to 1.
};

// The record of a queue whose jobs can't be of use if they arrive now.
struct QueueLoad {
    Millis drain { 0 }; // Forecast time until arriving jobs are of use again.
    Millis writtenAt { 0 }; // Wall-clock time.
    std::string service; // That the forecast is about; empty in records of earlier versions.
};

// The forecast drain; none if a job that arrives now can be of use. `wasExceeded` is whether the
// last call returned one.
std::optional<Millis> forecastDrain(const QueueBacklog&, bool wasExceeded);

// When a refused caller should try again: spread over twice the drain, so that not all of them
// come back at once. Each caller's `id` gives its place.
Millis retryDelayOf(const QueueLoad&, std::string_view id);

// The records load/QUEUE of the jobs stream. Old instances ignore keys that they don't know.
// An empty value ends the excess.
std::string loadKeyOf(std::string_view queue);
std::optional<std::string> queueOfLoadKey(std::string_view key);
std::string encodeLoad(const QueueLoad&);
std::optional<QueueLoad> decodeLoad(std::string_view value); // None if unreadable or empty.

} // namespace rattan::tasks
