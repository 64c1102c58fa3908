#pragma once

// A caller's key for a request that must not run twice carries the time at which
// it was made; base/timed_key.h says why and mints such keys.

#include "base/timed_key.h"

#include <optional>
#include <string_view>

namespace rattan::entry {

// Milliseconds since 1970 UTC; empty when the key has no such beginning.
std::optional<Millis> timeOfKey(std::string_view key);

} // namespace rattan::entry
