#pragma once

// What passes between instances that carry orders for one another, and the port
// through which it does. Implemented by DeliveryThread.

#include "base/clock.h"
#include "delivery/worker_call.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rattan::delivery {

struct NumberedCall {
    std::uint32_t id { 0 }; // Of the sender's; its answer carries the same.
    WorkerCall call;
};

struct NumberedAnswer {
    std::uint32_t id { 0 };
    std::string worker; // Id.
    WorkerAnswer answer;
};

// To another instance. All batches of a term to one peer go through one session, in order.
struct OrderBatch {
    std::string peer;
    std::int64_t term { 0 };
    Millis sentWallTime { 0 }; // Time of day.
    std::vector<NumberedCall> calls;
};

// To whoever opened the session.
struct AnswerBatch {
    std::uint64_t session { 0 };
    std::vector<NumberedAnswer> answers;
};

// Another instance wants these carried out.
struct OrdersReceived {
    std::uint64_t session { 0 };
    std::int64_t term { 0 };
    Millis sentWallTime { 0 };
    std::vector<NumberedCall> calls;
};

// Whoever opened the session is gone, or takes no answers any more.
struct SessionEnded {
    std::uint64_t session { 0 };
};

struct AnswersReceived {
    std::string peer;
    std::int64_t term { 0 };
    std::vector<NumberedAnswer> answers;
};

// The peer cannot be reached, or does not take batches any more. Nothing is known of what
// it was sent and has not answered.
struct PeerLost {
    std::string peer;
    std::int64_t term { 0 };
    std::string reason;
};

using DeliveryEvent = std::variant<OrdersReceived, SessionEnded, AnswersReceived, PeerLost>;

class DeliveryPort {
public:
    virtual ~DeliveryPort() = default;

    // False where too much waits already; nothing has been sent then.
    virtual bool send(OrderBatch) = 0;
    virtual bool answer(AnswerBatch) = 0;

    // Ends all sessions to others but those of this term.
    virtual void closeOtherTerms(std::int64_t term) = 0;
};

} // namespace rattan::delivery
