#pragma once

// The invariants of the state, each checked from the jobs themselves and not
// from the accounts that the decisions use.

#include "decide/engine.h"

#include <string>
#include <vector>

namespace rattan::decide::detail {

// One sentence for each breach.
std::vector<std::string> checkState(const Engine&);

// Whether all guaranteed shapes of the text can be met at once if every borrowed
// gang goes: tries every assignment. Exponential; for clusters of a few workers.
// Gangs that run by guarantee stay where they are and count towards the shapes
// that they run by; firm gangs stay.
bool referenceMeets(const Engine&);

} // namespace rattan::decide::detail
