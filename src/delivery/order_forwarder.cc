#include "delivery/order_forwarder.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace rattan::delivery {

namespace {

    // True for reports with ended runs and for answers to starts and stops, since dependent
    // tasks wait for them.
    bool isUrgent(const WorkerAnswer& answer)
    {
        const auto* poll = std::get_if<PollReply>(&answer.reply);
        return !poll || !poll->report || !poll->report->ended.empty();
    }

} // namespace

OrderForwarder::OrderForwarder(const tasks::JobTable& jobs, DeliveryPort& port, const Clock& clock, CreateChannel createChannel)
    : jobs(jobs)
    , port(port)
    , clock(clock)
    , createChannel(std::move(createChannel))
{
}

void OrderForwarder::handleOrders(const OrdersReceived& orders, Millis now)
{
    this->handleNewTerm(orders.term);
    const auto [found, isNew] = this->sessions.try_emplace(orders.session);
    if (isNew) {
        found->second.term = orders.term;
        found->second.channel = this->createChannel(orders.session);
    }
    // A stalled connection may deliver orders seconds after they were sent. The planner has
    // given them up by then and may have sent others.
    const bool isLate = this->clock.wall() - orders.sentWallTime > maxTransitTime;
    for (const NumberedCall& numbered : orders.calls) {
        if (isLate || orders.term < this->newestTerm)
            this->queueAnswer(orders.session, { numbered.id, numbered.call.worker().id, notSentAnswer(numbered.call) });
        else
            this->forward(orders.session, numbered, now);
    }
}

void OrderForwarder::handleSessionEnded(const SessionEnded& session) { this->sessions.erase(session.session); }

// Records the newest known term. Orders of earlier terms are not sent any more: the planner of
// the newer term may have called the same workers already, which would then reject them.
void OrderForwarder::handleNewTerm(std::int64_t term)
{
    this->newestTerm = std::max(this->newestTerm, term);
}

void OrderForwarder::forward(std::uint64_t session, const NumberedCall& numbered, Millis now)
{
    NumberedCall pendingCall = numbered;
    auto* start = std::get_if<tasks::StartOrder>(&pendingCall.call.order);
    if (start && !this->attachJobText(*start)) {
        this->sessions.at(session).waitingForText.push_back({ std::move(pendingCall), now + maxJobTextWait });
        return;
    }
    this->sendToWorker(session, pendingCall);
}

bool OrderForwarder::attachJobText(tasks::StartOrder& start) const
{
    const tasks::JobEntry* entry = this->jobs.find(start.run.task.job);
    if (!entry)
        return false;
    start.text = std::shared_ptr<const std::string>(entry->job, &entry->job->text);
    return true;
}

void OrderForwarder::sendToWorker(std::uint64_t session, const NumberedCall& numbered)
{
    this->sessions.at(session).channel->send(numbered.call, [this, session, id = numbered.id, worker = numbered.call.worker().id](const WorkerAnswer& answer) {
        this->queueAnswer(session, { id, worker, answer });
    });
}

void OrderForwarder::queueAnswer(std::uint64_t session, NumberedAnswer answer)
{
    const auto found = this->sessions.find(session);
    if (found == this->sessions.end())
        return;
    SessionState& state = found->second;
    const Millis now = this->clock.now();
    const Millis answerDeadline = isUrgent(answer.answer) ? now : now + maxAnswerDelay;
    state.answerDeadline = state.answers.empty() ? answerDeadline : std::min(state.answerDeadline, answerDeadline);
    state.answers.push_back(std::move(answer));
}

void OrderForwarder::step(Millis now)
{
    std::erase_if(this->sessions, [&](const auto& row) { return row.second.term < this->newestTerm; });
    for (auto& [session, state] : this->sessions) {
        std::deque<WaitingStart> waiting = std::exchange(state.waitingForText, {});
        for (WaitingStart& row : waiting) {
            const WorkerCall& call = row.numbered.call;
            if (now >= row.deadline)
                this->queueAnswer(session, { row.numbered.id, call.worker().id, notSentAnswer(call) });
            else if (auto* start = std::get_if<tasks::StartOrder>(&row.numbered.call.order); this->attachJobText(*start))
                this->sendToWorker(session, row.numbered);
            else
                state.waitingForText.push_back(std::move(row));
        }
        if (!state.answers.empty() && now >= state.answerDeadline)
            this->port.answer({ session, std::exchange(state.answers, {}) });
    }
}

Millis OrderForwarder::nextWake() const
{
    Millis next = std::numeric_limits<Millis>::max();
    for (const auto& [session, state] : this->sessions) {
        if (!state.answers.empty())
            next = std::min(next, state.answerDeadline);
        if (!state.waitingForText.empty())
            next = std::min(next, state.waitingForText.front().deadline);
    }
    return next;
}

} // namespace rattan::delivery
