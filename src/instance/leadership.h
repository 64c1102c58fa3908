#pragma once

// One term of planning: from the moment this instance holds the newest claim until it
// resigns or loses the claim.
//
//     Leadership leadership(7, services, jobs, plans);
//     leadership.step(now, wallTime); // only while the election reports this instance as leader
//     if (leadership.isLost()) ...
//
// A term fences the appends of earlier terms, reads the configuration and the streams of jobs and
// plans up to their ends at that time, creates a planner from them, and then executes the planner's orders.
// The destructor aborts all calls in flight. Orders that were already sent may still reach
// their workers; the planner's protocol allows for that.

#include "base/metrics.h"
#include "delivery/direct_channel.h"
#include "delivery/relayed_channel.h"
#include "http/async_client.h"
#include "instance/settings.h"
#include "instance/store_protocol.h"
#include "instance/stream_reader.h"
#include "instance/term_appender.h"
#include "instance/worker_clocks.h"
#include "instance/worker_list.h"
#include "tasks/election.h"
#include "tasks/task_planner.h"

#include <memory>
#include <string>

namespace rattan::instance {

// The dependencies of a term. All of them must outlive it.
struct TermServices {
    http::AsyncClient& client;
    const StoreProtocol& store;
    const delivery::WorkerProtocol& workers;
    delivery::RelaySelector& relaySelector;
    delivery::DeliveryPort& deliveryPort;
    const Clock& clock;
    const tasks::Election& election; // Checked again before each order is sent.
    const InstanceSettings& settings;
    Metrics& metrics;
    delivery::DirectChannel::CanSend maySend; // Whether operators' requests permit the order; checked just before it is sent.
};

class Leadership final {
public:
    Leadership(std::int64_t term, TermServices, const tasks::JobTable&, const tasks::PlanTable&);
    ~Leadership();
    Leadership(const Leadership&) = delete;
    Leadership& operator=(const Leadership&) = delete;

    void applyCatalog(std::shared_ptr<const tasks::Catalog>);
    void setEvacuatedDomains(const tasks::EvacuatedDomains&, Millis now);
    void setEvacuationsKnown(bool known, Millis now);
    std::size_t runCountIn(std::string_view domain) const { return this->planner ? this->planner->runCountIn(domain) : 0; }
    // Null unless this instance plans.
    const tasks::ForecastCoverage* forecastCoverage() const { return this->planner ? &this->planner->forecastCoverage() : nullptr; }
    // Null unless this instance plans.
    const tasks::IdleJobCounts* idleJobs() const { return this->planner ? &this->planner->idleJobs() : nullptr; }
    void jobChanged(const tasks::JobTable::Change&, Millis now, Millis wallTime);

    // Reports that the job table contains every record that was appended before `at`.
    void jobsConfirmed(Millis at, Millis now, Millis wallTime);

    // Reports that the plan table contains every record that was appended before `at`.
    void plansConfirmed(Millis at, Millis now, Millis wallTime);

    // Reports that the catalog contains every change that was made before `at`.
    void configurationConfirmed(Millis at, Millis now, Millis wallTime);
    bool needsConfiguration() const { return this->plansAppender.fencedAt() > 0 && !this->configurationLoaded; }
    bool needsPlans() const { return this->plansAppender.fencedAt() > 0 && !this->plansLoaded; }

    // True while planning cannot begin until the jobs stream is read further.
    bool needsJobsRead() const { return this->jobsAppender.fencedAt() > 0 && !this->jobsLoaded; }

    void step(Millis now, Millis wallTime);
    bool isLost() const { return this->termLost || this->jobsAppender.isLost() || this->plansAppender.isLost() || (this->planner && this->planner->deposed()); }
    Millis nextWake(Millis now, Millis wallTime) const;
    std::int64_t term() const { return this->termNumber; }
    bool isPlanning() const { return this->planner != nullptr; }

    // Events of the instances that relay orders for this one.
    void answersReceived(const delivery::AnswersReceived& answers, Millis now) { this->relayedChannel.handleAnswers(answers, now); }
    void arrivalsChecked(const delivery::ArrivalCheck& check, Millis now) { this->relayedChannel.handleArrivalCheck(check, now); }
    void peerLost(const delivery::PeerLost&, Millis now);

private:
    void beginPlanning(Millis now, Millis wallTime);
    void runPlanner(Millis now, Millis wallTime);
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
    void sendDueOrders(Millis now);
    void logSlowRound(Millis duration) const;
    void logPlanEvent(const tasks::PlanEvent&) const;

    const std::int64_t termNumber;
    TermServices services;
    const tasks::JobTable& jobs;
    std::shared_ptr<const tasks::Catalog> catalog;
    tasks::EvacuatedDomains evacuatedDomains;
    bool evacuationsKnown { true };
    std::unique_ptr<tasks::TaskPlanner> planner;
    delivery::DirectChannel directChannel;
    delivery::RelayedChannel relayedChannel;
    WorkerList workerList;
    StreamReader workersReader;
    WorkerClocks workerClocks;

    TermAppender jobsAppender;
    TermAppender plansAppender;
    const tasks::PlanTable& plans;
    bool jobsLoaded { false }; // The job table contains all appends of earlier, now fenced, terms.
    bool plansLoaded { false }; // The same for the plan table.
    bool configurationLoaded { false }; // The catalog is as new as any that an earlier term used.
    std::int64_t batchInFlight { 0 }; // Number of the batch, or 0 if there is none.
    Millis batchSentAt { 0 };
    Millis nextForgetAt { 0 };
    Millis nextPlanAt { 0 }; // Earliest time of the next planner run.
    Millis nextPollsAt { 0 }; // Earliest time to send polls that the last planner run left over.
    bool termLost { false };
};

} // namespace rattan::instance
