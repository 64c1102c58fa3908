#pragma once

// Answers of an external advice service, which for some queues decides which workers may
// run a step.
//
//     StepAdvice advice;
//     advice.allow(incarnation, "ticket", now, now + 5000);
//     advice.deny(other);
//     if (advice.allows(incarnation, now, 200)) ... // place the run there
//     if (advice.hasTicket(incarnation, now, 200)) ... // send the start with *advice.ticketOf(incarnation)
//
// A verdict on a worker's incarnation never changes, and decides where the step is placed. The
// ticket that proves it expires, at times before a start can be recorded. Only the start needs
// it, so a new one is requested when a start is ready to be sent. Verdicts are not recorded; a
// planner that takes over requests them again.
//
// All times are in milliseconds. Not thread-safe.

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
    // The ticket was received at `now` and is valid until then.
    void allow(const Incarnation&, std::string ticket, Millis now, Millis until);
    void deny(const Incarnation& incarnation) { this->verdicts[incarnation] = {}; }

    // Drops the ticket, which the worker rejected. The verdict holds. From the second rejection in a row
    // on, the worker is not used for a while: the tickets probably expire on the way to it.
    void rejectTicket(const Incarnation&, Millis now);

    // The worker accepted a start of the step.
    void acceptTicket(const Incarnation&);

    // Whether the step can be placed on the worker now. If requests fail at present, it takes a ticket that
    // is valid for `delay`: without that, a run would hold its resources until a request succeeds.
    bool allows(const Incarnation&, Millis now, Millis delay) const;

    // The earliest time of the next request for a ticket for this worker.
    Millis nextTicketAt(const Incarnation&) const;

    bool denies(const Incarnation&) const;

    // Whether a start that is sent now and arrives within `delay` has a valid ticket. One that has just
    // been received is used in any case, since no later one would be better.
    bool hasTicket(const Incarnation&, Millis now, Millis delay) const;

    // The newest ticket, valid or not; null if there is none.
    const std::string* ticketOf(const Incarnation&) const;

    // The number of allowed workers, and of those whose ticket is valid until then. For the log.
    struct Counts {
        std::int64_t allowed { 0 };
        std::int64_t ticketed { 0 };
    };
    Counts count(Millis until) const;

    // Whether placement depends on an answer for this worker: there is no verdict, or requests have failed
    // since and the ticket expires before then.
    bool needsRequest(const Incarnation& incarnation, Millis until) const;

    std::vector<Incarnation> requestedWorkers; // The workers in the request that is in progress.
    bool isFailing { false }; // The last request failed.
    Millis notBefore { 0 }; // The earliest time of the next request.
    std::int64_t requests { 0 }; // Sent so far.
    Millis requestedAt { 0 }; // When the last one was sent.
    Millis answeredAt { 0 }; // When a request was last answered, or 0.
    std::int64_t lastPass { 0 }; // The last pass over all steps in which a full round sent a request for this step.

private:
    struct Verdict {
        bool allowed { false };
        std::string ticket;
        Millis receivedAt { 0 };
        Millis until { 0 };
        int rejections { 0 }; // In a row; those of one ticket count once.
        Millis rejectedAt { 0 };
        Millis retryAt { 0 };
    };

    const Verdict* find(const Incarnation&) const;

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
