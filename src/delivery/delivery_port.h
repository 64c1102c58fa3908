#pragma once

// Messages between an instance that plans and the instances that execute orders for it
// (relays), and the port that sends and receives them. Implemented by DeliveryThread.

#include "base/clock.h"
#include "delivery/worker_call.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rattan::delivery {

struct NumberedCall {
    std::uint32_t id { 0 }; // Assigned by the sender; the answer to the call has the same id.
    WorkerCall call;
};

struct NumberedAnswer {
    std::uint32_t id { 0 };
    std::string worker; // The worker's id.
    WorkerAnswer answer;
};

// Orders for another instance to execute. All batches of a term to one peer are sent through
// one session, in order.
struct OrderBatch {
    std::string peer;
    std::int64_t term { 0 };
    Millis sentWallTime { 0 }; // In milliseconds since 1970 UTC.
    std::vector<NumberedCall> calls;
};

// Answers to the instance that opened the session.
struct AnswerBatch {
    std::uint64_t session { 0 };
    std::vector<NumberedAnswer> answers;
};

// Another instance has sent these orders to be executed here.
struct OrdersReceived {
    std::uint64_t session { 0 };
    std::int64_t term { 0 };
    Millis sentWallTime { 0 };
    std::vector<NumberedCall> calls;
};

// The instance that opened the session has disconnected or does not accept answers any more.
struct SessionEnded {
    std::uint64_t session { 0 };
};

struct AnswersReceived {
    std::string peer;
    std::int64_t term { 0 };
    std::vector<NumberedAnswer> answers;
};

// The peer cannot be reached or does not accept batches any more. Whether unanswered orders
// sent to it were executed is unknown.
struct PeerLost {
    std::string peer;
    std::int64_t term { 0 };
    std::string reason;
};

// As an event: everything that had arrived from peers when the check was requested has been
// reported before it.
struct ArrivalCheck {
    std::int64_t term { 0 };
    Millis requestedAt { 0 };
};

using DeliveryEvent = std::variant<OrdersReceived, SessionEnded, AnswersReceived, PeerLost, ArrivalCheck>;

class DeliveryPort {
public:
    virtual ~DeliveryPort() = default;

    // Return false, without sending anything, if too many messages are queued already.
    virtual bool send(OrderBatch) = 0;
    virtual bool answer(AnswerBatch) = 0;

    // Requests an event with the same content.
    virtual bool checkArrivals(ArrivalCheck) = 0;

    // Closes the sessions that were opened to other instances for any term except this one.
    virtual void closeOtherTerms(std::int64_t term) = 0;
};

} // namespace rattan::delivery
