#pragma once

// Decides which task runs on which worker and when, for one term of a planner. It has no
// clock, no I/O and no threads: the caller passes the time, reports results and executes
// the orders.
//
//     TaskPlanner planner({ .maxLease = 10000 }, jobs, plans, now, wall);
//     planner.applyCatalog(catalog);
//     planner.workersListed(workers, now);                         // whenever the list is read
//     planner.jobAccepted(job, now, wall);                         // from the log, as are cancels
//     planner.pollAnswered(worker, sentAt, concurrent, poll, now); // and other answers
//     planner.step(now, wall);
//     Orders orders = planner.takeOrders(now);                     // executed in any order
//
// Safety properties:
//  * A run is recorded, with its workers, before its first start is sent, so a planner that
//    takes over knows every run that can exist.
//  * Nothing is assumed about a worker until it has answered a poll of this term; from then
//    on it refuses orders of earlier terms.
//  * An unanswered start keeps its resources and its task reserved until a poll lists the
//    run, or shows that a stop arrived first, or every lease on the worker has expired.
//  * A worker crash under a task is recorded with the task before the task starts again.
//    After a few crashes the job fails, also across takeovers.
//  * A run that a worker doesn't list is over only if the worker has listed all of its ends.
//    Until then it may have ended as done.
//  * Ends of runs are acknowledged to workers, and jobs are shown as final, only when the
//    record of it is durable.
//
// The caller must stop executing orders when its term is over. It must report every answer
// exactly once; polls, starts and stops have no other time limit than the caller's timeout.
// All times are in milliseconds. Not thread-safe.

#include "tasks/advice.h"
#include "tasks/candidate.h"
#include "tasks/catalog.h"
#include "tasks/evacuated_domains.h"
#include "tasks/eviction.h"
#include "tasks/fair_shares.h"
#include "tasks/forecast_coverage.h"
#include "tasks/idle_jobs.h"
#include "tasks/job_table.h"
#include "tasks/orders.h"
#include "tasks/plan_table.h"
#include "tasks/planner_state.h"
#include "tasks/round_pacer.h"
#include "tasks/run_time_forecaster.h"
#include "tasks/run_times.h"
#include "tasks/suspected_domains.h"
#include "tasks/worker_speeds.h"

#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rattan::tasks {

struct PlannerOptions {
    std::int64_t term { 1 };
    std::int64_t previousTerm { 0 }; // Of the only planner that may have given orders directly before.
    Millis maxLease { 10000 }; // The duration of the lease that each poll and start grants.
    Millis predecessorGrace { 1000 }; // How long the previous planner, considered dead, may still grant leases.
    Millis stopTimeout { 200 }; // The maximum time a worker takes to stop a run.
    std::size_t maxRecordBytes { 262144 }; // The largest record that the log takes, with its key.
    bool hasAdviceService { false }; // Whether an advice service can be queried; otherwise placement policies of queues are ignored.
};

class TaskPlanner {
public:
    // Takes over every job of the table that is not final, in the state that the previous
    // planner's records show. The job table must outlive the planner, which reads it later too.
    TaskPlanner(PlannerOptions, const JobTable&, const PlanTable&, Millis now, Millis wall);

    // A queue's tasks start on its newest service; runs that are on another one go on. The queue of
    // an accepted job may be absent, and then keeps its last known terms.
    void applyCatalog(std::shared_ptr<const Catalog>);

    // Nothing is started in these failure domains. Runs that are there go on. If `known` is false,
    // the current requests of the operators are unknown and nothing is started anywhere.
    void setEvacuatedDomains(const EvacuatedDomains&, bool known, Millis now);

    void jobAccepted(const std::shared_ptr<const Job>&, Millis now, Millis wall);
    void jobCancelled(const std::string& id, Millis now);

    // Reports the complete current list of workers.
    void workersListed(const std::vector<WorkerDescription>&, Millis now);

