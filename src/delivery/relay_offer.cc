#include "delivery/relay_offer.h"

#include <cmath>
#include <fmt/format.h>
#include <sstream>

namespace rattan::delivery {

namespace {

    constexpr const char* word = "relay";

} // namespace

std::string encodeOffer(const RelayOffer& offer)
{
    return fmt::format("{} {:.3f} {:.3f} {}", word, offer.strength.cores, offer.strength.megabits, offer.domain);
}

std::optional<RelayOffer> parseOffer(const std::string& from, const std::string& text)
{
    std::istringstream in(text);
    std::string first;
    RelayOffer offer { .peer = from, .domain = {}, .strength = {} };
    if (!(in >> first >> offer.strength.cores >> offer.strength.megabits >> offer.domain) || first != word)
        return std::nullopt;
    const bool isSane = std::isfinite(offer.strength.cores) && std::isfinite(offer.strength.megabits) && offer.strength.cores > 0 && offer.strength.megabits > 0;
    return isSane ? std::optional(offer) : std::nullopt;
}

} // namespace rattan::delivery
