#pragma once

// Looks up a name in the name table of an enum class. The enum's values must be 0, 1, 2,
// ... in the order of the table.
//
//     constexpr std::array<std::string_view, 2> colourNames { "red", "blue" };
//     if (const auto index = indexOfName(colourNames, text))
//         colour = static_cast<Colour>(*index);

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace rattan {

// The index of `name` in `names`, or nullopt if it is not there.
template <std::size_t count>
constexpr std::optional<std::size_t> indexOfName(const std::array<std::string_view, count>& names, std::string_view name)
{
    for (std::size_t i = 0; i < count; ++i) {
        if (names[i] == name)
            return i;
    }
    return std::nullopt;
}

} // namespace rattan