    // Report the results of orders. `concurrent` is the value in the poll's order; `accepted` tells
    // whether the worker answered the stop.
    void pollAnswered(const Incarnation&, Millis sentAt, bool concurrent, const WorkerReport&, Millis now);
    void pollFailed(const Incarnation&, bool concurrent, WorkerFault, Millis now);
    void startAnswered(const Incarnation&, const RunRef&, StartAnswer, Millis now);
    void stopAnswered(const Incarnation&, const RunRef&, bool accepted, Millis now);
    void adviceAnswered(const StepKey&, const std::vector<AllowedWorker>&, Millis now);
    void adviceFailed(const StepKey&, Millis now);
    void batchRecorded(std::int64_t batch, Millis now);

    // Deletes the records of jobs that are final and need not be reported to callers any longer.
    void forgetJobs(const std::vector<std::string>& ids);

    void step(Millis now, Millis wall);
    Orders takeOrders(Millis now);

    // Starts whose records have become durable, or that are repeated, since the last takeOrders().
    // The caller sends them between its turns, which may be rare on a slow machine.
    bool hasDueStarts() const { return !this->startOrders.empty(); }
    std::vector<StartOrder> takeDueStarts() { return std::exchange(this->startOrders, {}); }

    // Reports how long the last step() took, as by countedDuration().
    void reportStepDuration(Millis duration, Millis now) { this->pacer.roundFinished(this->round.kind, duration, now); }

    // Counts of the last step(), for the log event of a slow one.
    struct Round {
        RoundKind kind { RoundKind::None };
        std::int64_t candidates { 0 }; // Waiting units that the round visited.
        std::int64_t placed { 0 };
        std::int64_t searches { 0 }; // For resources that are free now or after pending stops.
        std::int64_t evictionSearches { 0 };
        std::int64_t reservations { 0 };
    };
    const Round& lastRound() const { return this->round; }

    // Whether polls that were due at the last takeOrders() exceeded the number sent at once. The
    // caller fetches them with takeDuePolls() between its turns, which are too rare to poll a
    // thousand workers.
    bool hasDuePolls() const { return !this->duePolls.empty(); }
    Orders takeDuePolls(Millis now);

    // Whether a worker has seen a higher term. The caller must then stop this planner.
    bool deposed() const { return this->isDeposed; }

    // The time at which step() must be called even if nothing is reported until then.
    Millis nextWake(Millis now, Millis wall) const;

    // The number of runs on workers, of units that wait, and of workers that have answered a
    // poll of this term.
    std::size_t runCount() const;
    std::size_t waitingUnitCount() const { return this->waitingUnits.size(); }
    std::size_t knownWorkerCount() const;

    // The number of runs on workers of a failure domain.
    std::size_t runCountIn(std::string_view domain) const;

    // Jobs of which nothing runs although a task is ready, as of the last step().
    const IdleJobCounts& idleJobs() const { return this->idleCounts; }

    // How often runs of this term ended within the quantiles forecast at their start.
    const ForecastCoverage& forecastCoverage() const { return this->coverage; }

    // Descriptions of violated invariants; empty if all hold. For tests.
    std::vector<std::string> violations() const;

private:
    using Unit = detail::Unit;
    using Worker = detail::WorkerState;
    using PlacedRun = detail::PlacedRun;
    using ActiveJob = detail::ActiveJob;
    using Occurrence = detail::Occurrence;
    using Candidate = detail::Candidate;
    using RunLoss = detail::RunLoss;

