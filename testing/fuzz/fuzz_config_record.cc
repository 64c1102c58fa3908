// Feeds records, one JSON value a line, to the ledger that computes the text in
// force. Built and run by testing/run-fuzz only.

#include "config/ledger.h"

#include <cstdint>
#include <cstdlib>
#include <sstream>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name for it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    std::istringstream lines(std::string(reinterpret_cast<const char*>(data), size));
    rattan::config::Ledger ledger;
    std::uint64_t trim = 0;
    for (std::string line; std::getline(lines, line);) {
        if (line.empty())
            ledger.handleTrim(++trim);
        const rattan::Json record = rattan::Json::parse(line, nullptr, false);
        const std::int64_t before = ledger.inForce().number;
        ledger.apply(ledger.next(), record);
        // The version in force never goes back.
        if (ledger.inForce().number < before)
            std::abort();
    }
    return 0;
}
