#pragma once

// Validation across several values of a configuration: names are unique and
// references resolve, dependencies have no cycle, no two holders share a token,
// and every failure domain can satisfy all guarantees at the same time.

#include "config/section_reader.h"

namespace rattan::config {

// Limits on the guaranteed pieces of a configuration in total, and on the workers of a failure domain.
inline constexpr std::int64_t maxPieces = 4096;
inline constexpr std::int64_t maxWorkersPerDomain = 4096;

void checkNames(const Configuration&, ParseState&);
void checkDependencies(const Configuration&, ParseState&);
void checkTokens(const Configuration&, ParseState&);
void checkGuarantees(const Configuration&, ParseState&);

} // namespace rattan::config
