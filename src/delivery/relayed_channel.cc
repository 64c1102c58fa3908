#include "delivery/relayed_channel.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace rattan::delivery {

namespace {

    // In addition to the time for which the worker may hold a poll. A relay gives up and reports
    // so before this timeout.
    constexpr Millis relayReplyTimeout = 1600;

    Millis replyTimeoutOf(const WorkerCall& call)
    {
        const auto* poll = std::get_if<tasks::PollOrder>(&call.order);
        return relayReplyTimeout + (poll ? poll->wait : 0);
    }

} // namespace

RelayedChannel::RelayedChannel(std::int64_t term, RelaySelector& selector, WorkerChannel& direct, DeliveryPort& port, const Clock& clock)
    : term(term)
    , selector(selector)
    , direct(direct)
    , port(port)
    , clock(clock)
{
    this->port.closeOtherTerms(term);
}

void RelayedChannel::send(const WorkerCall& call, Handler handler)
{
    const Millis now = this->clock.now();
    const auto relay = this->selector.relayFor(call.worker().id, now);
    if (!relay)
        return this->sendDirect(call, handler);
    const std::uint32_t id = ++this->lastId;
    const Millis deadline = now + replyTimeoutOf(call);
    this->pending.emplace(id, Pending { *relay, call, std::move(handler), deadline });
    this->deadlines.emplace(deadline, id);
    OutgoingBatch& out = this->outgoing[*relay];
    const Millis sendDeadline = call.isPoll() ? now + maxPollDelay : now;
    out.sendDeadline = out.ids.empty() ? sendDeadline : std::min(out.sendDeadline, sendDeadline);
    out.ids.push_back(id);
}

void RelayedChannel::sendDirect(const WorkerCall& call, const Handler& handler)
{
    this->direct.send(call, [this, worker = call.worker().id, handler](const WorkerAnswer& answer) {
        if (!wasAnswered(answer))
            this->selector.markRouteFailed(worker, this->clock.now());
        handler(answer);
    });
}

void RelayedChannel::step(Millis now)
{
    for (auto& [peer, out] : this->outgoing) {
        if (!out.ids.empty() && now >= out.sendDeadline)
            this->flush(peer, out, now);
    }
    if (this->deadlines.empty() || now < std::max(this->deadlines.begin()->first, this->nextArrivalCheckAt))
        return;
    this->nextArrivalCheckAt = now + arrivalCheckInterval;
    if (++this->unansweredChecks > maxUnansweredChecks || !this->port.checkArrivals({ this->term, now }))
        this->endOverdueOrders(now, now);
}

void RelayedChannel::handleArrivalCheck(const ArrivalCheck& check, Millis now)
{
    if (check.term != this->term)
        return;
    this->nextArrivalCheckAt = 0;
    this->unansweredChecks = 0;
    this->endOverdueOrders(check.requestedAt, now);
}

void RelayedChannel::endOverdueOrders(Millis overdueAt, Millis now)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= overdueAt) {
        const std::uint32_t id = this->deadlines.begin()->second;
        this->complete(id, missingAnswer(this->pending.at(id).call), now);
    }
}

void RelayedChannel::flush(const std::string& peer, OutgoingBatch& out, Millis now)
{
    OrderBatch batch { .peer = peer, .term = this->term, .sentWallTime = this->clock.wall(), .calls = {} };
    const std::vector<std::uint32_t> ids = std::exchange(out.ids, {});
    for (const std::uint32_t id : ids) {
        if (const auto found = this->pending.find(id); found != this->pending.end())
            batch.calls.push_back({ id, found->second.call });
    }
    if (batch.calls.empty() || this->port.send(std::move(batch)))
        return;
    for (const std::uint32_t id : ids) {
        if (const auto found = this->pending.find(id); found != this->pending.end())
            this->complete(id, notSentAnswer(found->second.call), now);
    }
}

Millis RelayedChannel::nextWake() const
{
    Millis next = this->deadlines.empty() ? std::numeric_limits<Millis>::max() : std::max(this->deadlines.begin()->first, this->nextArrivalCheckAt);
    for (const auto& [peer, out] : this->outgoing) {
        if (!out.ids.empty())
            next = std::min(next, out.sendDeadline);
    }
    return next;
}

void RelayedChannel::complete(std::uint32_t id, const WorkerAnswer& answer, Millis now)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end())
        return; // The order has timed out or its relay was lost before this answer.
    const Pending done = std::move(found->second);
    this->pending.erase(found);
    this->deadlines.erase({ done.deadline, id });
    if (!wasAnswered(answer))
        this->selector.markRouteFailed(done.call.worker().id, now);
    WorkerAnswer relayedAnswer = answer;
    relayedAnswer.relay = done.peer;
    done.handler(relayedAnswer);
}

void RelayedChannel::handleAnswers(const AnswersReceived& answers, Millis now)
{
    if (answers.term != this->term)
        return;
    for (const NumberedAnswer& row : answers.answers)
        this->complete(row.id, row.answer, now);
}

void RelayedChannel::handlePeerLost(const PeerLost& peer, Millis now)
{
    if (peer.term != this->term)
        return;
    this->selector.markRelayLost(peer.peer, now);
    const OutgoingBatch unsent = std::exchange(this->outgoing[peer.peer], {});
    for (const std::uint32_t id : unsent.ids) {
        if (const auto found = this->pending.find(id); found != this->pending.end())
            this->complete(id, notSentAnswer(found->second.call), now);
    }
    std::vector<std::uint32_t> inFlight;
    for (const auto& [id, row] : this->pending) {
        if (row.peer == peer.peer)
            inFlight.push_back(id);
    }
    for (const std::uint32_t id : inFlight) {
        if (const auto found = this->pending.find(id); found != this->pending.end())
            this->complete(id, missingAnswer(found->second.call), now);
    }
}

} // namespace rattan::delivery
