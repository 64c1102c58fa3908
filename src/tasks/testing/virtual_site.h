#pragma once

// Simulates workers, a log and a network in virtual time, for tests of a TaskPlanner: with
// delays, lost and late orders, network partitions, worker restarts, and planners that are
// killed and replaced. The same seed produces the same sequence of events.
//
// The invariants are checked here against what the workers do, not against the planner's view:
// a worker does not exceed its capacity; a task does not run twice at a time, or again after
// its end was acknowledged; no step starts before those that it depends on; no task is started
// after its last attempt, or, if it crashes the workers that start it, three more times after three
// of them; no job is shown as failed without cause; no work waits beside idle workers (see lost_work_detector.h;
// checked only while no fault is active or recent).

#include "tasks/admission.h"
#include "tasks/task_planner.h"
#include "tasks/testing/lost_work_detector.h"

#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rattan::tasks::testing {

struct SiteOptions {
    std::uint64_t seed { 1 };
    int workers { 12 };
    Resources workerCapacity { 128000, 512000, 8 };
    Millis lease { 6000 };
    Millis maxStopTime { 200 };
    Millis gangTimeout { 3000 };
    double lostOrders { 0 }; // Share that is neither executed nor answered.
    double lostAnswers { 0 }; // Share that is executed but not answered.
    double lateOrders { 0 }; // Share that is executed 2 to 12 s later and not answered.
    double failures { 0.02 }; // Share of runs that fail.
    double lostAdvice { 0 }; // Share of requests to the advice service that are not answered.
    int racks { 0 }; // The number of racks that workers are spread over; 0: four workers in each rack.
    std::vector<double> speeds; // Of the workers in turn; all have 1 if empty.
    double workSpread { 0 }; // The standard deviation of the logarithm of a task's work.
    double longTasks { 0 }; // Share of tasks with seven times the work.
    bool checkLostWorkAtAnyLoad { false }; // Instead of only while less than half of all accelerators are in use.
    bool checkLostWorkStrictly { false }; // At any load, by what units need without their preferences, from 4 s after the last fault.
    bool uneven { false }; // Every task of a step except the first has a quarter of the first one's work.
    bool longPolls { false }; // Workers hold waiting polls until a run ends; otherwise each is answered after 100 ms.
    std::size_t maxRecordBytes { 262144 }; // A batch with a larger record is refused for good.
    std::size_t maxEndsPerReport { 500 }; // Further ends are listed once these are acknowledged.
    int workersOfSecondService { 0 }; // The last ones; they belong to service "t" and all others to "s".
    Millis calmAfterFault { 0 }; // Lost work is checked from this time after the last fault; 0: one lease and a second.
};

// Faults of single calls to workers.
enum class CallKind {
    Start,
    Stop,
    Poll,
};

enum class CallFate {
    Lost, // Neither executed nor answered.
    AnswerLost, // Executed but not answered.
    Late, // Executed later, by the worker that has the address at that time, and not answered.
};

struct CallFault {
    CallKind kind { CallKind::Start };
    CallFate fate { CallFate::Lost };
    int count { 1 }; // The number of calls concerned.
    Millis delay { 0 }; // Of a late call.
    std::string worker; // Only calls to this worker, or empty.
};

class VirtualSite {
public:
    explicit VirtualSite(const SiteOptions& options)
        : random(options.seed)
        , options(options)
    {
        for (int i = 0; i < options.workers; ++i)
            this->addWorker(fmt::format("w{:02}", i));
        this->catalog = std::make_shared<Catalog>();
        auto entries = std::make_shared<Catalog>();
        entries->workspaces.push_back({ "a", 24 });
        entries->workspaces.push_back({ "b", 16 });
        this->catalog = this->planningCatalog = entries;
    }

