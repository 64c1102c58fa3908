#pragma once

// What an entry does for other entries over Cap'n Proto: it uses the tickets
// that it minted. Made, called and destroyed on the RPC server's thread.

#include "entry/request_service.h"
#include "entry/ticket_workers.h"
#include "rpc/rattan.capnp.h"

#include <atomic>

namespace rattan::entry {

// What the RPC service and the HTTP side both look at.
struct EntryState {
    std::atomic<bool> leaving { false };
    std::atomic<std::uint32_t> inFlight { 0 };
};

class RpcService final : public rpc::Entry::Server {
public:
    RpcService(RequestService&, TicketWorkers&, EntryState&);

protected:
    kj::Promise<void> useTicket(UseTicketContext) override;
    kj::Promise<void> health(HealthContext) override;

private:
    RequestService& requests;
    TicketWorkers& workers;
    EntryState& state;
};

} // namespace rattan::entry
