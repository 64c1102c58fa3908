#pragma once

// The datagram with which an instance offers the planner to act as a relay, that is, to
// forward the planner's orders to workers.

#include "delivery/relay_selector.h"

#include <optional>
#include <string>

namespace rattan::delivery {

// The text does not contain RelayOffer::peer: the receiver takes it from the datagram's sender.
std::string encodeOffer(const RelayOffer&);

// The offer, or empty if the text is not a valid one. `from` is the sender's address.
std::optional<RelayOffer> parseOffer(const std::string& from, const std::string& text);

} // namespace rattan::delivery
