#pragma once

// An order to a worker with its term and lease, and the answer to it.

#include "delivery/worker_protocol.h"
#include "tasks/orders.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace rattan::delivery {

struct WorkerCall {
    std::variant<tasks::StartOrder, tasks::StopOrder, tasks::PollOrder> order;
    std::int64_t term { 0 };
    std::optional<Millis> leaseEnd; // On the worker's clock. Always set for a start.

    const tasks::Incarnation& worker() const
    {
        return std::visit([](const auto& order) -> const tasks::Incarnation& { return order.worker; }, this->order);
    }
    const std::string& address() const
    {
        return std::visit([](const auto& order) -> const std::string& { return order.address; }, this->order);
    }
    bool isPoll() const { return std::holds_alternative<tasks::PollOrder>(this->order); }
};

// The type of the reply matches the type of the order.
struct WorkerAnswer {
    std::variant<StartReply, StopReply, PollReply> reply;
    int status { 0 }; // HTTP status; 0 if there was no response.
    std::string relay {}; // The instance that the order went through, or would have; empty if it was sent directly.
};

// Whether the worker itself has answered.
bool wasAnswered(const WorkerAnswer&);

// The answer to an order that was certainly not sent, and to one whose outcome is unknown.
WorkerAnswer notSentAnswer(const WorkerCall&);
WorkerAnswer missingAnswer(const WorkerCall&);

} // namespace rattan::delivery
