#pragma once

// Answers of an external advice service, which for some queues decides which workers may
// run a step.
//
//     StepAdvice advice;
//     advice.allow(incarnation, "ticket", now + 5000);
//     advice.deny(other);
//     if (const std::string* ticket = advice.ticketFor(incarnation, now)) ... // sent with the start
//
// A verdict on a worker's incarnation never changes. The ticket that proves it expires, and
// a new one is requested when it is needed. Verdicts are not recorded; a planner that takes
// over requests them again.

#include "tasks/progress.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattan::tasks {

struct SnapshotWorker;

struct StepKey {
    std::string job;
    std::int64_t occurrence { 0 };
    std::int64_t step { 0 };

    // clang-tidy 14 mistakes the zero in a defaulted comparison for a null pointer.
    auto operator<=>(const StepKey&) const = default; // NOLINT(modernize-use-nullptr)
};

// A worker that the service allows to run the step.
struct AllowedWorker {
    std::string id;
    std::string ticket;
};

class StepAdvice {
public:
    void allow(const Incarnation& incarnation, std::string ticket, Millis until) { this->verdicts[incarnation] = { true, std::move(ticket), until }; }
    void deny(const Incarnation& incarnation) { this->verdicts[incarnation] = { false, {}, 0 }; }

    // Removes the verdict, so that it is requested again after a worker rejected the ticket.
    void forget(const Incarnation& incarnation) { this->verdicts.erase(incarnation); }

    // Returns null unless the worker may run the step and the ticket is valid until then.
    const std::string* ticketFor(const Incarnation& incarnation, Millis until) const;

    // The number of allowed workers, and of those whose ticket is valid until then. For the log.
    struct Counts {
        std::int64_t allowed { 0 };
        std::int64_t ticketed { 0 };
    };
    Counts count(Millis until) const;

    // True if there is no verdict, or if the worker is allowed and its ticket expires before then.
    bool needsRequest(const Incarnation& incarnation, Millis until) const;

    std::vector<Incarnation> requestedWorkers; // The workers in the request that is in progress.
    Millis notBefore { 0 }; // The earliest time of the next request.
    std::int64_t requests { 0 }; // Sent so far.
    Millis answeredAt { 0 }; // When a request was last answered, or 0.
    std::int64_t lastPass { 0 }; // The last pass over all steps in which a full round sent a request for this step.

private:
    struct Verdict {
        bool allowed { false };
        std::string ticket;
        Millis until { 0 };
    };

    std::map<Incarnation, Verdict> verdicts;
};

namespace detail {

    // A worker that can be included in a request to the advice service.
    struct AdviceCandidate {
        const SnapshotWorker* worker { nullptr };
        bool nearData { false }; // In the rack of the step's data.
        bool fitsNow { false }; // For one member, now.
    };

} // namespace detail

} // namespace rattan::tasks
