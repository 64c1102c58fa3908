#include "entry/request_service.h"

#include "base/trace.h"
#include "entry/claim_key.h"
#include "entry/events.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::entry {

namespace {

    constexpr std::string_view step = "entry.request";
    constexpr std::chrono::milliseconds askAgain(1000);
    constexpr std::chrono::milliseconds noConfigRetryAfter(2000);

    Outcome unknownOf(ErrorCode code, std::string message, std::chrono::milliseconds retryAfter)
    {
        return unknown({ code, std::string(step), "", std::move(message), retryAfter });
    }

    // All but a wrong key may be asked again, with the same key.
    Error askingAgain(Error error)
    {
        if (error.code != ErrorCode::BadInput)
            error.retryAfter = std::max(error.retryAfter, askAgain);
        return error;
    }

} // namespace

RequestService::RequestService(const ConfigWatch& config, Forwarder& forwarder, ClaimLog& claims, TicketBook& tickets,
    TicketClient& otherTickets, Metrics& metrics, const Clock& clock, RequestLimits limits)
    : config(config)
    , forwarder(forwarder)
    , claims(claims)
    , tickets(tickets)
    , otherTickets(otherTickets)
    , metrics(metrics)
    , clock(clock)
    , limits(limits)
{
}

Result<RequestReport> RequestService::run(const std::string& workspace, const RequestOrder& order)
{
    BOOST_LEAF_AUTO(forward, this->prepare(order));
    if (!forward.idempotent && order.key.empty() && order.ticket.empty())
        return fail(ErrorCode::BadInput, std::string(step), "", fmt::format("operation '{}' is not idempotent: a key or a ticket is needed", order.operation));
    const auto active = this->config.active();
    const config::Workspace* limitsOf = active ? active->workspace(workspace) : nullptr;
    if (limitsOf && !this->rates.admit(workspace, limitsOf->requestsPerSecond, this->clock.now()))
        return fail(ErrorCode::Overloaded, std::string(step), "", fmt::format("workspace '{}' is over its {} requests a second", workspace, limitsOf->requestsPerSecond), askAgain);
    const Millis started = this->clock.now();
    RequestReport report;
    if (!order.ticket.empty()) {
        report.outcome = this->runWithTicket(workspace, order, forward);
    } else {
        report.key = order.key.empty() ? mintKey(this->clock.wall()) : order.key;
        report.outcome = forward.idempotent ? this->forwarder.forward(forward) : this->runWithKey(workspace, order, forward);
    }
    const Millis took = this->clock.now() - started;
    const std::string outcome(nameOf(report.outcome.kind));
    this->metrics.count("rattan_entry_requests_total", { { "outcome", outcome }, { "operation", order.operation } });
    this->metrics.observe("rattan_entry_request_seconds", { { "operation", order.operation } }, static_cast<double>(took) / 1000);
    logEvent(requestFinished, { { "workspace", workspace }, { "operation", order.operation }, { "key", report.key }, { "outcome", outcome }, { "ms", took } });
    return report;
}

Outcome RequestService::useOwnTicket(const Ticket& ticket, const std::string& workspace, const RequestOrder& order)
{
    const auto forward = attempt([&] { return this->prepare(order); });
    if (!forward)
        return unknown(forward.error);
    TicketUse use = this->tickets.begin(ticket, workspace, fingerprintOf(order));
    if (!use.mayDispatch)
        return std::move(use.outcome);
    Outcome outcome = this->forwarder.forward(*forward);
    this->tickets.finish(ticket, outcome);
    return outcome;
}

Result<Outcome> RequestService::look(const std::string& workspace, const std::string& key) const
{
    BOOST_LEAF_AUTO(view, this->claims.look(workspace, key));
    return detail::outcomeOf(view);
}

Result<ForwardOrder> RequestService::prepare(const RequestOrder& order) const
{
    const auto active = this->config.active();
    if (!active)
        return fail(ErrorCode::Unavailable, std::string(step), "", "no configuration is in force yet", noConfigRetryAfter);
    const config::Operation* operation = active->operation(order.service, order.operation);
    if (!operation)
        return fail(ErrorCode::NotFound, std::string(step), "", fmt::format("the text in force has no operation '{}' of service '{}'", order.operation, order.service));
    const Millis wanted = std::min(order.deadline.value_or(operation->deadline), this->limits.longestDeadline);
    return ForwardOrder { order.service, order.operation, operation->urgency, operation->idempotent, order.body, this->clock.now() + wanted };
}

Outcome RequestService::runWithKey(const std::string& workspace, const RequestOrder& order, const ForwardOrder& forward)
{
    const auto claim = attempt([&] {
        Span span("entry.claim");
        return this->claims.claim({ workspace, order.key, order.service + "/" + order.operation, fingerprintOf(order), forward.deadline });
    });
    // This instance has sent nothing, but another may have; so it is not "not run".
    if (!claim)
        return unknown(askingAgain(claim.error));
    // The answer to another request under the same key is not this caller's.
    if (!claim->mine && claim->view.stage != KeyStage::Free && claim->view.fingerprint != fingerprintOf(order))
        return unknownOf(ErrorCode::Conflict, "the key was used for another request; take a new key for this one", {});
    if (!claim->mine)
        return detail::outcomeOf(claim->view);
    Outcome outcome = this->forwarder.forward(forward);
    this->claims.settle(*claim, outcome);
    return outcome;
}

Outcome RequestService::runWithTicket(const std::string& workspace, const RequestOrder& order, const ForwardOrder& forward)
{
    const auto ticket = parseTicket(order.ticket);
    if (!ticket)
        return unknownOf(ErrorCode::BadInput, "the ticket has not the form of one", {});
    if (this->tickets.isOwn(*ticket))
        return this->useOwnTicket(*ticket, workspace, order);
    return this->otherTickets.use(*ticket, workspace, order, forward.deadline - this->clock.now());
}

namespace detail {

    Outcome outcomeOf(const KeyView& view)
    {
        if (view.stage == KeyStage::Free)
            return unknownOf(ErrorCode::NotFound, "no claim on this key is known here; sending it again with the same key is safe", askAgain);
        if (view.stage == KeyStage::Claimed)
            return unknownOf(ErrorCode::Conflict, fmt::format("{} has claimed the key for {} and has not said what came of it", view.claimant, view.operation), askAgain);
        if (view.outcome == OutcomeKind::Done)
            return { OutcomeKind::Done, view.status, view.answer, view.answerKept, {} };
        return unknownOf(ErrorCode::Interrupted, fmt::format("{} sent the request for {} and got no whole answer; whether it ran is not known", view.claimant, view.operation), {});
    }

} // namespace detail

} // namespace rattan::entry
