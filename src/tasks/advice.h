#pragma once

// What a policy outside says of which workers may run a step, where a queue has one.
//
//     StepAdvice known;
//     known.allow(life, "ticket", now + 5000);
//     known.deny(other);
//     if (const std::string* ticket = known.ticketFor(life, now)) ... // goes with the start
//
// A verdict on a worker's life stands for good; the ticket that proves it runs out and
// is asked for again when it is needed. Verdicts are not recorded: a planner that takes
// over asks anew.

#include "tasks/progress.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattan::tasks {

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
    void allow(const WorkerLife& life, std::string ticket, Millis until) { this->verdicts[life] = { true, std::move(ticket), until }; }
    void deny(const WorkerLife& life) { this->verdicts[life] = { false, {}, 0 }; }

    // A ticket that did not hold is asked for again.
    void forget(const WorkerLife& life) { this->verdicts.erase(life); }

    // Null unless the worker may run the step and the ticket holds until then.
    const std::string* ticketFor(const WorkerLife& life, Millis until) const;

    // True unless a verdict is known that holds until then.
    bool isOpen(const WorkerLife& life, Millis until) const;

    std::vector<WorkerLife> underWay; // Named in the question that has no answer yet.
    Millis notBefore { 0 }; // No question before then.

private:
    struct Verdict {
        bool allowed { false };
        std::string ticket;
        Millis until { 0 };
    };

    std::map<WorkerLife, Verdict> verdicts;
};

} // namespace rattan::tasks
