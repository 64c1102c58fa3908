#pragma once

// The state behind a Decider: which jobs there are, what each holds, and how an
// event changes that. Which waiting job goes where is the PlacementPolicy's
// choice; the engine carries it out and keeps every account in step.

#include "decide/action.h"
#include "decide/estimate_table.h"
#include "decide/event.h"
#include "decide/guarantee_book.h"
#include "decide/job_queue.h"
#include "decide/job_record.h"
#include "decide/options.h"
#include "decide/policy.h"
#include "decide/retry_budget.h"
#include "decide/worker_health.h"

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace rattan::decide::detail {

inline constexpr Millis never = std::numeric_limits<Millis>::max();

// Rules that a test breaks on purpose, to show that the checks notice.
enum class Fault {
    None,
    DoubleLease, // Placing forgets what the last gang took.
    HalfGang, // A gang starts without its last member.
    IgnorePlan, // Firm gangs are placed without regard to guaranteed homes.
    LendToAll, // Gangs that cannot be evicted borrow.
    LoseJob, // A stopped job is not queued again.
    AnswerTwice, // A finished job is answered twice.
    KeepFinished, // A finished job is kept.
    IgnoreLimit, // More jobs are held than may be.
    IgnoreAdjacency, // Gangs are placed anywhere in the domain.
};

struct WorkspaceRecord {
    WorkspaceRule rule;
    bool inText { false };
    std::int64_t used { 0 }; // Accelerators.
    std::int64_t borrowed { 0 };
    std::int64_t running { 0 };
};

class Engine {
public:
    explicit Engine(const Options&);

    std::vector<Action> step(const Event&, Millis now);
    Millis nextWake() const;
    void pause(bool);
    bool isPaused() const { return this->paused; }

    // For policies.
    void start(JobRecord&, std::vector<Placement>, Right, std::vector<Grant>);
    void claim(JobRecord&, std::vector<Placement>, Right, std::vector<Grant>);
    void dropClaim(JobRecord&);
    void evict(JobRecord&, StopReason, bool atOnce);
    void finish(JobRecord&, Outcome, std::string reason);
    void changeRank(JobRecord&, Urgency);
    Millis estimate(const JobRecord&) const;
    bool withinLimit(const JobRecord&) const;
    bool mayStart(const JobRecord&) const;
    bool mayMove(); // False when the cap on moves is reached.
    void markMove() { this->moves.push_back(this->now); }

    const Options options;
    Fault fault { Fault::None };

    WorkerTable workers;
    GuaranteeBook book;
    std::unordered_map<JobId, JobRecord> jobs;
    JobQueue queue;
    std::set<JobId> claiming;
    std::map<WorkspaceId, WorkspaceRecord> workspaces;
    EstimateTable estimates;
    WorkerHealth health;
    std::mt19937_64 random;

    JobRecord* find(JobId);
    const JobRecord* find(JobId) const;
    std::size_t rememberedFinished() const { return this->finishedSet.size(); }

private:
    void on(const TextChanged&);
    void on(const WorkerSeen&);
    void on(const WorkerLeaving&);
    void on(const WorkerLost&);
    void on(const JobSubmitted&);
    void on(const JobCancelled&);
    void on(const GangLearned&);
    void on(const GangStarted&);
    void on(const GangFinished&);
    void on(const GangFailed&);
    void on(const GangStopped&);
    void on(const UsageReported&);
    void on(const Tick&) { }

    void regrant();
    void meetSpec(JobRecord&, const JobSubmitted&);
    void review(JobRecord&);
    void reviewAll();
    JobRecord* current(JobId, std::int64_t attempt);
    void enqueue(JobRecord&);
    void occupy(JobRecord&);
    void vacate(JobRecord&);
    void unclaim(JobRecord&);
    void startClaims();
    bool claimReady(const JobRecord&) const;
    void occupyLearned(JobRecord&);
    void setUpRetry(JobRecord&, Millis delay);
    void stop(JobRecord&, StopReason);
    void stopAnswered(JobRecord&, double savedProgress);
    void retryOrFail(JobRecord&, const GangFailed&);
    void blame(JobRecord&, const GangFailed&);
    void workerUsableChanged(WorkerId);
    void dropClaimsOn(WorkerId);
    void updateQuarantine(WorkerId);
    void watchDeadline(const JobRecord&);
    void expireDeadlines();
    void expireOne(JobRecord&);
    void curbOveruse(JobRecord&, std::int64_t usedMemoryMb);
    void wakeAt(Millis);
    std::string whyNever(const JobRecord&) const;
    void setFirm(WorkerRecord&, WorkerId, int sign);

    std::unique_ptr<PlacementPolicy> policy;
    std::vector<Action> actions;
    Millis now { 0 };
    bool changed { false };
    bool paused { false };
    bool reviewDue { false };
    RetryBudget retries;
    Millis nextRefill { 0 };

    std::set<std::pair<Millis, JobId>> deadlines; // May be out of date; checked when due.
    std::set<Millis> wakes; // When a delayed job may be tried.
    std::deque<JobId> finishedOrder;
    std::unordered_set<JobId> finishedSet; // The last ones, so that a repeated submit stays over.
    std::deque<Millis> moves;
};

} // namespace rattan::decide::detail