    Millis now { 1000 };
    std::vector<std::string> violations; // Descriptions of violated invariants.
    std::string tracedJob; // The id of a job whose orders and runs are recorded in `trace`.
    std::vector<std::string> trace;
    std::vector<PlanEvent> planEvents; // All log events that planners have produced.
    struct LoadRecord {
        Millis at { 0 };
        std::string queue;
        std::optional<QueueLoad> load; // None if the excess has ended.
    };
    std::vector<LoadRecord> loadRecords; // All records of overloaded queues.
    std::unique_ptr<TaskPlanner> planner;
    JobTable table;
    PlanTable plans;

    // Starts a planner of a later term, which takes over.
    void newPlanner();

    void killPlanner();

    void submit(Job job);

    void cancel(const std::string& id);

    // Publishes a configuration that sends the queue to a service, or removes it if that is empty.
    // Jobs that are submitted later are accepted under it. Queues that were never sent keep the
    // terms of each job.
    void sendQueue(const std::string& queue, const std::string& service, std::optional<std::int64_t> priority = std::nullopt);

    // Publishes a configuration in which the queue needs no advice.
    void dropPolicy(const std::string& queue);

    // While set, planners get none of the configurations that are published.
    void hideConfigurations(bool hides) { this->hidesConfigurations = hides; }

    void setPartitioned(const std::string& id, bool isPartitioned) { this->workers.at(id).isPartitioned = isPartitioned; }
    void setDomainPartitioned(const std::string& domain, bool isPartitioned);

    // Sets the failure domains that are evacuated.
    void evacuate(const std::set<std::string>& domains);

    // The number of starts that workers of a failure domain executed.
    std::int64_t startsInDomain(const std::string& domain) const;

    void setStalled(const std::string& id, bool isStalled);

    // Starts are sent this much later than they are decided, as if queued behind others.
    void delayStarts(Millis delay) { this->startDelay = delay; }

    // The next start is executed this much later, by the worker that has the address at that
    // time, and is not answered.
    void delayNextStart(Millis delay) { this->nextStartDelay = delay; }

    // The connection of the next start breaks. The start is sent again at once, and is also
    // executed this much later, by the worker that has the address at that time.
    void repeatNextStart(Millis delay) { this->nextStartRepeatDelay = delay; }

    // Answers of the advice service arrive this much later than they are given.
    void delayAdvice(Millis delay) { this->adviceDelay = delay; }

    // The advice service answers no request that it receives meanwhile.
    void setAdviceAway(bool isAway) { this->isAdviceAway = isAway; }

    // Workers reject the tickets of the next `count` starts, as if these had expired.
    void rejectNextTickets(int count) { this->rejectedTickets = count; }

    // The next `count` starts are not sent; the planner receives the answer NotSent for them.
    void suppressNextStarts(int count) { this->suppressedStarts = count; }

    // The next calls of a kind fail.
    void failNextCalls(CallFault fault) { this->callFaults.push_back(std::move(fault)); }
    void clearCallFaults() { this->callFaults.clear(); }

    // An earlier planner, which does not know yet that it has been replaced, renews the lease of
    // a worker that the new planner has not reached.
    void renewByEarlierPlanner(const std::string& id) { this->workers.at(id).leaseEnd = this->now + this->options.lease; }

    void loseAnswers(double share) { this->options.lostAnswers = share; }
    void loseOrders(double share) { this->options.lostOrders = share; }
    void failAll(const std::string& id, bool fails) { this->workers.at(id).failsAll = fails; }
    // The share of the job's runs that fail, instead of SiteOptions::failures.
    void setFailures(const std::string& job, double share) { this->failureShares[job] = share; }
    void leave(const std::string& id);

    // The worker announces that it leaves, and stops soon after.
    void leaveAndStop(const std::string& id);

    // This share of orders is executed 2 to 12 s later and not answered.
    void delayOrders(double share) { this->options.lateOrders = share; }

    // The worker crashes and restarts under the same id without any runs.
    void restart(const std::string& id);

    // The worker crashes, without a successor at its address.
    void removeForGood(const std::string& id);

    // The worker crashes; three seconds later another worker has its address.
    void crash(const std::string& id);

    // The first task of this job crashes every worker that starts it, this long after the start.
    void crashWorkersRunning(const std::string& job, Millis delay) { this->crashDelays[job] = delay; }

