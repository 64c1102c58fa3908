#pragma once

// Parsers of numbers and of amounts with a unit.
//
// Durations: a whole number and ms, s, m or h, like "500ms" or "10m".
// Memory: a whole number and MB, GB, TB (powers of 1000) or MiB, GiB, TiB
// (powers of 1024), like "64GiB" or "512 MB"; returned in MiB, rounded down.
//
// One space is allowed before the unit. The result is empty if the text is
// malformed or the amount overflows.

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace rattan::config {

std::optional<std::int64_t> parseInteger(std::string_view);
std::optional<Millis> parseDuration(std::string_view);
std::optional<std::int64_t> parseMemoryMib(std::string_view);

} // namespace rattan::config
