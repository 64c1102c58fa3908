#pragma once

// A caller's key for a request that must not run twice carries the time at which
// it was made: "20260401T093000Z-anything". Without it nobody could tell a new
// key from one whose claim the log has trimmed since.

#include "base/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace rattan::entry {

// Milliseconds since 1970 UTC; empty when the key has no such beginning.
std::optional<Millis> timeOfKey(std::string_view key);

// A new key for this time.
std::string mintKey(Millis wall);

} // namespace rattan::entry
