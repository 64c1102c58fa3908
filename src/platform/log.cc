#include "platform/log.h"

#include "platform/reply.h"

#include <fmt/format.h>

namespace rattan::platform {

namespace {

    constexpr std::size_t pageBytes = 32 << 20;

    Result<LogPage> parsePage(const Json& json, const std::string& address)
    {
        JsonReader reader(json, "log.read", address);
        reader.allowUnknownFields();
        LogPage page;
        constexpr std::int64_t highest = std::numeric_limits<std::int64_t>::max();
        page.firstKept = static_cast<std::uint64_t>(reader.number("first_kept", 0, highest));
        page.next = static_cast<std::uint64_t>(reader.number("next", 0, highest));
        for (const Json& item : reader.array("records", 100000)) {
            JsonReader record(item, "log.read", address);
            record.allowUnknownFields();
            LogRecord parsed;
            parsed.offset = static_cast<std::uint64_t>(record.number("offset", 0, highest));
            parsed.atWall = record.number("at_ms", 0, highest);
            parsed.value = record.anyOr("value", Json());
            if (auto error = record.error())
                return fail(std::move(*error));
            page.records.push_back(std::move(parsed));
        }
        return reader.finish(std::move(page));
    }

} // namespace

HttpLog::HttpLog(std::string address, std::chrono::milliseconds timeout)
    : address(std::move(address))
    , timeout(timeout)
{
}

Result<AppendDone> HttpLog::append(const std::string& stream, const std::vector<Json>& values)
{
    http::Call call;
    call.method = "POST";
    call.address = this->address;
    call.path = "/v1/streams/" + stream + "/records";
    call.body = Json { { "records", values } }.dump(-1, ' ', false, Json::error_handler_t::replace);
    call.timeout = this->timeout;
    // Appends are not idempotent by themselves, so libcurl must not repeat one.
    call.once = true;
    BOOST_LEAF_AUTO(json, detail::jsonReply(this->client.send(call), "log.append", this->address));
    JsonReader reader(json, "log.append", this->address);
    reader.allowUnknownFields();
    AppendDone done;
    constexpr std::int64_t highest = std::numeric_limits<std::int64_t>::max();
    done.first = static_cast<std::uint64_t>(reader.number("first", 0, highest));
    done.next = static_cast<std::uint64_t>(reader.number("next", 0, highest));
    return reader.finish(done);
}

Result<LogPage> HttpLog::read(const std::string& stream, std::uint64_t from, std::size_t limit,
    std::chrono::milliseconds wait)
{
    http::Call call;
    call.address = this->address;
    call.path = fmt::format("/v1/streams/{}/records?from={}&limit={}&wait_ms={}", stream, from, limit, wait.count());
    call.timeout = this->timeout + wait;
    call.maxReplyBytes = pageBytes;
    BOOST_LEAF_AUTO(json, detail::jsonReply(this->client.send(call), "log.read", this->address));
    return parsePage(json, this->address);
}

} // namespace rattan::platform
