#pragma once

// An order to a worker as it is sent, and what became of it.

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
    std::optional<Millis> leaseEnd; // On the worker's clock; of a start always there.

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

// The reply is of the kind of the order.
struct WorkerAnswer {
    std::variant<StartReply, StopReply, PollReply> reply;
    int status { 0 }; // Of HTTP; 0: none came.
};

// Whether anything was heard from the worker itself.
bool wasAnswered(const WorkerAnswer&);

// The answer to an order that surely was not sent, and to one of which nothing is known.
WorkerAnswer notSentAnswer(const WorkerCall&);
WorkerAnswer missingAnswer(const WorkerCall&);

} // namespace rattan::delivery
