#include "platform/reply.h"

#include <fmt/format.h>

namespace rattan::platform::detail {

namespace {

    // Retry-After is whole seconds; what is not a short number counts as absent.
    std::chrono::milliseconds retryAfter(const http::Reply& reply)
    {
        const auto found = reply.headers.find("retry-after");
        constexpr std::size_t longest = 5;
        if (found == reply.headers.end() || found->second.empty() || found->second.size() > longest
            || found->second.find_first_not_of("0123456789") != std::string::npos)
            return std::chrono::milliseconds(0);
        return std::chrono::seconds(std::stoi(found->second));
    }

    ErrorCode codeForStatus(int status)
    {
        switch (status) {
        case 400:
        case 422:
            return ErrorCode::BadInput;
        case 404:
            return ErrorCode::NotFound;
        case 409:
            return ErrorCode::Conflict;
        case 413:
            return ErrorCode::TooLarge;
        case 429:
            return ErrorCode::Overloaded;
        case 503:
            return ErrorCode::Unavailable;
        default:
            return ErrorCode::Interrupted;
        }
    }

} // namespace

Result<Json> jsonReply(const http::Reply& reply, const std::string& step, const std::string& peer)
{
    if (reply.error)
        return fail(reply.error->code, step, peer, reply.error->message, reply.error->retryAfter);
    if (!reply.ok())
        return fail(codeForStatus(reply.status), step, peer, fmt::format("status {}: {}", reply.status, reply.body.substr(0, 200)), retryAfter(reply));
    auto json = parseJson(reply.body, step, peer);
    if (!json)
        return fail(ErrorCode::Interrupted, step, peer, "the answer is not JSON");
    return json;
}

} // namespace rattan::platform::detail
