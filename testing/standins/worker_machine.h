#pragma once

// What a worker does with leases, epochs and tasks; docs/STANDINS.md says what
// callers may count on.
//
//     WorkerMachine machine({ .id = "a-w01", .accelerators = 8 });
//     const ExchangeOutcome outcome = machine.exchange(ask, now);
//
// Time is an argument. A lease ends at the moment its time runs out, whenever
// somebody looks, so a worker that was frozen counts that time too. The record
// of runs is what scenarios judge by: it says when a task truly ran, and never
// asks what the system believes. Not thread-safe.

#include "base/clock.h"
#include "platform/worker.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace rattan::testing {

struct WorkerShape {
    std::string id;
    std::string incarnation;
    std::string rack;
    std::string domain;
    std::int64_t accelerators { 8 };
    std::int64_t cores { 128 };
    std::int64_t memoryMb { 524288 };
};

struct WorkerFaults {
    bool failEveryStart { false };
    std::int64_t failStarts { 0 }; // The next this many starts fail.
    std::int64_t speedPercent { 100 }; // Of the task's own speed.
    bool leaving { false };
};

// One task as it truly ran.
struct TaskRun {
    std::string lease;
    std::uint64_t epoch { 0 };
    std::string holder;
    std::string tag; // The payload's "result": scenarios tell their jobs by it.
    std::int64_t accelerators { 0 };
    Millis started { 0 };
    Millis ended { 0 }; // Zero while it runs.
    std::string how; // done, failed, lapsed, stopped; empty while it runs.
};

Json toJson(const TaskRun&);

struct ExchangeOutcome {
    bool staleEpoch { false }; // Refused whole; `report.epoch` tells the highest seen.
    platform::WorkerReport report;
};

class WorkerMachine {
public:
    static constexpr Millis keptAfterEnd = 60000;
    static constexpr Millis usageLag = 2000;
    static constexpr std::size_t mostLeases = 4096;
    static constexpr std::size_t mostRuns = 20000;

    explicit WorkerMachine(WorkerShape shape)
        : shape(std::move(shape))
    {
    }

    ExchangeOutcome exchange(const platform::WorkerExchange&, Millis now);
    // Ends what has finished or lapsed by now.
    void advance(Millis now);

    WorkerFaults& faults() { return this->faultSettings; }
    const std::deque<TaskRun>& runs() const { return this->taskRuns; }
    const WorkerShape& identity() const { return this->shape; }

private:
    struct Lease {
        std::string id;
        std::uint64_t epoch { 0 };
        platform::LeaseState state { platform::LeaseState::Reserved };
        std::int64_t accelerators { 0 };
        std::int64_t cores { 0 };
        std::int64_t memoryMb { 0 };
        Millis expires { 0 };
        Json note;
        Millis started { 0 };
        Millis countedTo { 0 }; // Progress is counted up to here.
        Millis ended { 0 };
        Millis runTime { 0 };
        Millis checkpointTime { 0 };
        Millis checkpointEnds { 0 };
        double progress { 0 };
        double progressAtCheckpoint { 0 };
        double savedProgress { 0 };
        std::int64_t sharePercent { 100 };
        bool failsAtEnd { false };
        std::string resultText;
        std::string result;
        std::string failure;
        std::size_t run { 0 }; // Number of its TaskRun.
    };

    platform::WorkerOpResult apply(const platform::WorkerOp&, const platform::WorkerExchange&, Millis now);
    platform::WorkerOpResult reserve(const platform::WorkerOp&, std::uint64_t epoch, Millis now);
    platform::WorkerOpResult start(const platform::WorkerOp&, const platform::WorkerExchange&, Millis now);
    platform::WorkerOpResult onLive(const platform::WorkerOp&, std::uint64_t epoch, Millis now);
    platform::WorkerOpResult stop(const std::string& lease, Millis now);
    bool fits(const platform::WorkerOp&) const;
    bool holds(const Lease&) const;
    bool runsTask(const Lease&) const;
    double speed(const Lease&) const;
    void advanceLease(Lease&, Millis now);
    void end(Lease&, platform::LeaseState, Millis at, const std::string& how);
    void recordEnd(const Lease&, Millis at, const std::string& how);
    platform::WorkerLease view(const Lease&, Millis now) const;

    WorkerShape shape;
    WorkerFaults faultSettings;
    std::uint64_t highestEpoch { 0 };
    std::map<std::string, Lease> leases;
    std::deque<TaskRun> taskRuns;
    std::size_t firstRun { 0 }; // Number of the oldest TaskRun kept.
};

} // namespace rattan::testing
