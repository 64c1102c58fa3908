#pragma once

// Decides which task runs where and when, for one term, without a clock, I/O or
// threads.
//
//     TaskPlanner planner({ .longestLease = 10000 }, jobs, now, wall);
//     planner.applyCatalog(catalog);
//     planner.workersSeen(sightings, now);             // the list of workers, whenever read
//     planner.jobAccepted(job, now);                   // from the log, as are cancels
//     planner.pollAnswered(worker, sentAt, poll, now); // and other answers
//     planner.step(now, wall);
//     Orders orders = planner.take(now);               // to be carried out in any order
//
// What makes it safe:
//  * A run is recorded, with its workers, before its first start is sent. So
//    whoever takes over knows of every run that can exist.
//  * Nothing is believed of a worker before it has answered a poll with this
//    term: from then on it refuses orders of earlier terms.
//  * A start without an answer keeps its room and its task until a poll shows the
//    run, or shows that a stop came first, or every lease there is over.
//  * A worker that crashes under a task is recorded with the task before it starts again.
//    After a few such crashes its job is given up, whoever plans by then.
//  * Ends are acknowledged to workers, and jobs shown as over, only when the
//    record that says so is durable.
//
// The caller must stop carrying out orders when its term is over. Every answer
// must be told exactly once; polls, starts and stops have no other limit than
// the caller's timeout. Not thread-safe.

#include "tasks/advice.h"
#include "tasks/candidate.h"
#include "tasks/catalog.h"
#include "tasks/job_table.h"
#include "tasks/orders.h"
#include "tasks/plan_table.h"
#include "tasks/planner_state.h"
#include "tasks/round_pacer.h"
#include "tasks/run_times.h"
#include "tasks/suspected_domains.h"
#include "tasks/worker_speeds.h"

#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rattan::tasks {

struct PlannerOptions {
    Millis longestLease { 10000 }; // Granted with each poll and start.
    Millis earlierTerm { 1000 }; // An earlier planner, taken as gone, may go on granting leases for this long.
    Millis stopTimeout { 200 }; // Longest time that a stop takes at a worker.
    bool advised { false }; // There is an advice service to request; else no queue's policy is heeded.
};

class TaskPlanner {
public:
    // Takes over every job of the table that is not over, from where the earlier planner's
    // records leave it. The table is looked at later on too.
    TaskPlanner(PlannerOptions, const JobTable&, const PlanTable&, Millis now, Millis wall);

    void applyCatalog(std::shared_ptr<const Catalog>);
    void jobAccepted(const std::shared_ptr<const Job>&, Millis now, Millis wall);
    void jobCancelled(const std::string& id, Millis now);

    // All workers that the list holds at present.
    void workersSeen(const std::vector<WorkerDescription>&, Millis now);

    void pollAnswered(const Incarnation&, Millis sentAt, bool quick, const WorkerReport&, Millis now);
    void pollFailed(const Incarnation&, bool quick, WorkerFault, Millis now);
    void startAnswered(const Incarnation&, const RunRef&, StartAnswer, Millis now);
    void stopAnswered(const Incarnation&, const RunRef&, bool taken, Millis now);
    void adviceAnswered(const StepKey&, const std::vector<AllowedWorker>&, Millis now);
    void adviceFailed(const StepKey&, Millis now);
    void recorded(std::int64_t batch, Millis now);

    // Drops the records of jobs that are over and need not be told of any more.
    void forget(const std::vector<std::string>& ids);

    void step(Millis now, Millis wall);
    Orders take(Millis now);

    // The last step() took so long, by the caller's clock.
    void stepTook(Millis duration, Millis now) { this->pacer.roundFinished(this->round.kind, duration, now); }

    // What the last step() decided; for the log of one that took long.
    struct Round {
        RoundKind kind { RoundKind::None };
        std::int64_t candidates { 0 }; // Units that waited.
        std::int64_t placed { 0 };
        std::int64_t searches { 0 }; // For room that is there, or will be after stops.
        std::int64_t evictionSearches { 0 };
        std::int64_t reservations { 0 };
    };
    const Round& lastRound() const { return this->round; }

    // Polls that were due at the last take(), beyond those that are sent at once. The caller
    // takes them between its turns, which would be too rare for a thousand workers.
    bool hasPollsLeft() const { return !this->duePolls.empty(); }
    Orders takePolls(Millis now);

    // A worker has heard of a higher term: stop.
    bool deposed() const { return this->isDeposed; }

    // When step() wants to be called although nothing happens.
    Millis nextWake(Millis now, Millis wall) const;

    // Runs on workers, and units that wait.
    std::size_t runs() const;
    std::size_t waiting() const { return this->waitingUnits.size(); }
    std::size_t knownWorkers() const;

