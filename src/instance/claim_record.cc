#include "instance/claim_record.h"

#include "base/json.h"

#include <fmt/format.h>
#include <limits>

namespace rattan::instance {

namespace {

    constexpr std::size_t maxHolderLength = 200;

} // namespace

std::string formatHolder(const std::string& instance, const std::string& callerAddress, const std::string& process)
{
    return fmt::format("{}@{}/{}", instance, callerAddress, process);
}

std::string addressOfHolder(const std::string& holder)
{
    const std::size_t at = holder.find('@');
    const std::size_t slash = holder.find('/', at == std::string::npos ? 0 : at);
    if (at == std::string::npos || slash == std::string::npos)
        return {};
    return holder.substr(at + 1, slash - at - 1);
}

std::string encodeClaim(const tasks::Claim& claim)
{
    return Json { { "term", claim.term }, { "holder", claim.holder }, { "renewal", claim.renewal } }.dump();
}

Result<tasks::Claim> decodeClaim(std::string_view text)
{
    const Attempt<Json> json = attempt([&] { return parseJson(text, "instance.claim"); });
    if (!json.value)
        return fail(json.error);
    JsonReader reader(*json.value, "instance.claim");
    tasks::Claim claim;
    claim.term = reader.number("term", 1, std::numeric_limits<std::int64_t>::max());
    claim.holder = reader.text("holder", 0, maxHolderLength);
    claim.renewal = reader.number("renewal", 0, std::numeric_limits<std::int64_t>::max());
    return reader.finish(claim);
}

} // namespace rattan::instance