    // Jobs and their units.
    void adoptJob(const JobEntry&, const Progress&, Millis now, Millis wall);
    void adoptUnits(ActiveJob&, const Progress&, Millis now);
    void adoptRun(Unit&, const UnitProgress&, Millis now);
    void beginDueOccurrences(ActiveJob&, Millis now, Millis wall);
    void beginOccurrence(ActiveJob&, std::int64_t occurrence, Millis now);
    void beginReadySteps(ActiveJob&, std::int64_t occurrence, Millis now);
    std::int64_t minWaitingUnits(const ActiveJob&) const;
    bool hasRoom(const ActiveJob&, std::int64_t parts) const;
    bool mayBeginOccurrence(const ActiveJob&) const;
    bool needsUnits(const ActiveJob&) const;
    void addNeededUnits(ActiveJob&, Millis now);
    void addUnits(ActiveJob&, std::int64_t occurrence, std::size_t step, Millis now);
    Unit* addStartedUnit(ActiveJob&, const UnitKey&, Millis now);
    void addUnit(ActiveJob&, const UnitKey&, Millis now);
    void completeUnit(const UnitKey&, Millis now);
    static Millis restartDelay(int shortRuns);
    void requeueUnit(Unit&, Millis now);
    static bool wasObservedFromStart(const Unit&);
    void learnRunTime(const Unit&, Millis now);
    void learnUnfinishedRun(const Unit&);
    static RunGroup groupOf(const Unit&);
    double speedOf(const Unit&) const;
    void countFailedRun(const RunRef&, Millis now);
    void finishJob(const std::string& id, JobState, std::string reason, Millis now);
    void dropUnits(const std::string& id, Millis now);
    void abandonRun(const Unit&, Millis now);
    void enqueue(const Unit&);
    void dequeue(const UnitKey&);
    void countWaiting(const UnitKey&, std::int64_t change);

    // The terms of queues. See task_planner_terms.cc.
    bool learnTerms(const std::shared_ptr<const QueueTerms>&);
    void updateTerms();
    bool updateTerms(ActiveJob&);
    const std::string& serviceOf(const Unit&) const;

    // Runs and workers.
    void place(Unit&, const std::vector<std::string>& workers, Millis now);
    void stopUnit(Unit&, Millis now);
    void removeMember(Worker&, const RunRef&, std::optional<RunEnd>, const std::string& checkpoint, Millis now);
    void applyEndedTask(Worker&, const EndedTask&, Millis now);
    bool failsAnywhere(const UnitKey&, const std::string& worker) const;
    void acceptLateCompletion(const RunRef&, Millis now);
    void applyRunningTask(Worker&, const RunningTask&, Millis now);
    double minMemberProgress(const Unit&);
    void estimateInheritedRunTime(Unit&, double progress, Millis now) const;
    void settleUnlistedRuns(Worker&, const WorkerReport&, Millis sentAt, Millis now);
    void loseIncarnation(Worker&, Millis now, const char* reason);
    void changeIncarnation(Worker&, const WorkerReport&, Millis sentAt, bool concurrent, Millis now);
    static void rememberLostStart(Worker&, PlacedRun&, Millis now);
    static bool canStartLate(const Worker&, const RunRef&, Millis now);
    static bool canReceiveLateCalls(const Worker&, Millis now);
    void stopLateStarts(Worker&, Millis now);
    void markSilent(Worker&, Millis now);
    bool isInDoubtedDomain(const Worker&, Millis now) const;
    bool isEvacuated(const Worker& worker) const { return !this->evacuationsKnown || this->evacuatedDomains.contains(worker.description.domain); }
    void withdrawUnsentStarts(Millis now);
    void withdrawStart(Worker&, const RunRef&, Millis now);
    Worker* find(const Incarnation&); // By id only: the run may be in a later incarnation.
    Unit* find(const UnitKey&);
    Resources resourcesOf(const TaskRef&) const;
    UnitKey unitOf(const TaskRef&) const;