    // Breaks of what must always hold, in words; empty when all is well. For tests.
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
    void adopt(const JobEntry&, const Progress&, Millis now, Millis wall);
    void adoptUnits(ActiveJob&, const Progress&, Millis now);
    void adoptRun(Unit&, const UnitProgress&, Millis now);
    void beginDue(ActiveJob&, Millis now, Millis wall);
    void beginOccurrence(ActiveJob&, std::int64_t occurrence, Millis now);
    void beginSteps(ActiveJob&, std::int64_t occurrence, Millis now);
    void addUnit(ActiveJob&, const UnitKey&, Millis now);
    void unitDone(const UnitKey&, Millis now);
    void runOver(Unit&, Millis now);
    void learn(const Unit&, Millis now);
    void countFailure(const RunRef&, Millis now);
    void finishJob(const std::string& id, JobState, std::string reason, Millis now);
    void dropUnits(const std::string& id, Millis now);
    void abandonRun(const Unit&, Millis now);
    void enqueue(const Unit&);
    void dequeue(const UnitKey&);

    // Runs and workers.
    void place(Unit&, const std::vector<std::string>& workers, Millis now);
    void stopUnit(Unit&, Millis now);
    void memberGone(Worker&, const RunRef&, std::optional<RunEnd>, const std::string& checkpoint, Millis now);
    void applyEnd(Worker&, const EndedTask&, Millis now);
    void acceptLateDone(const RunRef&, Millis now);
    void applyRunning(Worker&, const RunningTask&, Millis now);
    double leastProgress(const Unit&);
    void learnWorkBefore(Unit&, double progress, Millis now) const;
    void settleUnlisted(Worker&, const WorkerReport&, Millis sentAt, Millis now);
    void loseIncarnation(Worker&, Millis now, const char* why);
    void changeIncarnation(Worker&, const WorkerReport&, Millis sentAt, bool quick, Millis now);
    static void rememberLostStart(Worker&, PlacedRun&, Millis now);
    static bool mayStartLate(const Worker&, const RunRef&, Millis now);
    static bool mayHaveLateCalls(const Worker&, Millis now);
    void stopLateStarts(Worker&, Millis now);
    void grantLease(Worker&, Millis now) const;
    void fellSilent(Worker&, Millis now);
    bool isDoubted(const Worker&, Millis now) const;
    Worker* find(const Incarnation&); // By its id: a run that is looked for may be in a later incarnation.
    Unit* find(const UnitKey&);
    Resources roomOf(const TaskRef&) const;
    UnitKey unitOf(const TaskRef&) const;

    // Runs lost with their workers, and tasks that may be the cause.
    void runLost(Worker&, const RunRef&, RunLoss, Millis now);
    void countCrash(const Worker&, const PlacedRun&, RunLoss);
    void addCrash(const PlacedRun&, CrashEvidence);
    bool hasSurvivedStart(const Unit&);
    void clearSuspicion(Unit&);
    void giveUpExhausted(Millis now);
    std::vector<std::int64_t> begunMembers(const Unit&) const;
    void confirmStart(PlacedRun&, Millis now);
    std::set<std::string> isolationOf(const std::string& job) const;
    bool isCheckDue(const PlacedRun&, Millis now) const;
    Millis nextCheck(Millis now) const;

    // Decisions of a round.
    void expire(Millis now);
    void noticeStalls(Millis now);
    Worker* slowestMember(const Unit&);
    void clearLeaving(Millis now);
    void markGuaranteed();
    std::vector<Candidate> rank(const std::set<UnitKey>&, Millis now, Millis wall);
    PlacementRequest requestOf(const Unit&) const;
    bool tryPlace(Candidate&, Snapshot&, const PlacementRequest&, Millis now);
    bool mayEvict(const Candidate&, Millis now);
    bool tryEvict(Candidate&, Snapshot&, const PlacementRequest&, Millis now);
    void tellRefusal(Unit&, detail::EvictionRefusal, double cost, double bound);
    WorkerCounts siblingsOf(const UnitKey&) const;
    void decide(Millis now, Millis wall);
    std::int64_t urgentDemand(const std::string& service, Millis now);
    static bool isOnTrial(const Worker&);
    detail::Absence absenceOf(const Worker&, Millis now) const;
    Snapshot makeSnapshot(const std::string& service, Millis now) const;
    Millis expectedRun(const Unit&) const;
    Millis expectedEnd(const Unit&, Millis now) const;
    double lostWork(const Unit&, Millis now) const;
    double evictionCost(const Unit&, Millis now) const;
    Allocation allocationOf(const PlacedRun&, Millis now) const;
    double worthLosing(const Unit&) const;

    // Advice on where a step may run.
    std::set<std::string> allowedWorkers(const StepAdvice&, const Snapshot&, Millis now) const;
    std::vector<detail::AdviceCandidate> askable(const StepAdvice&, const Snapshot&, const PlacementRequest&, Millis now) const;
    bool isAdviceTurn(StepAdvice&);
    bool isAdvised(const Unit&, const Snapshot&, PlacementRequest&, Millis now);
    const std::string* ticketFor(const UnitKey&, const Incarnation&, Millis now) const;
    void forgetAdvice(const std::string& job);

