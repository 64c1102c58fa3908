#include "config/units.h"

#include <array>
#include <charconv>

namespace rattan::config {

namespace {

    struct Unit {
        std::string_view name;
        std::int64_t size;
    };

    constexpr std::array<Unit, 4> durationUnits { { { "ms", 1 }, { "s", 1000 }, { "m", 60000 }, { "h", 3600000 } } };

    constexpr std::int64_t mib = 1 << 20;
    constexpr std::array<Unit, 6> memoryUnits { {
        { "MB", 1000000 },
        { "GB", 1000000000 },
        { "TB", 1000000000000 },
        { "MiB", mib },
        { "GiB", mib * 1024 },
        { "TiB", mib * 1024 * 1024 },
    } };

    template <std::size_t count>
    std::optional<std::int64_t> parseAmount(std::string_view text, const std::array<Unit, count>& units)
    {
        const std::size_t digits = std::min(text.find_first_not_of("0123456789"), text.size());
        const auto number = parseInteger(text.substr(0, digits));
        std::string_view name = text.substr(digits);
        if (name.starts_with(' '))
            name.remove_prefix(1);
        std::int64_t amount = 0;
        for (const Unit& unit : units) {
            if (number && unit.name == name && !__builtin_mul_overflow(*number, unit.size, &amount))
                return amount;
        }
        return std::nullopt;
    }

} // namespace

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<Millis> parseDuration(std::string_view text) { return parseAmount(text, durationUnits); }

std::optional<std::int64_t> parseMemoryMib(std::string_view text)
{
    const auto bytes = parseAmount(text, memoryUnits);
    if (!bytes)
        return std::nullopt;
    return *bytes / mib;
}

} // namespace rattan::config
