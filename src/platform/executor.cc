#include "platform/executor.h"

#include "base/random.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace rattan::platform {

namespace {

    constexpr std::array<std::string_view, 4> fateNames { "answered", "not_sent", "refused", "unclear" };
    constexpr std::size_t requestIdDigits = 24;
    constexpr int tooManyRequests = 429;
    constexpr int serviceUnavailable = 503;
    constexpr std::string_view step = "executor.run";

    std::string headerOf(const http::Reply& reply, const std::string& name)
    {
        const auto found = reply.headers.find(name);
        return found == reply.headers.end() ? std::string() : found->second;
    }

    ExecutorReply without(ForwardFate fate, int status, Error error)
    {
        return { fate, status, {}, std::move(error) };
    }

    Error interrupted(const std::string& address, std::string message)
    {
        return { ErrorCode::Interrupted, std::string(step), address, std::move(message), {} };
    }

} // namespace

std::string_view nameOf(ForwardFate fate) { return fateNames.at(static_cast<std::size_t>(fate)); }

ExecutorReply HttpExecutors::run(const ExecutorCall& order)
{
    const std::string requestId = randomHex(requestIdDigits);
    http::Call call;
    call.method = "POST";
    call.address = order.address;
    call.path = "/v1/run/" + order.operation;
    call.body = order.body;
    call.headers = { { "x-request-id", requestId }, { "x-deadline-ms", fmt::to_string(order.deadline.count()) },
        { "content-type", "application/json" } };
    call.timeout = order.deadline;
    call.connectTimeout = std::max(order.deadline / 4, std::chrono::milliseconds(1));
    call.maxReplyBytes = order.replyLimit;
    call.once = order.once;
    call.canResend = !order.once;
    return detail::readReply(this->clientOf(order.address)->send(call), requestId, order.address);
}

bool HttpExecutors::healthy(const std::string& address, std::chrono::milliseconds timeout)
{
    http::Call call;
    call.address = address;
    call.path = "/v1/health";
    call.timeout = timeout;
    return this->clientOf(address)->send(call).ok();
}

std::shared_ptr<http::Client> HttpExecutors::clientOf(const std::string& address)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->clients.find(address);
    if (found != this->clients.end())
        return found->second;
    // Executors come and go all day; their old connections must not pile up.
    if (this->clients.size() >= mostExecutors)
        this->clients.clear();
    auto client = std::make_shared<http::Client>(http::ClientOptions { .maxIdleHandles = idleConnections, .maxConnectionsPerHandle = 1 });
    this->clients.emplace(address, client);
    return client;
}

namespace detail {

    // A late answer to an earlier request, an answer cut short and one whose end
    // is marked only by the closing connection all look like a normal answer to
    // whoever does not check; the caller would get another's answer or half of
    // its own. The id tells whose it is, the stated length whether it is whole.
    ExecutorReply readReply(const http::Reply& reply, const std::string& requestId, const std::string& address)
    {
        if (reply.sendOutcome == http::SendOutcome::NotSent)
            return without(ForwardFate::NotSent, 0, *reply.error);
        if (reply.error)
            return without(ForwardFate::Unclear, reply.status, *reply.error);
        const bool refusal = reply.status == tooManyRequests || reply.status == serviceUnavailable;
        if (refusal && reply.wasResent())
            return without(ForwardFate::Unclear, reply.status, interrupted(address, "a repeat was refused; the request before it may have run"));
        const std::string answeredId = headerOf(reply, "x-request-id");
        // A refusal may come without an id, for it is given before the request is
        // looked into; with a wrong id it is somebody else's.
        if (answeredId != requestId && !(refusal && answeredId.empty()))
            return without(ForwardFate::Unclear, reply.status, interrupted(address, "the answer is to another request"));
        if (headerOf(reply, "content-length") != fmt::to_string(reply.body.size()))
            return without(ForwardFate::Unclear, reply.status, interrupted(address, "the answer does not state its length"));
        if (reply.status == tooManyRequests)
            return without(ForwardFate::Refused, reply.status,
                { ErrorCode::Overloaded, std::string(step), address, "all slots of the executor are taken", {} });
        if (reply.status == serviceUnavailable)
            return without(ForwardFate::Refused, reply.status,
                { ErrorCode::Unavailable, std::string(step), address, "the executor takes no new work", {} });
        return { ForwardFate::Answered, reply.status, reply.body, {} };
    }

} // namespace detail

} // namespace rattan::platform
