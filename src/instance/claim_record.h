#pragma once

// How a claim to plan stands in the log.

#include "base/error.h"
#include "tasks/election.h"

#include <string>
#include <string_view>

namespace rattan::instance {

// The key of every claim: only the newest is kept for good.
inline constexpr std::string_view claimKey = "planner";

// The process that claims: its instance, where callers reach that, and digits of its own.
std::string formatHolder(const std::string& instance, const std::string& callerAddress, const std::string& process);

// Where callers reach the holder; empty if the claim has none.
std::string addressOfHolder(const std::string& holder);

std::string encodeClaim(const tasks::Claim&);
Result<tasks::Claim> decodeClaim(std::string_view);

} // namespace rattan::instance