    // Runs that were lost with their workers, and tasks suspected of crashing workers.
    void loseRun(Worker&, const RunRef&, RunLoss, Millis now);
    std::optional<CrashEvidence> evidenceOf(const Worker&, const PlacedRun&, RunLoss);
    void addCrash(const PlacedRun&, CrashEvidence, Millis now);
    bool hasSurvivedStart(const Unit&);
    void clearSuspicion(Unit&);
    void failExhaustedJobs(Millis now);
    void recordStartsOn(const Worker&);
    std::vector<std::int64_t> begunMembers(const Unit&) const;
    void confirmStart(PlacedRun&, Millis now);
    std::set<std::string> isolatedWorkersOf(const std::string& job) const;
    bool isSurvivalCheckDue(const PlacedRun&, Millis now) const;
    Millis nextSurvivalCheck(Millis now) const;

    // Leases. See task_planner_leases.cc.
    void grantLease(Worker&, Millis now) const;
    void expireLeases(Millis now);
    void adoptLeaseLimits();
    bool mayGrantLease(const Worker& worker) const { return !this->limitedWorkers.contains(worker.description.incarnation.id); }
    bool isLeaseLimitDue(const Worker&, Millis now) const;
    bool mustDropLeaseLimit(const std::string& worker) const;
    void findLeaseLimitChanges(Millis now);
    void recordLeaseLimits(RecordBatch&, Millis now);
    void leaseLimitsRecorded();

    // Stalls, and the placement decisions of a round.
    void stopStalledUnits(Millis now);
    Worker* slowestWorker(const Unit&);
    void evacuateLeavingWorkers(Millis now);
    void markGuaranteedJobs(Millis now);
    std::vector<Candidate> rankCandidates(const std::set<UnitKey>&, Millis now, Millis wall);
    void orderExcess(std::vector<Candidate>&, Millis now) const;
    FairShares sharesOf(const std::vector<Candidate>&) const;
    void updateLoads(const std::vector<Candidate>&, Millis now, Millis wall);
    double remainingWorkOf(const ActiveJob&, Millis now) const;
    double wholeWorkOf(const Job&) const;
    std::map<std::string_view, double> meanWorkByQueue() const;
    std::map<std::string_view, Resources> capacityByService() const;
    PlacementRequest requestOf(const Unit&) const;
    bool tryPlace(Candidate&, Snapshot&, const PlacementRequest&, Millis now);
    Millis idleSinceOf(const Unit&) const;
    bool isPassedOver(const Unit&, Millis duration, Millis now);
    std::vector<std::string> failingWorkersOf(const Unit&) const;
    static void restartPreferences(Unit&, Millis now);
    bool tryPlaceWithoutPreferences(Candidate&, Snapshot&, const PlacementRequest&, Millis now);
    void placeCandidate(const Candidate&, Snapshot&, const PlacementRequest&, const Placement&, Millis now);
    bool hasStartingUnits(const ActiveJob&, Millis now) const;
    bool canEvict(const Candidate&, Millis now);
    bool mustStopOthers(const Candidate&, const std::optional<Snapshot::Reservation>&, Millis now);
    void updatePaths(ActiveJob&, Millis now) const;
    Deadlines deadlinesOf(const Unit&) const;
    double stopWeightOf(const Unit&, Millis now) const;
    bool tryEvict(Candidate&, Snapshot&, const PlacementRequest&, Millis now);
    bool mayTakeBack(const Candidate&, Millis now) const;
    bool tryTakeBack(Candidate&, Snapshot&, const PlacementRequest&, Millis now);
    void evict(const EvictionPlan&, const Unit&, Snapshot&, const PlacementRequest&, Millis now);
    void reportEvictionRefusal(Unit&, detail::EvictionRefusal, double cost, double bound);
    WorkerCounts workersOfSiblings(const UnitKey&) const;
    void runRound(Millis now, Millis wall);
    std::int64_t urgentDemand(const std::string& service, Millis now);
    static bool hasProbingRun(const Worker&);
    detail::WorkerAvailability availabilityOf(const Worker&, Millis now) const;
    Snapshot makeSnapshot(const std::string& service, Millis now) const;
    const detail::GroupForecast& forecastOf(const Unit&) const;
    void expireForecasts(Millis now);
    Millis expectedRunTime(const Unit&) const;
    Millis expectedEndWithoutProgress(const Unit&, Millis now) const;
    Millis expectedEnd(const Unit&, Millis now) const;
    double lostWorkOf(const Unit&, Millis now) const;
    double evictionCost(const Unit&, Millis now) const;
    Allocation allocationOf(const PlacedRun&, Millis now) const;
    double maxLostWork(const Candidate&, Millis now) const;

