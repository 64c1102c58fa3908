#pragma once

// What a text must hold beyond the form of each value: names that are unique
// and known, dependencies without cycles, tokens of one holder each, and
// guarantees that can all be met at once in every failure domain.

#include "config/section_reader.h"

namespace rattan::config {

// Guaranteed pieces that one text may name in all, and workers of one domain.
inline constexpr std::int64_t maxPieces = 4096;
inline constexpr std::int64_t maxWorkersPerDomain = 4096;

void checkNames(const Configuration&, ParseState&);
void checkDependencies(const Configuration&, ParseState&);
void checkTokens(const Configuration&, ParseState&);
void checkGuarantees(const Configuration&, ParseState&);

} // namespace rattan::config
