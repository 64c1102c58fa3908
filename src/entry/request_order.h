#pragma once

// The body of POST /v1/requests, checked.

#include "base/clock.h"
#include "base/json.h"

#include <optional>
#include <string>

namespace rattan::entry {

struct RequestOrder {
    std::string service;
    std::string operation;
    std::string key; // Empty: none.
    std::string ticket; // Empty: none.
    std::optional<Millis> deadline; // From now.
    std::string body; // As the executor gets it.
};

// BadInput names every fault at once.
Result<RequestOrder> parseRequestOrder(const std::string& body, const std::string& peer);

// Tells one request from another under the same key or ticket.
std::string fingerprintOf(const RequestOrder&);

// Keys and names that go into records and paths: letters, digits and "._:@+-".
bool isPlainName(std::string_view);

inline constexpr std::size_t longestKey = 128;

} // namespace rattan::entry
