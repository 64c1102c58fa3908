#pragma once

// Takes a request to an executor: admission, dispatch, and retries where they
// are safe.
//
//     const Outcome outcome = forwarder.forward({ .service = "booking", .operation = "hold",
//         .idempotent = false, .body = body, .deadline = clock.now() + 2000 });
//
// A request that is not idempotent is sent again only if the executor says that
// it ran nothing or no byte of it left. One that is idempotent is also sent
// again after an unclear end. Each further try spends from the retry budget and
// needs a deadline that can hold it; otherwise the outcome is given at once.
// Thread-safe; blocks until the outcome is known or the deadline passes.

#include "base/clock.h"
#include "base/metrics.h"
#include "entry/gate.h"
#include "entry/outcome.h"
#include "entry/retry_budget.h"
#include "platform/executor.h"

#include <functional>
#include <string>

namespace rattan::entry {

struct ForwardOrder {
    std::string service;
    std::string operation;
    config::Urgency urgency { config::Urgency::Ordinary };
    bool idempotent { false };
    std::string body;
    Millis deadline { 0 }; // On the forwarder's clock.
};

class Forwarder {
public:
    static constexpr int mostTries = 4;

    Forwarder(Gate&, platform::Executors&, RetryBudget&, Metrics&, const Clock&);

    Outcome forward(const ForwardOrder&);

private:
    platform::ExecutorReply tryOnce(const ForwardOrder&, const Slot&);
    bool mayTryAgain(const ForwardOrder&, platform::ForwardFate, int tries);

    Gate& gate;
    platform::Executors& executors;
    RetryBudget& budget;
    Metrics& metrics;
    const Clock& clock;
};

} // namespace rattan::entry
