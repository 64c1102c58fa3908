#include "entry/forwarder.h"

#include "base/trace.h"
#include "entry/events.h"

#include <algorithm>

namespace rattan::entry {

namespace {

    constexpr std::chrono::milliseconds defaultRetryAfter(500);

    // Not a retry of the program's: the caller is told, and when to come back.
    Error toldWhen(Error error)
    {
        error.retryAfter = std::max(error.retryAfter, defaultRetryAfter);
        return error;
    }

} // namespace

Forwarder::Forwarder(Gate& gate, platform::Executors& executors, RetryBudget& budget, Metrics& metrics, const Clock& clock)
    : gate(gate)
    , executors(executors)
    , budget(budget)
    , metrics(metrics)
    , clock(clock)
{
}

Outcome Forwarder::forward(const ForwardOrder& order)
{
    this->budget.firstTry();
    SlotRequest wanted { order.service, order.urgency, order.deadline, {} };
    bool mayHaveRun = false;
    Error last;
    for (int tries = 1;; ++tries) {
        const Attempt<Slot> slot = attempt([&] { return this->gate.acquire(wanted); });
        if (!slot) {
            // After an unclear try, a refusal to try again does not undo it.
            return mayHaveRun ? unknown(toldWhen(last)) : notRun(toldWhen(slot.error));
        }
        const platform::ExecutorReply reply = this->tryOnce(order, *slot);
        this->metrics.count("rattan_entry_forwards_total", { { "service", order.service }, { "fate", std::string(nameOf(reply.fate)) } });
        if (reply.fate == platform::ForwardFate::Answered)
            return { OutcomeKind::Done, reply.status, reply.body, true, {} };
        last = reply.error;
        mayHaveRun = mayHaveRun || reply.fate == platform::ForwardFate::Unclear;
        if (!this->mayTryAgain(order, reply.fate, tries))
            return mayHaveRun ? unknown(toldWhen(last)) : notRun(toldWhen(last));
        wanted.excluded.insert(slot->executor);
    }
}

platform::ExecutorReply Forwarder::tryOnce(const ForwardOrder& order, const Slot& slot)
{
    const Millis started = this->clock.now();
    Span span("entry.forward");
    span.addAttribute("executor", slot.executor);
    platform::ExecutorReply reply;
    if (started >= order.deadline) {
        reply.fate = platform::ForwardFate::NotSent;
        reply.error = { ErrorCode::Timeout, "entry.forward", slot.address, "the deadline passed before the request was sent", {} };
    } else {
        reply = this->executors.run({ .address = slot.address, .operation = order.operation, .body = order.body, .deadline = std::chrono::milliseconds(order.deadline - started), .once = !order.idempotent });
    }
    const Millis took = this->clock.now() - started;
    this->gate.release(slot, reply.fate, took);
    span.addAttribute("fate", std::string(nameOf(reply.fate)));
    if (reply.fate == platform::ForwardFate::Unclear)
        logEvent(answerRejected, { { "executor", slot.executor }, { "why", reply.error.message } });
    this->metrics.observe("rattan_entry_forward_seconds", { { "service", order.service } }, static_cast<double>(took) / 1000);
    return reply;
}

bool Forwarder::mayTryAgain(const ForwardOrder& order, platform::ForwardFate fate, int tries)
{
    if (fate == platform::ForwardFate::Unclear && !order.idempotent)
        return false;
    const auto expected = static_cast<Millis>(this->gate.load(order.service).latencyMs);
    if (tries >= mostTries || this->clock.now() + expected >= order.deadline)
        return false;
    if (!this->budget.spend())
        return false;
    this->metrics.count("rattan_entry_retries_total", { { "service", order.service } });
    return true;
}

} // namespace rattan::entry
