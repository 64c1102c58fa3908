#include "delivery/relayed_channel.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace rattan::delivery {

namespace {

    // Beyond what a poll may wait: a relay gives its own tries up sooner, and tells so.
    constexpr Millis relayedLimit = 1600;

    Millis limitOf(const WorkerCall& call)
    {
        const auto* poll = std::get_if<tasks::PollOrder>(&call.order);
        return relayedLimit + (poll ? poll->wait : 0);
    }

} // namespace

RelayedChannel::RelayedChannel(std::int64_t term, RelayRoster& roster, WorkerChannel& direct, DeliveryPort& port, const Clock& clock)
    : term(term)
    , roster(roster)
    , direct(direct)
    , port(port)
    , clock(clock)
{
    this->port.keepOnly(term);
}

void RelayedChannel::send(const WorkerCall& call, Handler handler)
{
    const Millis now = this->clock.now();
    const auto relay = this->roster.routeOf(call.worker().id, now);
    if (!relay)
        return this->sendDirect(call, handler);
    const std::uint32_t id = ++this->lastId;
    const Millis endsAt = now + limitOf(call);
    this->pending.emplace(id, Pending { *relay, call, std::move(handler), endsAt });
    this->ends.emplace(endsAt, id);
    Outgoing& out = this->outgoing[*relay];
    const Millis sendBy = call.isPoll() ? now + longestHeld : now;
    out.sendBy = out.ids.empty() ? sendBy : std::min(out.sendBy, sendBy);
    out.ids.push_back(id);
}

void RelayedChannel::sendDirect(const WorkerCall& call, const Handler& handler)
{
    this->direct.send(call, [this, worker = call.worker().id, handler](const WorkerAnswer& answer) {
        if (!wasAnswered(answer))
            this->roster.routeFailed(worker, this->clock.now());
        handler(answer);
    });
}

void RelayedChannel::step(Millis now)
{
    for (auto& [peer, out] : this->outgoing) {
        if (!out.ids.empty() && now >= out.sendBy)
            this->flush(peer, out, now);
    }
    while (!this->ends.empty() && this->ends.begin()->first <= now) {
        const std::uint32_t id = this->ends.begin()->second;
        this->finish(id, withoutAnswer(this->pending.at(id).call), now);
    }
}

void RelayedChannel::flush(const std::string& peer, Outgoing& out, Millis now)
{
    OrderBatch batch { .peer = peer, .term = this->term, .sentWall = this->clock.wall(), .calls = {} };
    const std::vector<std::uint32_t> ids = std::exchange(out.ids, {});
    for (const std::uint32_t id : ids) {
        if (const auto found = this->pending.find(id); found != this->pending.end())
            batch.calls.push_back({ id, found->second.call });
    }
    if (batch.calls.empty() || this->port.send(std::move(batch)))
        return;
    for (const std::uint32_t id : ids) {
        if (const auto found = this->pending.find(id); found != this->pending.end())
            this->finish(id, notSent(found->second.call), now);
    }
}

Millis RelayedChannel::nextWake() const
{
    Millis next = this->ends.empty() ? std::numeric_limits<Millis>::max() : this->ends.begin()->first;
    for (const auto& [peer, out] : this->outgoing) {
        if (!out.ids.empty())
            next = std::min(next, out.sendBy);
    }
    return next;
}

void RelayedChannel::finish(std::uint32_t id, const WorkerAnswer& answer, Millis now)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end())
        return; // Given up before, and told so.
    const Pending done = std::move(found->second);
    this->pending.erase(found);
    this->ends.erase({ done.endsAt, id });
    if (!wasAnswered(answer))
        this->roster.routeFailed(done.call.worker().id, now);
    done.handler(answer);
}

void RelayedChannel::arrived(const AnswersArrived& answers, Millis now)
{
    if (answers.term != this->term)
        return;
    for (const NumberedAnswer& row : answers.answers)
        this->finish(row.id, row.answer, now);
}

void RelayedChannel::lost(const PeerLost& peer, Millis now)
{
    if (peer.term != this->term)
        return;
    this->roster.relayLost(peer.peer, now);
    const Outgoing unsent = std::exchange(this->outgoing[peer.peer], {});
    for (const std::uint32_t id : unsent.ids) {
        if (const auto found = this->pending.find(id); found != this->pending.end())
            this->finish(id, notSent(found->second.call), now);
    }
    std::vector<std::uint32_t> underWay;
    for (const auto& [id, row] : this->pending) {
        if (row.peer == peer.peer)
            underWay.push_back(id);
    }
    for (const std::uint32_t id : underWay) {
        if (const auto found = this->pending.find(id); found != this->pending.end())
            this->finish(id, withoutAnswer(found->second.call), now);
    }
}

} // namespace rattan::delivery
