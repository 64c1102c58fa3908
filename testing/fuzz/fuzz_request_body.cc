// Feeds what callers send to the entry to its parsers: request and job bodies,
// tickets and claim records. Built and run by testing/run-fuzz only.

#include "entry/claim_record.h"
#include "entry/job_order.h"
#include "entry/request_order.h"
#include "entry/ticket.h"

#include <cstdint>
#include <cstdlib>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name for it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace rattan;
    const std::string text(reinterpret_cast<const char*>(data), size);
    const auto order = attempt([&] { return entry::parseRequestOrder(text, "fuzz"); });
    // What is taken goes into paths and records unescaped.
    if (order && !(entry::isPlainName(order->service) && entry::isPlainName(order->operation) && entry::isPlainName(order->key)))
        std::abort();
    const auto job = attempt([&] { return entry::parseJobOrder(text, "fuzz"); });
    if (job && (job->spec.members < 1 || job->spec.accelerators < 0))
        std::abort();
    if (const auto ticket = entry::parseTicket(text)) {
        if (!entry::parseTicket(entry::toText(*ticket)))
            std::abort();
    }
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_discarded())
        static_cast<void>(entry::parseClaimRecord(json));
    return 0;
}
