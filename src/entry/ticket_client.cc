#include "entry/ticket_client.h"

#include "base/trace.h"
#include "rpc/link.h"
#include "rpc/rattan.capnp.h"

#include <algorithm>

namespace rattan::entry {

namespace {

    constexpr std::chrono::milliseconds retryAfter(1000);

    // The owner answers by the deadline; this much more is left for its answer to
    // travel.
    constexpr Millis travelTime = 50;

    ErrorCode codeOf(std::string_view name)
    {
        for (int code = 0; code <= static_cast<int>(ErrorCode::Internal); ++code) {
            if (nameOf(static_cast<ErrorCode>(code)) == name)
                return static_cast<ErrorCode>(code);
        }
        return ErrorCode::Internal;
    }

    OutcomeKind kindOf(std::string_view name)
    {
        for (const OutcomeKind kind : { OutcomeKind::Done, OutcomeKind::NotRun }) {
            if (nameOf(kind) == name)
                return kind;
        }
        return OutcomeKind::Unknown;
    }

    Result<Outcome> readOutcome(rpc::Entry::UseTicketResults::Reader response)
    {
        Outcome outcome;
        outcome.kind = kindOf(response.getOutcome().cStr());
        outcome.status = static_cast<int>(response.getStatus());
        outcome.answer.assign(response.getAnswer().begin(), response.getAnswer().size());
        const auto failure = response.getFailure();
        // A failure beside "done" says that the answer is no longer kept.
        outcome.answerKept = failure.getCode().size() == 0;
        outcome.error = { codeOf(failure.getCode().cStr()), failure.getStep().cStr(), failure.getPeer().cStr(),
            failure.getMessage().cStr(), std::chrono::milliseconds(failure.getRetryAfterMs()) };
        return outcome;
    }

} // namespace

Outcome RpcTicketClient::use(const Ticket& ticket, const std::string& workspace, const RequestOrder& order, Millis deadlineIn)
{
    Span span("entry.use_ticket");
    span.addAttribute("owner", ticket.address);
    rpc::Link<rpc::Entry> owner(ticket.address);
    auto outcome = attempt([&] {
        return owner.call<Outcome>(
            "entry.useTicket", std::chrono::milliseconds(std::max<Millis>(deadlineIn, 1) + travelTime),
            [&](auto& client) {
                auto request = client.useTicketRequest();
                request.setTicket(toText(ticket));
                request.setWorkspace(workspace);
                request.setOperation(order.service + "/" + order.operation);
                request.setBody(kj::StringPtr(order.body.c_str(), order.body.size()));
                request.setDeadlineMs(static_cast<std::uint64_t>(std::max<Millis>(deadlineIn, 0)));
                request.setTraceparent(span.context().traceparent());
                return request.send();
            },
            [](auto& response) { return readOutcome(response); });
    });
    if (outcome)
        return std::move(*outcome);
    Error error = outcome.error;
    error.message = "the process that minted the ticket cannot be asked; whether it ran the request is not known: " + error.message;
    error.retryAfter = retryAfter;
    return unknown(std::move(error));
}

} // namespace rattan::entry
