#pragma once

// A channel and a port that record what is sent through them, for tests.

#include "base/clock.h"
#include "delivery/delivery_port.h"
#include "delivery/worker_channel.h"

#include <fmt/format.h>
#include <memory>
#include <vector>

namespace rattan::delivery::testing {

inline WorkerCall pollOf(const std::string& worker, Millis wait = 2000)
{
    return { .order = tasks::PollOrder { .worker = { worker, 1 }, .address = "10.9.0.1:80", .acknowledged = 3, .wait = wait }, .term = 7, .leaseEnd = 9000 };
}

inline WorkerCall startOf(const std::string& worker, const std::string& job, std::size_t textBytes = 0)
{
    tasks::StartOrder order { .worker = { worker, 1 }, .address = "10.9.0.1:80", .run = { { job, 0, 0, 0 }, 1 } };
    if (textBytes > 0)
        order.text = std::make_shared<const std::string>(textBytes, 'x');
    return { .order = order, .term = 7, .leaseEnd = 9000 };
}

class FakeChannel final : public WorkerChannel {
public:
    struct Sent {
        WorkerCall call;
        Handler handler;
    };

    void send(const WorkerCall& call, Handler handler) override { this->sent.push_back({ call, std::move(handler) }); }

    std::vector<Sent> sent;
};

class FakePort final : public DeliveryPort {
public:
    bool send(OrderBatch batch) override
    {
        if (!this->isFull)
            this->orders.push_back(std::move(batch));
        return !this->isFull;
    }
    bool answer(AnswerBatch batch) override
    {
        this->answers.push_back(std::move(batch));
        return true;
    }
    bool checkArrivals(ArrivalCheck check) override
    {
        if (this->acceptsChecks)
            this->checks.push_back(check);
        return this->acceptsChecks;
    }
    void closeOtherTerms(std::int64_t term) override { this->keptTerm = term; }

    bool isFull { false };
    bool acceptsChecks { false };
    std::vector<ArrivalCheck> checks;
    std::vector<OrderBatch> orders;
    std::vector<AnswerBatch> answers;
    std::int64_t keptTerm { 0 };
};

} // namespace rattan::delivery::testing
