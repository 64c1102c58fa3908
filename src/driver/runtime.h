#pragma once

// The threads around a GangKeeper: one that schedules, one that reads the
// instance list, and a few that talk to workers. Orders and surveys come from
// the RPC server's thread. All share the keeper under one lock, which is never
// held across I/O.
//
//     Runtime runtime(options, clock, workers, list);
//     runtime.start();
//     runtime.take(...);           // any thread
//     runtime.drain();             // no new gangs; waits for the handover
//     runtime.stop();

#include "base/bounded_queue.h"
#include "driver/gang_keeper.h"
#include "driver/options.h"
#include "platform/instance_list.h"
#include "platform/worker.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace rattan::driver {

class Runtime {
public:
    Runtime(DriverOptions, const Clock&, platform::Workers&, platform::InstanceList&);
    ~Runtime();
    Runtime(const Runtime&) = delete;
    Runtime& operator=(const Runtime&) = delete;

    void start();

    // Takes the orders and answers with the events that wait for the planner.
    Result<std::vector<GangEvent>> take(const std::string& planner, std::uint64_t epoch, std::uint64_t acknowledged,
        const std::vector<GangOrder>&);
    Result<Survey> survey(const std::string& planner, std::uint64_t epoch);

    void beginDrain();

    // Returns once no gang is held here, or when `drain-ms` is over.
    void waitDrained();
    void stop();

    const std::string& incarnation() const { return this->ownIncarnation; }

private:
    void schedule();
    void exchange();
    void readList();
    void pushAsks(Millis now);
    void settle(const WorkerAsk&, Attempt<platform::WorkerReport>);
    void logNewEvents();

    const DriverOptions options;
    const Clock& clock;
    platform::Workers& workers;
    platform::InstanceList& list;
    const std::string ownIncarnation;

    std::mutex mutex;
    std::condition_variable changed; // For the scheduler.
    std::condition_variable ended; // For the reader of the list.
    std::condition_variable drained; // For waitDrained().
    GangKeeper keeper;
    std::uint64_t loggedEvent { 0 };
    bool stopping { false };
    bool draining { false };
    bool nudged { false };
    BoundedQueue<WorkerAsk> asks;
    std::vector<std::thread> threads;
};

} // namespace rattan::driver
