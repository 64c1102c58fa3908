#pragma once

// The record format of claims in the store.

#include "base/error.h"
#include "tasks/election.h"

#include <string>
#include <string_view>

namespace rattan::instance {

// All claims share this key, so that the store keeps only the newest one permanently.
inline constexpr std::string_view claimKey = "planner";

// Identifies the process that claims: instance name, its address for callers, and a random suffix.
std::string formatHolder(const std::string& instance, const std::string& callerAddress, const std::string& process);

// The holder's address for callers, or empty if the claim has no holder.
std::string addressOfHolder(const std::string& holder);

std::string encodeClaim(const tasks::Claim&);
Result<tasks::Claim> decodeClaim(std::string_view);

} // namespace rattan::instance
