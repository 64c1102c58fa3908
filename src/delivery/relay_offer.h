#pragma once

// The datagram by which an instance offers the planner to carry orders for it.

#include "delivery/relay_selector.h"

#include <optional>
#include <string>

namespace rattan::delivery {

// The address of the sender comes with the datagram, and is not part of its text.
std::string encodeOffer(const RelayOffer&);

// Empty where the text is no offer.
std::optional<RelayOffer> parseOffer(const std::string& from, const std::string& text);

} // namespace rattan::delivery
