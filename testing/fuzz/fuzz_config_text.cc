// Feeds any bytes to the parser of the operators' text. Built and run by
// testing/run-fuzz only.

#include "config/parse.h"

#include <cstdint>
#include <cstdlib>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name for it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string yaml(reinterpret_cast<const char*>(data), size);
    const rattan::config::ParseOutcome outcome = rattan::config::parse(yaml);
    // Either a text or faults, never both and never neither.
    if (outcome.configuration.has_value() != outcome.faults.empty())
        std::abort();
    return 0;
}
