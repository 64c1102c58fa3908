#include "delivery/relay_offer.h"

#include <cmath>
#include <fmt/format.h>
#include <sstream>

namespace rattan::delivery {

namespace {

    constexpr const char* messageType = "relay";

} // namespace

std::string encodeOffer(const RelayOffer& offer)
{
    return fmt::format("{} {:.3f} {:.3f} {}", messageType, offer.capacity.cores, offer.capacity.megabitsPerSecond, offer.domain);
}

std::optional<RelayOffer> parseOffer(const std::string& from, const std::string& text)
{
    std::istringstream in(text);
    std::string type;
    RelayOffer offer { .peer = from, .domain = {}, .capacity = {} };
    if (!(in >> type >> offer.capacity.cores >> offer.capacity.megabitsPerSecond >> offer.domain) || type != messageType)
        return std::nullopt;
    const bool isValid = std::isfinite(offer.capacity.cores) && std::isfinite(offer.capacity.megabitsPerSecond) && offer.capacity.cores > 0 && offer.capacity.megabitsPerSecond > 0;
    return isValid ? std::optional(offer) : std::nullopt;
}

} // namespace rattan::delivery
