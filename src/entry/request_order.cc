#include "entry/request_order.h"

#include "entry/auth.h"

#include <algorithm>
#include <string_view>

namespace rattan::entry {

namespace {

    constexpr std::size_t longestName = 100;
    constexpr std::size_t longestTicket = 400;
    constexpr Millis longestDeadline = 3600000;
    constexpr std::string_view otherCharacters = "._:@+-";

} // namespace

bool isPlainName(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || otherCharacters.find(c) != std::string_view::npos;
    });
}

Result<RequestOrder> parseRequestOrder(const std::string& body, const std::string& peer)
{
    const std::string step = "entry.request";
    BOOST_LEAF_AUTO(json, parseJson(body, step, peer));
    JsonReader reader(json, step, peer);
    RequestOrder order;
    order.service = reader.text("service", 1, longestName);
    order.operation = reader.text("operation", 1, longestName);
    order.key = reader.textOr("key", "", longestKey);
    order.ticket = reader.textOr("ticket", "", longestTicket);
    if (reader.has("deadline_ms"))
        order.deadline = reader.number("deadline_ms", 1, longestDeadline);
    const Json nothing;
    const Json& content = reader.anyOr("body", nothing);
    if (!isPlainName(order.service) || !isPlainName(order.operation) || !isPlainName(order.key))
        reader.addError("service, operation and key may hold letters, digits and . _ : @ + - only");
    if (!order.key.empty() && !order.ticket.empty())
        reader.addError("either a key or a ticket is expected, not both");
    if (content.is_string())
        order.body = content.get<std::string>();
    else if (!content.is_null())
        order.body = content.dump(-1, ' ', false, Json::error_handler_t::replace);
    return reader.finish(std::move(order));
}

std::string fingerprintOf(const RequestOrder& order)
{
    constexpr std::size_t digits = 32;
    return sha256Hex(order.service + "/" + order.operation + "\n" + order.body).substr(0, digits);
}

} // namespace rattan::entry
