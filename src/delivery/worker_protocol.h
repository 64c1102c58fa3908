#pragma once

// Encodes requests to workers and the advice service, and parses their replies. Implemented
// where the names of the platform's interface are known.

#include "http/client.h"
#include "tasks/orders.h"
#include "tasks/worker.h"

#include <optional>

namespace rattan::delivery {

struct StartReply {
    tasks::StartAnswer answer { tasks::StartAnswer::NoAnswer };
    std::optional<Millis> clock; // The worker's clock, if it was reported.
};

struct StopReply {
    bool stopped { false }; // The run has ended or will not start any more.
    bool deposed { false }; // A planner with a higher term has called the worker.
    std::optional<Millis> clock;
};

struct PollReply {
    std::optional<tasks::WorkerReport> report;
    tasks::WorkerFault fault { tasks::WorkerFault::NoAnswer }; // Why there is no report; meaningless if there is one.
};

class WorkerProtocol {
public:
    virtual ~WorkerProtocol() = default;

    // `until` is the end of the lease on the worker's clock.
    virtual http::Call start(const tasks::StartOrder&, Millis until, std::int64_t term) const = 0;
    virtual StartReply parseStart(const http::Reply&) const = 0;

    virtual http::Call stop(const tasks::StopOrder&, std::int64_t term) const = 0;
    virtual StopReply parseStop(const http::Reply&) const = 0;

    virtual http::Call poll(const tasks::PollOrder&, std::optional<Millis> until, std::int64_t term) const = 0;
    virtual PollReply parsePoll(const http::Reply&) const = 0;

    virtual http::Call advise(const tasks::AdviceOrder&) const = 0;
    // The workers that may run the step, or empty if the advice service did not answer.
    virtual std::optional<std::vector<tasks::AllowedWorker>> parseAdvice(const http::Reply&) const = 0;

    // Parses one entry of the list of workers.
    virtual Result<tasks::WorkerDescription> parseWorkerDescription(const std::string& id, std::string_view entry) const = 0;
};

} // namespace rattan::delivery
