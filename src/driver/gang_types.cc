#include "driver/gang_types.h"

#include <array>
#include <charconv>
#include <fmt/format.h>

namespace rattan::driver {

namespace {

    constexpr std::array<std::string_view, 7> eventNames { "progress", "started", "finished", "failed", "stopped", "usage",
        "epoch_refused" };

    template <typename Number>
    bool readNumber(std::string_view text, Number* number)
    {
        const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), *number);
        return problem == std::errc() && end == text.data() + text.size();
    }

} // namespace

std::string_view nameOf(GangEventKind kind) { return eventNames.at(static_cast<std::size_t>(kind)); }

std::string leaseName(GangId id) { return fmt::format("{}.{}", id.job, id.attempt); }

std::optional<GangId> parseLeaseName(std::string_view name)
{
    const auto dot = name.find('.');
    GangId id;
    if (dot == std::string_view::npos || !readNumber(name.substr(0, dot), &id.job)
        || !readNumber(name.substr(dot + 1), &id.attempt))
        return std::nullopt;
    return id;
}

} // namespace rattan::driver