    // The number of workers that have crashed while running the first task of a job.
    std::int64_t crashCountOf(const std::string& job) const;

    // Changes the capacity of a worker; the list of workers shows it half a second later.
    void resize(const std::string& id, Resources capacity);

    // Sets the time between turns of the planner, to simulate a machine with too little processor
    // time.
    void setPlannerInterval(Millis interval) { this->plannerInterval = interval; }

    // The planner has no turn before the given time.
    void pausePlanner(Millis until) { this->nextPlannerTurn = until; }

    // The planner has no turn before the given time and receives the answers of the meantime then.
    void freezePlanner(Millis until);

    // The end of the last fault.
    Millis faultEndedAt() const { return this->lastFaultAt; }

    // Records become durable this much later.
    void delayRecords(Millis delay) { this->recordDelay = delay; }

    // Sets the duration that is reported to the planner for each round over all units, as by a
    // caller that measures rounds. The planner begins the next such round only after a pause of
    // three times that duration.
    void setRoundDuration(Millis duration) { this->roundDuration = duration; }

    // The planner's process is suspended for this long in the middle of the next round over all
    // units. The time is part of the round's duration as its caller measures it.
    void suspendNextRound(Millis duration) { this->nextSuspension = duration; }

    // Polls that remain after a turn are sent before the next one.
    void pollBetweenTurns() { this->pollsBetweenTurns = true; }

    void run(Millis until);

    // Runs until every job is finished, but not beyond the given time. Returns whether all are.
    bool runUntilFinished(Millis until);

    bool allFinished() const;

    JobState stateOf(const std::string& id) const;

    // The number of runs started for tasks of the job.
    std::int64_t runsOf(const std::string& id) const;

    // The worker that runs the given task of the job's first step, or empty if none does.
    std::string hostOf(const std::string& job, std::int64_t index) const;

    const std::string& serviceOf(const std::string& worker) const { return this->workers.at(worker).service; }

    // The work of a task, in milliseconds on a worker of speed 1. It is the same for each of its runs.
    double workOf(const TaskRef&) const;

    // Changes the speed of a worker.
    void setSpeed(const std::string& id, double speed) { this->workers.at(id).speed = speed; }

    // When the job was first shown as final, or 0.
    Millis finishedAt(const std::string& id) const;

    bool isBusy(const std::string& id) const { return !this->workers.at(id).running.empty(); }

    std::int64_t countEnds(RunEnd end) const;

    // The number of ends that workers still list.
    std::size_t unacknowledgedEnds() const;

    std::map<std::string, double> workFactors; // By workspace, the ratio of the work to the declared time; 1 if not listed.
    std::int64_t startsWithoutTicket { 0 }; // Starts that lacked a required ticket, or whose ticket had expired.
    std::int64_t startsWhileLeaving { 0 }; // On workers that had announced it.
    std::int64_t adviceRequests { 0 };
    std::int64_t workersInAdviceRequests { 0 }; // Workers listed in all advice requests.

    std::mt19937_64 random;

private:
    static constexpr Millis stepMillis = 5;
    static constexpr Millis maxStartTime = 3500; // A run that is lost later was seen to survive its start: polls are 2 s apart.
    static constexpr std::int64_t minCrashesOfFailedJob = 2; // Crashes in a row after which such a job may fail.

    struct Run {
        Millis startedAt { 0 };
        double remaining { 0 }; // Work that is not done yet.
        double totalWork { 1 };
        std::string checkpoint;
        std::int64_t gangSize { 1 };
        std::size_t gangRun { 0 }; // In gangRuns; used only if gangSize > 1.
        bool isLongRunning { false };
        Millis waitingSince { 0 };
        Millis stopsAt { 0 };
        bool willFail { false };
        Resources resources; // Those that the run uses.
    };