    // Speeds of workers.
    void noteProgress(Unit&, const TaskRef&, double progress, Millis now);
    static std::optional<SpeedEstimator::Sample> speedSampleOf(const Unit&, std::size_t member, double minProgress);
    static std::vector<SpeedEstimator::Sample> speedSamplesOf(const Unit&, double minProgress);
    detail::StepState& stepStateOf(const Unit&);
    void compareRunningSiblings(const Unit&, Millis now);
    void learnSpeedsAtEnd(const Unit&, Millis took);
    SpeedPreference speedPreferenceOf(const Candidate&, const PlacementRequest&, Millis now) const;
    void moveLateRuns(Millis now, Millis wall);
    static Millis acceptanceOf(const Unit&, Millis now, Millis wall);
    Millis objectiveOf(const Unit&, Millis now, Millis wall) const;
    RunOutlook outlookOf(const Unit&, Millis now, Millis wall) const;

    // Advice on which workers may run a step.
    std::set<std::string> allowedWorkers(const StepAdvice&, const Snapshot&, Millis now) const;
    std::vector<detail::AdviceCandidate> adviceCandidates(const StepAdvice&, const Snapshot&, const PlacementRequest&, Millis now) const;
    bool claimAdviceTurn(StepAdvice&);
    bool resolveAdvice(const Unit&, const Snapshot&, PlacementRequest&, Millis now);
    void requestAdvice(const Unit&, const std::vector<std::string>& named, Millis now);
    std::string adviceText(const Unit&, Millis now) const;
    void forgetAdvice(const std::string& job);

    // Starts that are recorded and wait for a ticket of the advice service.
    struct WaitingStart {
        Worker* worker { nullptr };
        PlacedRun* placedRun { nullptr };
        bool hasTicket { false };
    };
    bool hasPolicy(const Unit&) const;
    StepAdvice* findAdvice(const TaskRef&);
    const std::string* ticketOf(const Unit&, const Worker&) const;
    bool hasTicket(const Unit&, const Worker&, Millis now) const;
    bool canTakeWaitingStart(const Unit&, const WaitingStart&) const;
    std::vector<WaitingStart> waitingStartsOf(const UnitKey&, Millis now);
    std::vector<std::pair<Worker*, RunRef>> waitingRunsOf(const UnitKey&, Millis now);
    void awaitTicket(PlacedRun&);
    void sendTicketedStarts(const UnitKey&, Millis now);
    void updateWaitingStarts(Millis now);
    void nameWaitingWorkers(const UnitKey&, std::set<std::string>& named, Millis now);
    void withdrawWaitingStarts(const StepKey&, Millis now);

