#include "entry/claim_key.h"

#include <algorithm>
#include <ctime>

namespace rattan::entry {

namespace {

    constexpr std::size_t stampLength = 16; // YYYYMMDDTHHMMSSZ

    int numberAt(std::string_view text, std::size_t at, std::size_t digits)
    {
        int value = 0;
        for (const char c : text.substr(at, digits))
            value = value * 10 + (c - '0');
        return value;
    }

} // namespace

std::optional<Millis> timeOfKey(std::string_view key)
{
    if (key.size() <= stampLength + 1 || key[8] != 'T' || key[15] != 'Z' || key[stampLength] != '-')
        return std::nullopt;
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    if (!std::all_of(key.begin(), key.begin() + 8, isDigit) || !std::all_of(key.begin() + 9, key.begin() + 15, isDigit))
        return std::nullopt;
    std::tm parts {};
    parts.tm_year = numberAt(key, 0, 4) - 1900;
    parts.tm_mon = numberAt(key, 4, 2) - 1;
    parts.tm_mday = numberAt(key, 6, 2);
    parts.tm_hour = numberAt(key, 9, 2);
    parts.tm_min = numberAt(key, 11, 2);
    parts.tm_sec = numberAt(key, 13, 2);
    const Millis time = static_cast<Millis>(timegm(&parts)) * 1000;
    // timegm carries the 31st of a short month into the next; such a stamp is refused.
    if (keyTimestamp(time) != key.substr(0, stampLength))
        return std::nullopt;
    return time;
}

} // namespace rattan::entry
