#pragma once

// What a policy outside says of which workers may run a step, where a queue has one.
//
//     StepAdvice known;
//     known.allow(incarnation, "ticket", now + 5000);
//     known.deny(other);
//     if (const std::string* ticket = known.ticketFor(incarnation, now)) ... // goes with the start
//
// A verdict on a worker's incarnation stands for good; the ticket that proves it runs out and
// is asked for again when it is needed. Verdicts are not recorded: a planner that takes
// over asks anew.

#include "tasks/progress.h"

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

    // clang-tidy 14 takes the zero that a defaulted comparison is held against for a pointer.
    auto operator<=>(const StepKey&) const = default; // NOLINT(modernize-use-nullptr)
};

// A worker that may run the step, as the service answers.
struct AllowedWorker {
    std::string id;
    std::string ticket;
};

class StepAdvice {
public:
    void allow(const Incarnation& incarnation, std::string ticket, Millis until) { this->verdicts[incarnation] = { true, std::move(ticket), until }; }
    void deny(const Incarnation& incarnation) { this->verdicts[incarnation] = { false, {}, 0 }; }

    // A ticket that did not hold is asked for again.
    void forget(const Incarnation& incarnation) { this->verdicts.erase(incarnation); }

    // Null unless the worker may run the step and the ticket holds until then.
    const std::string* ticketFor(const Incarnation& incarnation, Millis until) const;

    // True unless a verdict is known that holds until then.
    bool needsRequest(const Incarnation& incarnation, Millis until) const;

    std::vector<Incarnation> requestedWorkers; // Named in the question that has no answer yet.
    Millis notBefore { 0 }; // No question before then.
    std::int64_t lastPass { 0 }; // The last pass over all steps in which it had its question.

private:
    struct Verdict {
        bool allowed { false };
        std::string ticket;
        Millis until { 0 };
    };

    std::map<Incarnation, Verdict> verdicts;
};

namespace detail {

    // A worker that the advice service can be asked about.
    struct AdviceCandidate {
        const SnapshotWorker* worker { nullptr };
        bool nearData { false }; // In the rack of the data.
        bool fitsNow { false }; // For a member, now.
    };

} // namespace detail

} // namespace rattan::tasks
