#include "entry/rpc_service.h"

#include "base/trace.h"

#include <kj/async.h>
#include <memory>

namespace rattan::entry {

namespace {

    constexpr std::chrono::milliseconds askAgain(500);

    struct TicketCall {
        Ticket ticket;
        std::string workspace;
        RequestOrder order;
        std::string traceparent;
    };

    Outcome badCall(std::string message)
    {
        return unknown({ ErrorCode::BadInput, "entry.useTicket", "", std::move(message), {} });
    }

    std::string copyOf(capnp::Text::Reader text) { return { text.begin(), text.size() }; }

    std::optional<TicketCall> readCall(rpc::Entry::UseTicketParams::Reader params)
    {
        const auto ticket = parseTicket(copyOf(params.getTicket()));
        const std::string operation = copyOf(params.getOperation());
        const std::size_t slash = operation.find('/');
        if (!ticket || slash == std::string::npos)
            return std::nullopt;
        TicketCall call { *ticket, copyOf(params.getWorkspace()), {}, copyOf(params.getTraceparent()) };
        call.order.service = operation.substr(0, slash);
        call.order.operation = operation.substr(slash + 1);
        call.order.deadline = static_cast<Millis>(params.getDeadlineMs());
        call.order.body = copyOf(params.getBody());
        return call;
    }

    void write(const Outcome& outcome, rpc::Entry::UseTicketResults::Builder to)
    {
        to.setOutcome(std::string(nameOf(outcome.kind)));
        to.setStatus(static_cast<std::uint32_t>(outcome.status));
        to.setAnswer(kj::StringPtr(outcome.answer.c_str(), outcome.answer.size()));
        if (outcome.kind == OutcomeKind::Done && outcome.answerKept)
            return;
        auto failure = to.initFailure();
        failure.setCode(std::string(nameOf(outcome.error.code)));
        failure.setStep(outcome.error.step);
        failure.setPeer(outcome.error.peer);
        failure.setMessage(outcome.error.message);
        failure.setRetryAfterMs(static_cast<std::uint64_t>(std::max<std::int64_t>(outcome.error.retryAfter.count(), 0)));
    }

} // namespace

RpcService::RpcService(RequestService& requests, TicketWorkers& workers, EntryState& state)
    : requests(requests)
    , workers(workers)
    , state(state)
{
}

kj::Promise<void> RpcService::useTicket(UseTicketContext context)
{
    auto call = readCall(context.getParams());
    if (!call) {
        write(badCall("a ticket and service/operation are expected"), context.getResults());
        return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    // std::function wants a copyable task; the fulfiller can only be moved.
    auto fulfiller = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<void>>>(kj::mv(pair.fulfiller));
    const auto outcome = std::make_shared<Outcome>();
    const bool taken = this->workers.offer([this, call = std::move(*call), fulfiller, outcome] {
        ++this->state.inFlight;
        {
            Span span("entry.owned_ticket", parseTraceparent(call.traceparent));
            *outcome = this->requests.useOwnTicket(call.ticket, call.workspace, call.order);
        }
        --this->state.inFlight;
        (*fulfiller)->fulfill();
    });
    if (!taken) {
        write(unknown({ ErrorCode::Overloaded, "entry.useTicket", "", "too many tickets wait at their owner; asking again is safe", askAgain }), context.getResults());
        return kj::READY_NOW;
    }
    return pair.promise.then([context, outcome]() mutable { write(*outcome, context.getResults()); });
}

kj::Promise<void> RpcService::health(HealthContext context)
{
    context.getResults().setInFlight(this->state.inFlight);
    context.getResults().setLeaving(this->state.leaving);
    return kj::READY_NOW;
}

} // namespace rattan::entry
