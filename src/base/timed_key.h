#pragma once

// Idempotency keys: keys of requests that must not run twice. A key contains its creation
// time, because the log that stores the keys is trimmed: without the time, a new key could
// not be distinguished from one that was trimmed.

#include "base/clock.h"

#include <string>

namespace rattan {

// Creates a key, for example "20261202T231500Z-9f86d081884c7d65". `wall` is the current
// wall-clock time; the time in the key is UTC. Thread-safe.
std::string mintKey(Millis wall);

// The part before the hyphen of a key that is created at `wall`.
std::string keyTimestamp(Millis wall);

} // namespace rattan
