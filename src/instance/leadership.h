#pragma once

// One term of planning: from the moment this instance holds the newest claim
// until it gives it up or loses it.
//
//     Leadership term(7, services, jobs);
//     term.step(now, wall);          // only while the election says that this instance leads
//     if (term.lost()) ...
//
// In order: fence records of earlier terms; read the jobs and the plans to where they
// ended then; hand all of it to a planner; then carry out its orders. When it is destroyed, every call
// that is under way is broken off; what was sent already may still arrive, which
// the planner's rules allow for.

#include "base/metrics.h"
#include "delivery/direct_channel.h"
#include "delivery/relayed_channel.h"
#include "http/async_client.h"
#include "instance/settings.h"
#include "instance/store_protocol.h"
#include "instance/stream_reader.h"
#include "instance/term_appender.h"
#include "instance/worker_clocks.h"
#include "tasks/election.h"
#include "tasks/task_planner.h"

#include <map>
#include <memory>
#include <string>

namespace rattan::instance {

// What a term works with; all of it outlives the term.
struct TermServices {
    http::AsyncClient& client;
    const StoreProtocol& store;
    const delivery::WorkerProtocol& workers;
    delivery::RelayRoster& roster;
    delivery::DeliveryPort& port;
    const Clock& clock;
    const tasks::Election& election; // Asked again before each order.
    const InstanceSettings& settings;
    Metrics& metrics;
};

class Leadership final : public StreamHandler {
public:
    Leadership(std::int64_t term, TermServices, const tasks::JobTable&, const tasks::PlanTable&);
    ~Leadership() override;
    Leadership(const Leadership&) = delete;
    Leadership& operator=(const Leadership&) = delete;

    void applyCatalog(std::shared_ptr<const tasks::Catalog>);
    void jobChanged(const tasks::JobTable::Change&, Millis now, Millis wall);

    // Everything appended to the jobs' stream before `at` is in the table.
    void jobsConfirmed(Millis at, Millis now, Millis wall);

    // Everything appended to the stream of plans before `at` is in its table.
    void plansConfirmed(Millis at, Millis now, Millis wall);
    bool needsPlans() const { return this->plansAppender.fencedAt() > 0 && !this->plansLoaded; }

    // True while the term cannot begin until the jobs' stream was read further.
    bool needsJobsRead() const { return this->jobsAppender.fencedAt() > 0 && !this->jobsLoaded; }

    void step(Millis now, Millis wall);
    bool isLost() const { return this->termLost || this->jobsAppender.isLost() || this->plansAppender.isLost() || (this->planner && this->planner->deposed()); }
    Millis nextWake(Millis now, Millis wall) const;
    std::int64_t term() const { return this->termNumber; }
    bool isPlanning() const { return this->planner != nullptr; }

    // What instances tell that carry orders for this one.
    void answersArrived(const delivery::AnswersArrived& answers, Millis now) { this->channel.arrived(answers, now); }
    void peerLost(const delivery::PeerLost&, Millis now);

    // What is read of the list of workers.
    void recordRead(Stream, const StoreRecord&, Millis now) override;
    void loadBegun(Stream) override;
    void streamConfirmed(Stream, std::int64_t end, Millis confirmedAt, Millis now) override;
    void streamFailed(Stream, const std::string& why, Millis now) override;

private:
    void beginPlanning(Millis now, Millis wall);
    void runPlanner(Millis now, Millis wall);
    void executeOrders(tasks::Orders, Millis now);
    void append(const tasks::RecordBatch&);
    void checkBatch(Millis now);
    void forgetExpiredJobs(Millis now);
    void sendStart(const tasks::StartOrder&);
    void sendStop(const tasks::StopOrder&);
    void sendPoll(const tasks::PollOrder&, Millis now);
    void observeOrderTime(const char* kind, Millis sentAt, Millis now);
    bool confirmLeadership();
    void updateWorkers(Millis now);
    void sendAdvice(const tasks::AdviceOrder&);
    void sendRemainingPolls(Millis now);
    void logSlowRound(Millis duration) const;
    void logPlanEvent(const tasks::PlanEvent&) const;

    const std::int64_t termNumber;
    TermServices services;
    const tasks::JobTable& jobs;
    std::shared_ptr<const tasks::Catalog> catalog;
    std::unique_ptr<tasks::TaskPlanner> planner;
    delivery::DirectChannel directChannel;
    delivery::RelayedChannel channel;
    StreamReader workerList;
    std::map<std::string, tasks::WorkerSighting> sightings;
    std::map<std::string, tasks::WorkerSighting> loadingSightings;
    bool loadingWorkerList { false };
    bool workerListChanged { false };
    WorkerClocks workerClocks;

    TermAppender jobsAppender;
    TermAppender plansAppender;
    const tasks::PlanTable& plans;
    bool jobsLoaded { false }; // As they were when earlier terms could not append any more,
    bool plansLoaded { false }; // and so are the plans.
    std::int64_t batchInFlight { 0 }; // 0: none.
    Millis batchSentAt { 0 };
    Millis nextForgetAt { 0 };
    Millis nextPlanAt { 0 }; // Of the planner.
    Millis nextPollsAt { 0 }; // Of those that were left over in its turn.
    bool termLost { false };
};

} // namespace rattan::instance
