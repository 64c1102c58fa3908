#include "delivery/order_forwarder.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace rattan::delivery {

namespace {

    // Ends and the answers to orders: tasks that depend on them wait.
    bool isUrgent(const WorkerAnswer& answer)
    {
        const auto* poll = std::get_if<PollReply>(&answer.reply);
        return !poll || !poll->report || !poll->report->ended.empty();
    }

} // namespace

OrderCarrier::OrderCarrier(const tasks::JobTable& jobs, DeliveryPort& port, const Clock& clock, MakeChannel makeChannel)
    : jobs(jobs)
    , port(port)
    , clock(clock)
    , makeChannel(std::move(makeChannel))
{
}

void OrderCarrier::arrived(const OrdersArrived& orders, Millis now)
{
    this->claimed(orders.term);
    const auto [found, isNew] = this->sessions.try_emplace(orders.session);
    if (isNew) {
        found->second.term = orders.term;
        found->second.channel = this->makeChannel(orders.session);
    }
    // A connection that stood still may deliver seconds later what it was given; the
    // planner has given these orders up, and others may have followed.
    const bool isLate = this->clock.wall() - orders.sentWall > longestOnTheWay;
    for (const NumberedCall& numbered : orders.calls) {
        if (isLate || orders.term < this->newestTerm)
            this->tell(orders.session, { numbered.id, numbered.call.worker().id, notSent(numbered.call) });
        else
            this->carry(orders.session, numbered, now);
    }
}

void OrderCarrier::ended(const SessionEnded& session) { this->sessions.erase(session.session); }

// Whoever follows may have asked the same workers: what an earlier planner still wants
// would only be refused there.
void OrderCarrier::claimed(std::int64_t term)
{
    this->newestTerm = std::max(this->newestTerm, term);
}

void OrderCarrier::carry(std::uint64_t session, const NumberedCall& numbered, Millis now)
{
    NumberedCall whole = numbered;
    auto* start = std::get_if<tasks::StartOrder>(&whole.call.order);
    if (start && !this->giveText(*start)) {
        this->sessions.at(session).untilRead.push_back({ std::move(whole), now + longestForText });
        return;
    }
    this->sendOn(session, whole);
}

bool OrderCarrier::giveText(tasks::StartOrder& start) const
{
    const tasks::JobEntry* entry = this->jobs.find(start.run.task.job);
    if (!entry)
        return false;
    start.text = std::shared_ptr<const std::string>(entry->job, &entry->job->text);
    return true;
}

void OrderCarrier::sendOn(std::uint64_t session, const NumberedCall& numbered)
{
    this->sessions.at(session).channel->send(numbered.call, [this, session, id = numbered.id, worker = numbered.call.worker().id](const WorkerAnswer& answer) {
        this->tell(session, { id, worker, answer });
    });
}

void OrderCarrier::tell(std::uint64_t session, NumberedAnswer answer)
{
    const auto found = this->sessions.find(session);
    if (found == this->sessions.end())
        return;
    SessionState& state = found->second;
    const Millis now = this->clock.now();
    const Millis answerBy = isUrgent(answer.answer) ? now : now + longestHeld;
    state.answerBy = state.answers.empty() ? answerBy : std::min(state.answerBy, answerBy);
    state.answers.push_back(std::move(answer));
}

void OrderCarrier::step(Millis now)
{
    std::erase_if(this->sessions, [&](const auto& row) { return row.second.term < this->newestTerm; });
    for (auto& [session, state] : this->sessions) {
        std::deque<Waiting> waiting = std::exchange(state.untilRead, {});
        for (Waiting& row : waiting) {
            const WorkerCall& call = row.numbered.call;
            if (now >= row.until)
                this->tell(session, { row.numbered.id, call.worker().id, notSent(call) });
            else if (auto* start = std::get_if<tasks::StartOrder>(&row.numbered.call.order); this->giveText(*start))
                this->sendOn(session, row.numbered);
            else
                state.untilRead.push_back(std::move(row));
        }
        if (!state.answers.empty() && now >= state.answerBy)
            this->port.answer({ session, std::exchange(state.answers, {}) });
    }
}

Millis OrderCarrier::nextWake() const
{
    Millis next = std::numeric_limits<Millis>::max();
    for (const auto& [session, state] : this->sessions) {
        if (!state.answers.empty())
            next = std::min(next, state.answerBy);
        if (!state.untilRead.empty())
            next = std::min(next, state.untilRead.front().until);
    }
    return next;
}

} // namespace rattan::delivery