    // Records.
    void markDirty(const std::string& job) { this->dirty.insert(job); }
    void markUrgent() { this->recordBy = 0; } // Somebody waits for the next record.
    bool recordDue(Millis now);
    Progress progressOf(const ActiveJob&) const;
    void makeBatch(Millis now, Orders&);
    void recordJob(const std::string& id, RecordBatch&);
    void recordForgotten(RecordBatch&);
    void makePolls(Millis now, Orders&);
    static bool isWithinCapacity(const Worker&);
    void sendStart(Worker&, PlacedRun&, const Unit&, Millis now);
    static bool isEndExpected(const Worker&);
    bool isLeaseHalfOver(const Worker&, Millis now) const;
    bool isBesideDue(const Worker&, Millis now) const;
    bool isPollDue(const Worker&, Millis now) const;
    void poll(Worker&, Millis now, Orders&) const;
    static void pollBeside(Worker&, Orders&);
    void sendDuePolls(Millis now, Orders&);
    static bool isStoppedBeforeStart(const Worker&, const PlacedRun&);
    void makeStops(Millis now, Orders&);
    void emit(PlanEventKind, const UnitKey&, std::int64_t run, std::string worker, std::string detail);
    void reportPlaced(const Unit&, Millis now);
    void reportWait(Candidate&, const Snapshot&, const PlacementRequest&, Millis now);
    void reportOldestWait(const std::vector<Candidate>&, const std::map<std::string, Snapshot>&, Millis now);
    std::string attendanceOf(const std::string& service, Millis now) const;
    std::string pollsOverdue(Millis now) const;
    std::string stopsUnderWay(Millis now) const;
    void reportRoutine();

    // Parts of violations().
    void checkWorkers(std::vector<std::string>&) const;
    void checkUnits(std::vector<std::string>&) const;
    std::int64_t membersPlaced(const Unit&) const;
    void checkJobs(std::vector<std::string>&) const;
    static std::string problemOf(const ActiveJob&, const Occurrence&, std::size_t step, const std::vector<std::int64_t>& left);

    const PlannerOptions options;
    const Millis begunAt; // The term.
    const JobTable& table;
    std::shared_ptr<const Catalog> catalog;
    std::map<std::string, ActiveJob> jobs;
    std::map<UnitKey, Unit> units; // Of jobs that are not over.
    std::set<UnitKey> waitingUnits;
    std::set<UnitKey> urgentUnits; // Of these, those of the highest priority.
    std::set<UnitKey> exhausted; // To be given up with their jobs.
    std::set<UnitKey> isolatedUnits; // Suspect, and running where nothing else does.
    std::map<std::string, Worker> workers; // By id; the newest incarnation.
    SuspectedDomains domainDoubts;
    RunTimes runTimes;
    WorkerSpeeds speeds;
    Millis waitsReportedAt { 0 }; // When the log last reported what the oldest unit waits for.
    Millis learnedAt { 0 }; // When what was learned was last written down.
    std::set<std::string> finished; // Over in this term; a late repeat changes nothing.

    std::vector<std::string> toForget;
    std::vector<std::string> plansOver; // Of jobs whose end is recorded; their plans are not needed any more.
    std::vector<std::string> endedInBatch;
    std::set<std::string> dirty; // Jobs whose record is behind.
    Millis recordBy { noRecord }; // When what is dirty has to be recorded.
    static constexpr Millis noRecord = std::numeric_limits<Millis>::max();
    std::vector<std::pair<std::string, RunRef>> startsToRecord; // Worker and run.
    std::int64_t batchNumber { 0 };
    bool batchUnderWay { false };
    Millis batchMadeAt { 0 };
    std::vector<std::pair<std::string, RunRef>> startsInBatch;
    std::map<Incarnation, std::int64_t> endsInBatch;
    std::vector<StartOrder> startOrders;
    std::map<StepKey, StepAdvice> advice; // Of steps whose queue has a policy.
    std::vector<AdviceOrder> adviceOrders;
    int adviceUnderWay { 0 };
    std::int64_t advicePass { 1 }; // Each step has its question once in a pass.
    bool isAdviceLeft { false }; // A step had none in this round.
    std::vector<PlanEvent> events;
    std::map<PlanEventKind, std::size_t> eventCounts; // In `events`.
    std::int64_t unitsDone { 0 }; // Since the last such event.
    std::map<StepKey, std::int64_t> tasksPlaced; // Likewise.
    bool isDeposed { false };
    struct DuePoll {
        Millis turn { 0 }; // The lowest goes first.
        std::string worker; // Its id.
        bool beside { false };
    };
    std::vector<DuePoll> duePolls; // More than were sent at once; the next one is the last.
    Millis idlePollsFrom { 0 }; // None at idle workers before then, unless something waits for room.
    struct Demanded {
        double accelerators { 0 };
        Millis at { 0 };
    };
    std::map<std::string, Demanded> urgentDemanded; // By service; the highest of late.
    Round round;
    RoundPacer pacer;
};

} // namespace rattan::tasks
