#pragma once

// Everything that the planner of one failure domain knows and wants, without a
// clock, I/O or threads.
//
//     DomainPlanner planner({ .domain = "sapporo", .incarnation = id });
//     planner.applyText(version, text, now);
//     planner.applyRecord(item, now);              // from the job stream
//     planner.activate(now);                       // membership chose this instance
//     planner.applySurvey(survey, now);            // until stage() is Deciding
//     planner.applyEvents(events, now);            // from the driver
//     driver.exchange(planner.epoch(), planner.takeOrders());
//     writer.append(planner.takeRecords());
//
// On standby it only keeps the book of jobs. Once activated it learns: it takes
// an epoch above every epoch found at a worker, has the workers accept it, and
// takes over each gang as soon as all of its members were found. When every
// worker has answered or its leases have surely lapsed, it decides.
//
// A final answer is told to callers only once its record was read back from the
// log. Otherwise a planner that dies between telling and recording would let
// its successor run, and perhaps end differently, a job whose caller was already
// told its end. While the log is down such a job shows as `recording`.
//
// Not thread-safe; the decision loop and the RPC service share it under a lock.

#include "config/configuration.h"
#include "decide/decide.h"
#include "planner/job_book.h"
#include "planner/job_tail.h"
#include "planner/name_table.h"
#include "planner/order.h"
#include "planner/views.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattan::planner {

enum class Stage {
    Standby,
    Learning,
    Deciding,
};

std::string_view nameOf(Stage);

struct DomainPlannerOptions {
    std::string domain;
    std::string incarnation; // Of this planner process.
    std::uint64_t seed { 1 };
    Millis retention { 3600 * 1000 }; // Shortest time the log keeps a record.
    JobBookLimits book;
};

class DomainPlanner {
public:
    explicit DomainPlanner(DomainPlannerOptions);

    void applyText(std::uint64_t version, const config::Configuration&, Millis now);
    void applyRecord(const JobTailItem&, Millis now);

    // Starts to take over; nothing if that has begun already.
    void activate();
    // Gives up deciding and forgets what only a decider needs.
    void standDown();

    // With stage Learning: what the workers said, asked with epoch().
    // With stage Deciding: the regular look at workers that come and go.
    void applySurvey(const Survey&, Millis now);
    // False when a worker has refused this planner's epoch: stand down.
    bool applyEvents(const std::vector<DriverEvent>&, Millis now);
    void tick(Millis now, Millis wall);

    Stage stage() const { return this->currentStage; }
    // Zero while learning which epochs the workers have accepted.
    std::uint64_t epoch() const { return this->ownEpoch; }

    std::vector<Order> takeOrders();
    std::vector<records::JobRecord> takeRecords();

    // What callers and operators are told.
    std::optional<JobReport> report(const std::string& workspace, const std::string& key) const;
    std::vector<JobReport> newest(const std::string& workspace, std::size_t most) const;
    DomainReport domainReport() const;
    std::vector<records::JobRecord> snapshot() const { return this->book.snapshot(); }
    std::size_t openJobs() const { return this->book.openCount(); }

private:
    struct WorkerFacts {
        std::string address;
        std::string rack;
        decide::Amounts capacity;
        bool leaving { false };
        bool reachable { false };
    };
    struct FoundGang {
        std::uint64_t job { 0 };
        std::int64_t attempt { 0 };
        std::int64_t size { 0 };
        std::string key;
        std::string workspace;
        std::vector<OrderMember> members;
        bool broken { false }; // A member has failed or lapsed.
        bool adopted { false };
    };
    struct Running {
        std::int64_t membersReady { 0 };
        std::string result;
    };

    void learn(const Survey&, Millis now);
    void collectGangs(const SurveyedWorker&);
    void adoptWholeGangs();
    void beginDeciding(Millis now);
    decide::GangLearned learnedGang(const FoundGang&);
    void watchWorkers(const Survey&, Millis now);
    void submitToDecider(const Job&, Millis now);
    decide::TextChanged textForDecider();
    void feed(const decide::Event&, Millis now);
    void carryOut(const decide::Action&);
    void startGang(const decide::StartGang&);
    void orderStart(const decide::StartGang&);
    void finishJob(const decide::FinishJob&);
    void writeFinal(const Job&, records::JobOutcome, const std::string& reason, const std::string& result);
    void restate(const Job&);
    void applyEvent(const DriverEvent&, Millis now);
    Order orderFor(OrderKind, std::uint64_t job, std::int64_t attempt, std::string reason) const;
    const config::JobClass* classOf(const std::string& name) const;
    JobReport reportOf(const Job&) const;

    DomainPlannerOptions options;
    Stage currentStage { Stage::Standby };
    std::uint64_t ownEpoch { 0 };
    std::uint64_t highestEpochSeen { 0 };
    std::uint64_t textVersion { 0 };
    config::Configuration text;
    JobBook book;

    NameTable workerNames;
    NameTable rackNames;
    NameTable workspaceNames;
    NameTable classNames;

    std::optional<decide::Decider> decider;
    std::map<std::string, WorkerFacts> workers;
    std::map<std::pair<std::uint64_t, std::int64_t>, FoundGang> found; // Only while learning.
    std::map<std::uint64_t, std::int64_t> attemptsFound; // Highest attempt seen in any lease.
    std::unordered_map<std::uint64_t, Running> running;
    std::map<std::uint64_t, decide::StartGang> awaitingRecord; // Starts held back until their record is read.
    std::unordered_map<std::uint64_t, double> savedProgress; // Of jobs that were stopped after a checkpoint.
    std::set<std::uint64_t> finalsWritten; // Until read back.
    std::vector<Order> orders;
    std::vector<records::JobRecord> records;
    Millis lastRestateCheck { 0 };
};

} // namespace rattan::planner
