#include "delivery/direct_channel.h"

#include <utility>

namespace rattan::delivery {

namespace {

    // A start or stop without an answer is sent again after this time, which is far above the
    // round-trip time.
    constexpr std::chrono::milliseconds orderTimeout { 230 };
    constexpr std::chrono::milliseconds pollTimeout { 800 }; // In addition to the time for which the worker may hold the poll.
    constexpr std::chrono::milliseconds pollConnectTimeout { 500 };
    constexpr std::size_t maxOrdersInFlight = 2; // For each worker; with its poll, three connections.

} // namespace

DirectChannel::DirectChannel(http::AsyncClient& client, const WorkerProtocol& protocol, int group, CanSend canSend)
    : client(client)
    , protocol(protocol)
    , group(group)
    , canSend(std::move(canSend))
    , queues(maxOrdersInFlight)
{
}

DirectChannel::~DirectChannel() { this->client.cancelGroup(this->group); }

void DirectChannel::send(const WorkerCall& call, Handler handler)
{
    if (call.isPoll())
        return this->sendPoll(call, handler);
    this->queues.add(call.worker().id, [this, call, handler = std::move(handler)] { this->sendOrder(call, handler); });
}

void DirectChannel::sendOrder(const WorkerCall& call, const Handler& handler)
{
    const auto* start = std::get_if<tasks::StartOrder>(&call.order);
    const std::string worker = call.worker().id;
    if (!this->canSend(call)) {
        handler(notSentAnswer(call));
        return this->queues.complete(worker);
    }
    http::Call httpCall = start ? this->protocol.start(*start, call.leaseEnd.value_or(0), call.term)
                                : this->protocol.stop(std::get<tasks::StopOrder>(call.order), call.term);
    httpCall.timeout = orderTimeout;
    httpCall.connectTimeout = orderTimeout;
    httpCall.purpose = start ? "start" : "stop";
    const http::ScopedCallGroup scope(this->client, this->group);
    this->client.send(std::move(httpCall), [this, isStart = start != nullptr, worker, handler](const http::Reply& reply) {
        if (isStart)
            handler({ .reply = this->protocol.parseStart(reply), .status = reply.status });
        else
            handler({ .reply = this->protocol.parseStop(reply), .status = reply.status });
        this->queues.complete(worker);
    });
}

void DirectChannel::sendPoll(const WorkerCall& call, const Handler& handler)
{
    const auto& order = std::get<tasks::PollOrder>(call.order);
    http::Call httpCall = this->protocol.poll(order, call.leaseEnd, call.term);
    httpCall.timeout = std::chrono::milliseconds(order.wait) + pollTimeout;
    httpCall.connectTimeout = pollConnectTimeout;
    httpCall.purpose = "poll";
    const http::ScopedCallGroup scope(this->client, this->group);
    this->client.send(std::move(httpCall), [this, handler](const http::Reply& reply) {
        handler({ .reply = this->protocol.parsePoll(reply), .status = reply.status });
    });
}

} // namespace rattan::delivery
