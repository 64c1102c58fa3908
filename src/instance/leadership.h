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
#include "instance/term_stream.h"
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
    bool wantsPlans() const { return this->plansStream.fencedAt() > 0 && !this->plansKnown; }

    // True while the term cannot begin until the jobs' stream was read further.
    bool wantsRead() const { return this->jobsStream.fencedAt() > 0 && !this->jobsKnown; }

    void step(Millis now, Millis wall);
    bool lost() const { return this->isLost || this->jobsStream.isLost() || this->plansStream.isLost() || (this->planner && this->planner->deposed()); }
    Millis nextWake(Millis now, Millis wall) const;
    std::int64_t term() const { return this->number; }
    bool planning() const { return this->planner != nullptr; }

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
    void plan(Millis now, Millis wall);
    void carryOut(tasks::Orders, Millis now);
    void append(const tasks::RecordBatch&);
    void stepRecords(Millis now);
    void forgetOldJobs(Millis now);
    void sendStart(const tasks::StartOrder&);
    void sendStop(const tasks::StopOrder&);
    void sendPoll(const tasks::PollOrder&, Millis now);
    void observeOrder(const char* kind, Millis sentAt, Millis now);
    bool stillLeads();
    void tellWorkers(Millis now);
    void sendAdvice(const tasks::AdviceOrder&);
    void sendPollsLeft(Millis now);
    void logRound(Millis took) const;
    void logPlanEvent(const tasks::PlanEvent&) const;

    const std::int64_t number;
    TermServices services;
    const tasks::JobTable& jobs;
    std::shared_ptr<const tasks::Catalog> catalog;
    std::unique_ptr<tasks::TaskPlanner> planner;
    delivery::DirectChannel direct;
    delivery::RelayedChannel channel;
    StreamReader workerList;
    std::map<std::string, tasks::WorkerDescription> sightings;
    std::map<std::string, tasks::WorkerDescription> loadingSightings;
    bool loadingList { false };
    bool listChanged { false };
    WorkerClocks clocks;

    TermStream jobsStream;
    TermStream plansStream;
    const tasks::PlanTable& plans;
    bool jobsKnown { false }; // As they were when earlier terms could not append any more,
    bool plansKnown { false }; // and so are the plans.
    std::int64_t batchUnderWay { 0 }; // 0: none.
    Millis batchSentAt { 0 };
    Millis forgetAt { 0 };
    Millis nextTurn { 0 }; // Of the planner.
    Millis nextPolls { 0 }; // Of those that were left over in its turn.
    bool isLost { false };
};

} // namespace rattan::instance
