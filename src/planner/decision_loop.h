#pragma once

// The thread that decides: takes job records and driver events, steps the
// DomainPlanner, and hands orders to the driver and records to the log writer.
//
//     DecisionLoop loop(options, shared, ring, writer, role);
//     loop.start();
//     loop.stop();     // stands down; the driver keeps the leases alive
//
// One turn lasts at most turn-ms when nothing comes, and starts at once when a
// job record comes, so that an urgent job waits for no timer.

#include "base/bounded_queue.h"
#include "peers/peers.h"
#include "planner/domain_planner.h"
#include "planner/driver_link.h"
#include "planner/job_tail.h"
#include "planner/log_writer.h"
#include "planner/options.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace rattan::planner {

// The planner's state with the lock that the loop and the RPC service share.
struct SharedPlanner {
    explicit SharedPlanner(DomainPlannerOptions options)
        : planner(std::move(options))
    {
    }

    std::mutex mutex;
    DomainPlanner planner;
};

class DecisionLoop {
public:
    DecisionLoop(const PlannerOptions&, std::string incarnation, SharedPlanner&, BoundedQueue<JobTailItem>&, LogWriter&,
        const JobTail&, peers::Peers&);
    ~DecisionLoop();

    void start();
    void stop();

private:
    void run();
    void turn(DriverLink&);
    void takeRecords();
    void takeText();
    void followMembership();
    bool bookIsWhole(Millis now);
    void fetchBookFromPeers();
    void lookAtWorkers(DriverLink&, Millis now);
    void exchange(DriverLink&);
    void writeRecords();
    void standDown(const std::string& reason);

    const PlannerOptions& options;
    const std::string incarnation;
    SharedPlanner& shared;
    BoundedQueue<JobTailItem>& ring;
    LogWriter& writer;
    const JobTail& tail;
    peers::Peers& peers;
    std::int64_t textGiven { 0 };
    std::string driverIncarnation;
    std::vector<Order> unsent; // Orders that no exchange has carried yet.
    Millis lastSurvey { 0 };
    Millis wantedSince { 0 }; // When membership first chose this instance; 0: it has not.
    bool driverAnswers { false };
    std::atomic<bool> stopping { false };
    std::thread thread;
};

} // namespace rattan::planner
