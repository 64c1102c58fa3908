#pragma once

// Keys of requests that must not run twice. A key carries the time at which it
// was minted, because the log that remembers keys is trimmed: without the time
// nobody could tell a new key from one that was forgotten.

#include "base/clock.h"

#include <string>

namespace rattan {

// For example "20261202T231500Z-9f86d081884c7d65"; the time is UTC. Thread-safe.
std::string mintKey(Millis wall);

// The first part of a key minted at that time.
std::string keyTimestamp(Millis wall);

} // namespace rattan