    struct Worker {
        std::string service;
        Millis born { 1 };
        Resources capacity;
        std::string rack;
        double speed { 1 };
        std::int64_t highestTerm { 0 };
        std::map<RunRef, Run> running;
        std::map<TaskRef, std::int64_t> highestRefusedRuns; // By task: this run and earlier ones are refused.
        std::vector<EndedTask> ended;
        std::int64_t lastEndNumber { 0 };
        std::set<std::int64_t> lapsedEnds; // Ends that were not acknowledged before the lease expired; a planner may ignore them.
        int consecutiveFailures { 0 };
        bool wasStalled { false };
        Millis leaseEnd { 0 };
        bool isPartitioned { false };
        bool isStalled { false };
        bool failsAll { false };
        bool leaving { false };
        bool crashed { false };
        bool replaced { false }; // Another worker has its address.
        bool listed { true };
        std::vector<std::pair<Millis, Resources>> formerCapacities; // With the time at which each was replaced.
    };

    void addWorker(const std::string& id);
    void addWorker(const std::string& id, const std::string& rack, const std::string& service);
    void dropRuns(Worker&, const std::string& id);

    std::vector<WorkerDescription> workerDescriptions() const;

    void publishWorkers();

    void schedule(Millis when, std::function<void()> event) { this->events.emplace(when, std::move(event)); }

    double randomShare() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    Millis randomBetween(Millis low, Millis high) { return std::uniform_int_distribution<Millis>(low, high)(this->random); }

    void write(const std::string& key, const std::string& value) { this->table.apply(key, value, this->offset++, this->now); }

    void advance();
    void runPlanner();
    void sendDueOrders();

    void storeRecords(const RecordBatch& batch);

    // Sends an order to a worker and the answer back, with the delays and losses of the simulated
    // network.
    template <typename Execute, typename Answer>
    void send(const std::string& id, CallKind kind, Millis timeout, Execute execute, Answer answer);

    // Removes the fault that applies to this call, if there is one.
    std::optional<CallFault> takeCallFault(CallKind kind, const std::string& worker);

    // Calls a function of the current planner, later if the planner is frozen then or not at all if
    // it was replaced.
    void deliver(Millis when, int generation, std::function<void()> report);

    void start(const StartOrder& order);
    void sendStart(const StartOrder& order);

    void traceRun(const RunRef& run, const std::string& worker, const char* what);

    StartAnswer executeStart(const StartOrder& order, std::int64_t term, Millis until);

    const Step& stepOf(const TaskRef& task) const { return this->jobs.at(task.job).steps[static_cast<std::size_t>(task.step)]; }

    void checkStart(const StartOrder& order, const Worker& worker);
    void checkCapacity(const StartOrder& order, const Worker& worker);
    void checkFailedJob(const std::string& job);

    // The check for lost work: see virtual_site_lost_work.cc.
    bool hasActiveFault() const;
    void recordFault() { this->lastFaultAt = this->now; }
    void checkLostWork();
    LostWorkDetector::View detectorView() const;
    bool hasExhaustedAttempts(const std::string& job) const;
    void recordReportedEnds(const WorkerReport&);

    void reportViolation(const std::string& what, const StartOrder& order);

    void stop(const StopOrder& order);

    void poll(const PollOrder& order);
    void reportPoll(const PollOrder& order, Millis sentAt, const std::optional<WorkerReport>& report);
    void sendLongPoll(const PollOrder& order);

    // A poll that the worker holds.
    struct HeldPoll {
        PollOrder order;
        Millis sentAt { 0 };
        std::int64_t term { 0 };
        Millis born { 0 }; // Of the worker.
        int generation { 0 };
        bool answerIsLost { false };
    };
    void holdPoll(const HeldPoll& held);

    // Answers for the policy of every queue that has one: workers with an even number may run its
    // steps. The service handles one request at a time.
    void answerAdvice(const AdviceOrder& order);
    std::vector<AllowedWorker> issueTickets(const AdviceOrder& order);
    bool isTicketValid(const StartOrder& order) const;

    struct Ticket {
        StepKey step;
        Incarnation worker;
        Millis until { 0 };
    };

