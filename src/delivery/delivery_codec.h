#pragma once

// Encodes and decodes orders and answers exchanged between two instances, one codec
// object for each side of a session.
//
//     PlannerCodec planner;                      // at the instance that plans
//     planner.encode(numberedCall, builder);
//     auto answer = planner.decode(reader);      // empty if the answer cannot be used
//
//     RelayCodec relay;                          // at the instance that executes the orders
//     auto numberedCall = relay.decode(reader);
//     relay.encode(answer, builder);
//
// A session identifies workers by numbers that it assigns, and sends only the differences
// between successive reports of a worker. Both sides must therefore process every message
// of the session exactly once, in order. Not thread-safe.

#include "delivery/delivery.capnp.h"
#include "delivery/delivery_port.h"
#include "delivery/report_delta.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace rattan::delivery {

class PlannerCodec {
public:
    void encode(const NumberedCall&, wire::Order::Builder);
    std::optional<NumberedAnswer> decode(wire::Answer::Reader);

private:
    struct WorkerEntry {
        std::uint32_t number { 0 };
        tasks::Incarnation incarnation;
        std::string address;
    };

    std::unordered_map<std::string, WorkerEntry> workers; // By id.
    std::map<std::uint32_t, std::string> workerIds; // By number.
    ReportDecoder reports;
};

class RelayCodec {
public:
    std::optional<NumberedCall> decode(wire::Order::Reader, std::int64_t term);
    void encode(const NumberedAnswer&, wire::Answer::Builder);

private:
    struct WorkerEntry {
        tasks::Incarnation incarnation;
        std::string address;
    };

    std::map<std::uint32_t, WorkerEntry> workers; // By number.
    std::unordered_map<std::string, std::uint32_t> workerNumbers; // By id.
    ReportEncoder reports;
};

} // namespace rattan::delivery
