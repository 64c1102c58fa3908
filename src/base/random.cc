#include "base/random.h"

#include <random>

namespace rattan {

namespace {

    std::mt19937_64& generator()
    {
        thread_local std::mt19937_64 engine([] {
            std::random_device device;
            std::seed_seq seed { device(), device(), device(), device(), device(), device(), device(), device() };
            return std::mt19937_64(seed);
        }());
        return engine;
    }

} // namespace

std::string randomHex(std::size_t digits)
{
    constexpr char alphabet[] = "0123456789abcdef";
    std::string text(digits, '0');
    for (char& c : text)
        c = alphabet[randomBelow(16)];
    return text;
}

std::uint64_t randomBelow(std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(generator());
}

} // namespace rattan
