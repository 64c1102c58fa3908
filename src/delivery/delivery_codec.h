#pragma once

// Orders and answers as they pass between two instances, for each side of one session.
//
//     PlannerCodec planner;                        // here
//     planner.encode(numberedCall, builder);
//     auto answer = planner.decode(reader);        // empty: nothing that can be relied on
//
//     RelayCodec relay;                        // at the instance that carries them out
//     auto numberedCall = relay.decode(reader);
//     relay.encode(answer, builder);
//
// A session numbers the workers, and tells what has changed in a report only: so both
// sides must see every message of the session once, in order. Not thread-safe.

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
