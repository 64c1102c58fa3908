#include "ctl/key.h"

#include "base/random.h"

#include <ctime>
#include <fmt/chrono.h>

namespace rattan::ctl {

std::string mintKey(Millis wall)
{
    constexpr Millis second = 1000;
    constexpr std::size_t randomDigits = 16;
    const auto time = static_cast<std::time_t>(wall / second);
    std::tm parts {};
    gmtime_r(&time, &parts);
    return fmt::format("{:%Y%m%dT%H%M%SZ}-{}", parts, randomHex(randomDigits));
}

} // namespace rattan::ctl
