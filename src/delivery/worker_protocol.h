#pragma once

// How workers are spoken to. Implemented where the platform's names are known.

#include "http/client.h"
#include "tasks/orders.h"
#include "tasks/worker.h"

#include <optional>

namespace rattan::delivery {

struct StartReply {
    tasks::StartAnswer answer { tasks::StartAnswer::NoAnswer };
    std::optional<Millis> clock; // The worker's, where told.
};

struct StopReply {
    bool taken { false }; // The run has ended or will not begin any more.
    bool deposed { false };
    std::optional<Millis> clock;
};

struct PollReply {
    std::optional<tasks::WorkerReport> report;
    tasks::WorkerFault fault { tasks::WorkerFault::NoAnswer }; // Where there is no poll.
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
    // Empty where the service has not answered the question.
    virtual std::optional<std::vector<tasks::AllowedWorker>> parseAdvice(const http::Reply&) const = 0;

    // Of an entry of the list of workers.
    virtual Result<tasks::WorkerDescription> parseSighting(const std::string& id, std::string_view entry) const = 0;
};

} // namespace rattan::delivery
