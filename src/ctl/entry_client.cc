#include "ctl/entry_client.h"

#include <algorithm>

namespace rattan::ctl {

namespace {

    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;

    // An answer that states an outcome is final: the entry may have claimed the
    // key, and another entry would find a claim of which it cannot tell the end.
    bool isPassedOver(const EntryReply& reply)
    {
        if (reply.json.is_object() && reply.json.contains("outcome"))
            return false;
        return reply.status == 0 || reply.status == tooManyRequests || reply.status == unavailable;
    }

    std::chrono::milliseconds retryAfterOf(const http::Reply& reply)
    {
        const auto header = reply.headers.find("retry-after");
        constexpr std::size_t longest = 6;
        if (header == reply.headers.end() || header->second.empty() || header->second.size() > longest
            || !std::all_of(header->second.begin(), header->second.end(), [](char c) { return c >= '0' && c <= '9'; }))
            return std::chrono::milliseconds(0);
        return std::chrono::seconds(std::stol(header->second));
    }

    std::string textAt(const Json& json, const char* name)
    {
        return json.contains(name) && json[name].is_string() ? json[name].get<std::string>() : std::string();
    }

    Error errorOf(const EntryReply& reply, const http::Reply& raw, const std::string& address)
    {
        Error error { ErrorCode::Internal, "http", address, "the answer has status " + std::to_string(reply.status), retryAfterOf(raw) };
        if (!reply.json.is_object() || !reply.json.contains("error") || !reply.json["error"].is_object())
            return error;
        const Json& given = reply.json["error"];
        error.step = textAt(given, "step");
        error.message = textAt(given, "message");
        const std::string peer = textAt(given, "peer");
        error.peer = peer.empty() ? address : peer;
        return error;
    }

} // namespace

EntryClient::EntryClient(std::vector<std::string> addresses, std::string token, std::chrono::milliseconds timeout)
    : entries(std::move(addresses))
    , token(std::move(token))
    , timeout(timeout)
{
}

EntryReply EntryClient::call(const std::string& method, const std::string& path, const Json& body)
{
    EntryReply best;
    best.error = { ErrorCode::Unavailable, "ctl.call", "", "no entry address is given", {} };
    bool mayHaveActed = false;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        const std::size_t index = (this->first + i) % this->entries.size();
        EntryReply reply = this->callAt(this->entries[index], method, path, body);
        mayHaveActed = mayHaveActed || reply.mayHaveActed;
        if (!isPassedOver(reply)) {
            this->first = index;
            reply.mayHaveActed = mayHaveActed;
            return reply;
        }
        if (i == 0 || reply.status != 0 || best.status == 0)
            best = std::move(reply);
    }
    best.mayHaveActed = mayHaveActed;
    return best;
}

EntryReply EntryClient::callAt(const std::string& address, const std::string& method, const std::string& path, const Json& body)
{
    http::Call call { .method = method, .address = address, .path = path };
    if (!body.is_null())
        call.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    if (!this->token.empty())
        call.headers.emplace_back("Authorization", "Bearer " + this->token);
    call.headers.emplace_back("Content-Type", "application/json");
    call.timeout = this->timeout;
    call.canResend = true;
    const http::Reply raw = this->client.send(call);
    EntryReply reply;
    reply.mayHaveActed = raw.sendOutcome == http::SendOutcome::PossiblySent || raw.wasResent();
    if (raw.error) {
        reply.error = *raw.error;
        return reply;
    }
    reply.status = raw.status;
    reply.json = Json::parse(raw.body, nullptr, false);
    if (reply.json.is_discarded())
        reply.json = nullptr;
    if (!reply.ok())
        reply.error = errorOf(reply, raw, address);
    return reply;
}

} // namespace rattan::ctl
