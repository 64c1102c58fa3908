#pragma once

// One request from parsed body to outcome: which way it goes and what may be
// said of it.
//
// Idempotent operations go straight to the forwarder. The others need a key,
// claimed in the platform's log before dispatch, or a ticket, which only the
// process that minted it may use. docs/REQUESTS.md argues why each way runs a
// request at most once and what a cut-off failure domain still serves.
// Thread-safe; run blocks until the outcome is known or the deadline passes.

#include "base/metrics.h"
#include "entry/claim_log.h"
#include "entry/config_watch.h"
#include "entry/forwarder.h"
#include "entry/rate_limit.h"
#include "entry/request_order.h"
#include "entry/ticket_book.h"
#include "entry/ticket_client.h"

#include <string>

namespace rattan::entry {

struct RequestLimits {
    Millis longestDeadline { 60000 };
};

struct RequestReport {
    Outcome outcome;
    std::string key; // Minted if the caller gave none; empty with a ticket.
};

class RequestService {
public:
    RequestService(const ConfigWatch&, Forwarder&, ClaimLog&, TicketBook&, TicketClient&, Metrics&, const Clock&, RequestLimits);

    // Fails only for what is wrong with the request itself or the caller's rate;
    // nothing was dispatched then, by this call or under its key.
    Result<RequestReport> run(const std::string& workspace, const RequestOrder&);

    // A request whose ticket this process minted, from a caller of any instance.
    Outcome useOwnTicket(const Ticket&, const std::string& workspace, const RequestOrder&);

    // What is known of a request by its key.
    Result<Outcome> look(const std::string& workspace, const std::string& key) const;

private:
    Result<ForwardOrder> prepare(const RequestOrder&) const;
    Outcome runWithKey(const std::string& workspace, const RequestOrder&, const ForwardOrder&);
    Outcome runWithTicket(const std::string& workspace, const RequestOrder&, const ForwardOrder&);

    const ConfigWatch& config;
    Forwarder& forwarder;
    ClaimLog& claims;
    TicketBook& tickets;
    TicketClient& otherTickets;
    Metrics& metrics;
    const Clock& clock;
    const RequestLimits limits;
    RateLimit rates;
};

namespace detail {

    // What a key's view means to somebody who asks about it.
    Outcome outcomeOf(const KeyView&);

} // namespace detail

} // namespace rattan::entry
