#pragma once

// Random values that need not be reproducible: ids of processes, spans and requests,
// and jitter. Code whose decisions a test must reproduce uses its own seeded
// std::mt19937_64 instead of these functions. Thread-safe.

#include <cstddef>
#include <cstdint>
#include <string>

namespace rattan {

// Returns `digits` lower-case hex digits. Each thread has a generator that is seeded from
// std::random_device.
std::string randomHex(std::size_t digits);

// Returns a uniformly distributed value in [0, bound). `bound` must be greater than zero.
std::uint64_t randomBelow(std::uint64_t bound);

} // namespace rattan