    // Records, orders and events.
    void markDirty(const std::string& job) { this->dirtyJobs.insert(job); }
    void requestImmediateRecord() { this->recordDueAt = 0; } // Another component waits for the record.
    bool isRecordDue(Millis now);
    Progress progressOf(const ActiveJob&) const;
    void makeBatch(Millis now, Orders&);
    void recordJob(const std::string& id, RecordBatch&);
    void recordDeletions(RecordBatch&);
    void makePolls(Millis now, Orders&);
    static void setDurable(Worker&, std::int64_t number, Millis now);
    static bool isWithinCapacity(const Worker&);
    void sendStart(Worker&, PlacedRun&, const Unit&, Millis now);
    void sendStartAgain(Worker&, PlacedRun&, const Unit&, Millis now);
    static bool isEndExpected(const Worker&);
    bool isLeaseHalfOver(const Worker&, Millis now) const;
    bool isEndOverdue(const Worker&, const PlacedRun&, Millis now) const;
    bool isConcurrentPollDue(const Worker&, Millis now) const;
    bool isPollDue(const Worker&, Millis now) const;
    void addPoll(Worker&, Millis now, Orders&) const;
    static void addConcurrentPoll(Worker&, Orders&);
    void sendDuePolls(Millis now, Orders&);
    static bool isStoppedBeforeStart(const Worker&, const PlacedRun&);
    void makeStops(Millis now, Orders&);
    void emit(PlanEventKind, const UnitKey&, std::int64_t run, std::string worker, std::string detail);
    void reportPlaced(const Unit&, Millis now);
    void reportGuaranteeWait(Candidate&, const Snapshot&, const PlacementRequest&, Millis now);
    void reportOldestWait(const std::vector<Candidate>&, const std::map<std::string, Snapshot>&, Millis now);
    std::string availabilityText(const std::string& service, Millis now) const;
    std::string overduePollsText(Millis now) const;
    std::string pendingStopsText(Millis now) const;
    void reportRoutineCounts();

    // Jobs of which nothing runs although a task is ready.
    struct BlockingRun {
        const Worker* worker { nullptr };
        const PlacedRun* placedRun { nullptr };
        bool isRunning { false }; // Some run of the job is running, so that nothing blocks it.
    };
    std::unordered_map<std::string_view, BlockingRun> findBlockingRuns() const;
    void updateIdleJobs(Millis now);
    void reportUnplacedJob(const ActiveJob&, Millis now);
    void reportHeldJob(ActiveJob&, const BlockingRun&, Millis now);
    void reportPassedOver(Unit&, const Snapshot&, const PlacementRequest&, const UnusedMembers&, Millis now);
    const Unit* findPassedOverUnit(const ActiveJob&, Millis now) const;
    std::string blockingRunText(const BlockingRun&, Millis now) const;
    void reportBlockedJob(const ActiveJob&, const BlockingRun&, Millis now);
    Millis fitsTwiceSince(const ActiveJob&) const;
    void updateUnusedResources(Unit&, const Snapshot&, const PlacementRequest&, Millis now);

    // Checks of violations().
    void checkWorkers(std::vector<std::string>&) const;
    void checkUnits(std::vector<std::string>&) const;
    std::int64_t membersPlaced(const Unit&) const;
    void checkJobs(std::vector<std::string>&) const;
    static std::string stepViolation(const ActiveJob&, const Occurrence&, std::size_t step, const std::vector<std::int64_t>& left);

    const PlannerOptions options;
    const Millis termStartedAt;
    const JobTable& jobTable;
    std::shared_ptr<const Catalog> catalog;
    std::map<std::string, std::shared_ptr<const QueueTerms>, std::less<>> queueTerms; // Of the catalog, or of a job that was accepted under a newer version.
    std::map<std::string, ActiveJob> jobs;
    std::map<UnitKey, Unit> units; // Of jobs that are not final, for the tasks that have one.
    std::set<UnitKey> waitingUnits;
    std::set<UnitKey> urgentWaitingUnits; // The waiting units of the highest priority.
    std::set<UnitKey> exhaustedUnits; // Units with too many crashes; their jobs fail at the next step.
    std::set<UnitKey> isolatedUnits; // Suspect units that run only beside suspect units of the same job.
    std::map<std::string, Worker> workers; // By worker id; the newest incarnation of each.
    EvacuatedDomains evacuatedDomains;
    bool evacuationsKnown { true };
    SuspectedDomains domainDoubts;
    RunTimes runTimes;
    RunTimeForecaster runTimeForecaster;
    ForecastCoverage coverage;
    mutable std::map<RunGroup, std::shared_ptr<const detail::GroupForecast>> groupForecasts; // Of groups with units.
    Millis forecastsValidUntil { 0 };
    WorkerSpeeds workerSpeeds;
    Millis movesCheckedAt { 0 }; // When late runs were last searched for.
    Millis lastWaitReportAt { 0 }; // When the wait of the oldest unit was last reported.
    Millis idleCheckedAt { 0 }; // When idle jobs were last searched for.
    Millis nextIdleReportAt { 0 }; // When the job that has been idle for longest may be reported again.
    IdleJobCounts idleCounts;
    Millis lastLearnedRecordAt { 0 }; // When run times and worker speeds were last recorded.
    std::set<std::string> finishedJobs; // Jobs that ended in this term; a late repeat of their records is ignored.