    std::optional<WorkerReport> executePoll(const PollOrder& order, std::int64_t term, Millis until);

    void acknowledge(Worker& worker, std::int64_t lastAcknowledged);

    // One run of a gang.
    struct GangRun {
        std::int64_t running { 0 };
        std::int64_t finished { 0 }; // Running members without remaining work.
    };
    std::size_t gangRunOf(const RunRef& run);
    void joinGangRun(const RunRef& ref, Run& run);
    void clearRuns(Worker& worker);
    void removeRun(Worker& worker, const RunRef& ref);

    void advanceWorker(const std::string& id, Worker& worker);

    void finishRun(const std::string& id, Worker& worker, const RunRef& ref, RunEnd end);
    void recordFailure(Worker& worker, const std::string& id, const RunRef& ref, RunEnd end);

    SiteOptions options;
    Millis startDelay { 0 };
    Millis nextStartDelay { 0 };
    Millis nextStartRepeatDelay { 0 };
    Millis recordDelay { 0 };
    Millis adviceDelay { 0 };
    bool isAdviceAway { false };
    Millis adviceBusyUntil { 0 };
    int rejectedTickets { 0 };
    std::map<std::string, Ticket> tickets; // By their text.
    Millis plannerInterval { 0 };
    Millis nextPlannerTurn { 0 };
    Millis roundDuration { 0 };
    Millis nextSuspension { 0 };
    bool pollsBetweenTurns { false };
    int suppressedStarts { 0 };
    std::vector<CallFault> callFaults;
    Millis frozenUntil { 0 };
    std::map<std::string, double> failureShares; // By job.
    std::map<TaskRef, Millis> lastRunEndedAt; // Of long-running tasks.
    std::vector<GangRun> gangRuns;
    std::map<RunRef, std::size_t> gangRunNumbers; // By the run of the first member.
    std::map<std::string, Millis> crashDelays; // Time after the start at which a job's first task crashes its worker.
    std::map<TaskRef, std::int64_t> crashes; // Number of workers that crashed while running a task.
    std::map<TaskRef, std::int64_t> crashesAtStart; // Crashes in a row, each soon after a start.
    std::set<std::string> mayHaveFailedByCrashes; // Jobs with enough of these at a task.
    std::map<TaskRef, std::int64_t> startsAfterCrashes; // Number of starts after the third crash.
    std::map<UnitKey, std::set<std::int64_t>> failedRuns;
    std::map<UnitKey, std::set<std::string>> failedOn; // Ids of workers.
    std::set<TaskRef> reportedDone; // Tasks whose successful end a planner has received.
    std::set<std::string> cancelled;
    Millis lastFaultAt { 0 };
    LostWorkDetector lostWorkDetector;
    std::shared_ptr<const Catalog> catalog;
    std::shared_ptr<const Catalog> planningCatalog; // The one that planners get.
    bool hidesConfigurations { false };
    std::map<std::string, std::set<std::string>> servicesOfQueue; // All that it was ever sent to.
    std::map<std::string, Worker> workers;
    std::map<std::string, Job> jobs;
    std::map<std::string, Millis> finishTimes;
    std::multimap<Millis, std::function<void()>> events;
    std::int64_t offset { 0 };
    std::int64_t term { 0 };
    int plannerGeneration { 0 }; // Incremented for each planner, so that no planner receives another's answers.
    std::map<std::string, std::int64_t> startCounts;
    std::map<std::string, std::int64_t> startCountsByDomain;
    EvacuatedDomains evacuatedDomains;
    std::int64_t evacuationOffset { 0 };
    std::map<RunEnd, std::int64_t> endCounts;
    std::set<TaskRef> done;
    std::set<TaskRef> acknowledgedDone;
    std::map<TaskRef, std::set<std::int64_t>> acknowledgedFailures;
    std::map<std::tuple<std::string, std::int64_t, std::int64_t, std::int64_t>, bool> endedGangs; // Gang runs of which a member ended; true if it completed.
};

} // namespace rattan::tasks::testing
