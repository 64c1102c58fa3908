#pragma once

// The planner's connection to the driver of its own instance: planner/order.h
// carried over Cap'n Proto RPC.
//
//     DriverLink link("127.0.0.1:7002", incarnation);
//     const auto answer = attempt([&] { return link.exchange(epoch, orders); });
//
// Must be made, used and destroyed on one thread, as rpc::Link.

#include "planner/order.h"
#include "rpc/link.h"
#include "rpc/rattan.capnp.h"

#include <string>
#include <vector>

namespace rattan::planner {

class DriverLink {
public:
    DriverLink(const std::string& address, std::string incarnation);

    // Hands over orders and brings the events since the last exchange. An order
    // is idempotent, so after a failure the same orders may be given again.
    Result<DriverAnswer> exchange(std::uint64_t epoch, const std::vector<Order>&);

    // What the workers last said; an epoch above zero asks them to accept it.
    Result<Survey> survey(std::uint64_t epoch);

private:
    rpc::Link<rpc::Driver> link;
    std::string incarnation;
    std::string driverIncarnation;
    std::uint64_t acknowledged { 0 };
};

} // namespace rattan::planner