    std::vector<std::string> jobsToForget;
    std::vector<std::string> obsoletePlans; // Keys of plans and their parts of jobs whose end is recorded, so that they can be deleted.
    std::vector<std::string> plansEndedInBatch; // The same, of jobs whose end is in the pending batch.
    SplitRecord estimatesRecord;
    std::set<std::string> dirtyJobs; // Jobs whose records are out of date.
    Millis recordDueAt { noRecord }; // When the dirty jobs must be recorded.
    static constexpr Millis noRecord = std::numeric_limits<Millis>::max();
    std::vector<std::pair<std::string, RunRef>> startsToRecord; // Worker id and run.
    std::int64_t batchNumber { 0 };
    bool isBatchPending { false };
    Millis batchCreatedAt { 0 };
    std::vector<std::pair<std::string, RunRef>> startsInBatch;
    std::map<Incarnation, std::int64_t> endsInBatch;
    std::vector<StartOrder> startOrders;
    std::map<StepKey, StepAdvice> adviceByStep; // For steps whose queue has a policy.
    std::set<UnitKey> unitsAwaitingTickets; // Units with starts that wait for a ticket.
    std::vector<AdviceOrder> adviceOrders;
    int pendingAdviceRequests { 0 };
    std::int64_t advicePass { 1 }; // The current pass over all steps; each step sends at most one advice request per pass.
    bool hasDeferredAdvice { false }; // Whether a step of this round couldn't send its advice request: too many were pending.
    std::vector<PlanEvent> events;
    std::map<PlanEventKind, std::size_t> eventCounts; // Of the events since the last takeOrders(), including dropped ones.
    std::int64_t completedUnitCount { 0 }; // Since the last UnitsDone event.
    std::map<StepKey, std::int64_t> placedTaskCounts; // Since the last TasksPlaced events.
    bool isDeposed { false };
    struct DuePoll {
        Millis sortTime { 0 }; // The lowest is polled first.
        std::string worker; // The worker's id.
        bool concurrent { false };
    };
    std::vector<DuePoll> duePolls; // Due polls that were not sent yet; the next one is at the back.
    Millis nextIdlePollsAt { 0 }; // Idle workers are not polled before then unless a unit waits.
    struct DecayingDemand {
        double accelerators { 0 };
        Millis at { 0 };
    };
    std::map<std::string, DecayingDemand> recentUrgentDemand; // By service; the decaying maximum.
    Millis lastLoadCheckAt { 0 }; // When the backlogs of queues were last compared with the room.
    std::set<std::string> overloadedQueues; // Queues with a record that says so.
    std::set<std::string> limitedWorkers; // Workers with a record of this term that bounds their leases, or with one under way.
    std::set<std::string> inheritedLimits; // Workers with such a record of an earlier term.
    std::vector<std::string> limitsToRecord;
    std::vector<std::string> limitsToDrop;
    std::vector<std::string> limitsDroppedInBatch;
    std::map<std::string, std::string> loadsToRecord; // Values by key; a batch may wait for longer than the interval.
    Millis wallOffset { 0 }; // The wall-clock time less the local time.
    Round round;
    RoundPacer pacer;
};

} // namespace rattan::tasks
