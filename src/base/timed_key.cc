#include "base/timed_key.h"

#include "base/random.h"

#include <ctime>
#include <fmt/chrono.h>

namespace rattan {

std::string mintKey(Millis wall)
{
    constexpr std::size_t randomDigits = 16;
    return fmt::format("{}-{}", keyTimestamp(wall), randomHex(randomDigits));
}

std::string keyTimestamp(Millis wall)
{
    constexpr Millis second = 1000;
    const auto time = static_cast<std::time_t>(wall / second);
    std::tm parts {};
    gmtime_r(&time, &parts);
    return fmt::format("{:%Y%m%dT%H%M%SZ}", parts);
}

} // namespace rattan
