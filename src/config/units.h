#pragma once

// Amounts with a unit, as operators write them.
//
// Durations: a whole number and ms, s, m or h, like "500ms" or "10m".
// Memory: a whole number and MB, GB, TB (powers of 1000) or MiB, GiB, TiB
// (powers of 1024), like "64GiB" or "512 MB"; held in whole MiB, rounded down.
// One space may stand before the unit. Empty when the text is neither, or when
// the amount does not fit.

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace rattan::config {

std::optional<std::int64_t> parseInteger(std::string_view);
std::optional<Millis> parseDuration(std::string_view);
std::optional<std::int64_t> parseMemoryMib(std::string_view);

} // namespace rattan::config
