#pragma once

// Takes a ticket to the process that minted it. RpcTicketClient does so over
// Cap'n Proto; a connection for each call, since connections belong to threads.
// Thread-safe.

#include "base/clock.h"
#include "entry/outcome.h"
#include "entry/request_order.h"
#include "entry/ticket.h"

#include <string>

namespace rattan::entry {

class TicketClient {
public:
    virtual ~TicketClient() = default;

    // The outcome as the owner gives it; unknown when the owner cannot be asked,
    // for it may have run the request before.
    virtual Outcome use(const Ticket&, const std::string& workspace, const RequestOrder&, Millis deadlineIn) = 0;
};

class RpcTicketClient final : public TicketClient {
public:
    Outcome use(const Ticket&, const std::string& workspace, const RequestOrder&, Millis deadlineIn) override;
};

} // namespace rattan::entry
