#include "delivery/direct_channel.h"

#include <utility>

namespace rattan::delivery {

namespace {

    // A start or stop without an answer is sent again after this: far above the way there
    // and back.
    constexpr std::chrono::milliseconds orderTimeout { 230 };
    constexpr std::chrono::milliseconds pollTimeout { 800 }; // Beyond what the poll may wait.
    constexpr std::chrono::milliseconds pollConnectTimeout { 500 };
    constexpr std::size_t ordersAtOnce = 2; // To one worker; with its poll, three connections.

} // namespace

DirectChannel::DirectChannel(http::AsyncClient& client, const WorkerProtocol& protocol, int group, MaySend maySend)
    : client(client)
    , protocol(protocol)
    , group(group)
    , maySend(std::move(maySend))
    , lanes(ordersAtOnce)
{
}

DirectChannel::~DirectChannel() { this->client.cancelGroup(this->group); }

void DirectChannel::send(const WorkerCall& call, Handler handler)
{
    if (call.isPoll())
        return this->sendPoll(call, handler);
    this->lanes.add(call.worker().id, [this, call, handler = std::move(handler)] { this->sendOrder(call, handler); });
}

void DirectChannel::sendOrder(const WorkerCall& call, const Handler& handler)
{
    const auto* start = std::get_if<tasks::StartOrder>(&call.order);
    const std::string worker = call.worker().id;
    if (!this->maySend()) {
        handler(notSent(call));
        return this->lanes.done(worker);
    }
    http::Call sent = start ? this->protocol.start(*start, call.leaseEnd.value_or(0), call.term)
                            : this->protocol.stop(std::get<tasks::StopOrder>(call.order), call.term);
    sent.timeout = orderTimeout;
    sent.connectTimeout = orderTimeout;
    sent.purpose = start ? "start" : "stop";
    const http::ScopedCallGroup scope(this->client, this->group);
    this->client.send(std::move(sent), [this, isStart = start != nullptr, worker, handler](const http::Reply& reply) {
        if (isStart)
            handler({ .reply = this->protocol.parseStart(reply), .status = reply.status });
        else
            handler({ .reply = this->protocol.parseStop(reply), .status = reply.status });
        this->lanes.done(worker);
    });
}

void DirectChannel::sendPoll(const WorkerCall& call, const Handler& handler)
{
    const auto& order = std::get<tasks::PollOrder>(call.order);
    http::Call sent = this->protocol.poll(order, call.leaseEnd, call.term);
    sent.timeout = std::chrono::milliseconds(order.wait) + pollTimeout;
    sent.connectTimeout = pollConnectTimeout;
    sent.purpose = "poll";
    const http::ScopedCallGroup scope(this->client, this->group);
    this->client.send(std::move(sent), [this, handler](const http::Reply& reply) {
        handler({ .reply = this->protocol.parsePoll(reply), .status = reply.status });
    });
}

} // namespace rattan::delivery
