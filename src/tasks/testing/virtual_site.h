#pragma once

// Workers, a log and a network in virtual time, for tests of a TaskPlanner: with
// delays, lost and late orders, cut and restarted workers, and planners that die
// and are followed. The same seed gives the same course.
//
// What must always hold is checked here by what the workers do, not by what the
// planner believes: no worker over its room, no task twice at a time or again
// after its end was acknowledged, no step before those that it depends on, no
// task begun again after its last attempt or for long after three workers have
// crashed under it, no job shown as failed without cause, no work left lying beside
// idle workers (see lost_work_judge.h; judged only where no fault is near).

#include "tasks/task_planner.h"
#include "tasks/testing/lost_work_judge.h"

#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rattan::tasks::testing {

struct SiteOptions {
    std::uint64_t seed { 1 };
    int workers { 12 };
    Millis lease { 6000 };
    Millis stopTime { 200 };
    Millis gangTimeout { 3000 };
    double lostOrders { 0 }; // Share that is not carried out and not answered.
    double lostAnswers { 0 }; // Share that is carried out and not answered.
    double lateOrders { 0 }; // Share that is carried out 2 to 12 s later and not answered.
    double failures { 0.02 }; // Share of runs that fail.
    double lostAdvice { 0 }; // Share of questions to the advice service without an answer.
    int racks { 0 }; // Workers are spread over so many; 0: four in each.
    bool uneven { false }; // All tasks but the first of a step have a quarter of its work.
};

class VirtualSite {
public:
    explicit VirtualSite(SiteOptions options)
        : random(options.seed)
        , options(options)
    {
        for (int i = 0; i < options.workers; ++i)
            this->addWorker(fmt::format("w{:02}", i));
        this->catalog = std::make_shared<Catalog>();
        auto text = std::make_shared<Catalog>();
        text->workspaces.push_back({ "a", 24 });
        text->workspaces.push_back({ "b", 16 });
        this->catalog = text;
    }

    Millis now { 1000 };
    std::vector<std::string> broken; // What must hold and did not.
    std::string traced; // A job whose orders are told in `trace`.
    std::vector<std::string> trace;
    std::vector<PlanEvent> planEvents; // All that planners told for the log.
    std::unique_ptr<TaskPlanner> planner;
    JobTable table;
    PlanTable plans;

    // A planner of a later term takes over.
    void newPlanner();

    void killPlanner();

    void submit(Job job);

    void cancel(const std::string& id);

    void cut(const std::string& id, bool isCut) { this->workers.at(id).cut = isCut; }
    void cutDomain(const std::string& domain, bool isCut);
    void stall(const std::string& id, bool stalls);

    // Starts are sent this much after they were decided, as those are that wait behind others.
    void delayStarts(Millis wait) { this->startsWait = wait; }

    // The next start is carried out this much later, by whatever is there then, and not answered.
    void delayNextStart(Millis wait) { this->nextStartLate = wait; }

    // The connection of the next start breaks. It is sent again at once, and carried out this
    // much later as well, by whatever is there then.
    void repeatNextStart(Millis wait) { this->nextStartTwice = wait; }

    // So many of the next starts do not leave the planner's instance.
    void keepBack(int starts) { this->startsKeptBack = starts; }

    // A call of the planner before, which has not heard yet that another follows it,
    // renews the lease of a worker that the other one has not reached.
    void renewByEarlierPlanner(const std::string& id) { this->workers.at(id).leaseUntil = this->now + this->options.lease; }

    void loseAnswers(double share) { this->options.lostAnswers = share; }
    void failAll(const std::string& id, bool fails) { this->workers.at(id).failsAll = fails; }
    void leave(const std::string& id);

    // It leaves, and is gone soon after.
    void depart(const std::string& id);

    // This share of orders is carried out 2 to 12 s later and not answered.
    void carryLate(double share) { this->options.lateOrders = share; }

    // The worker crashes and comes back under its id, running nothing.
    void restart(const std::string& id);

    // The worker crashes; some seconds later another one is there at its address.
    void crash(const std::string& id);

    // The first task of this job crashes each worker that starts it, this long after its start.
    void crashesWorkers(const std::string& job, Millis after) { this->crashing[job] = after; }

    // Workers that crashed under the first task of a job.
    std::int64_t crashesUnder(const std::string& job) const;

    // The capacity of a worker changes; its entry in the list shows it half a second later.
    void resize(const std::string& id, Resources capacity);

    // The planner has its turn this rarely, as on a machine with too little processor time.
    void planEvery(Millis gap) { this->turnGap = gap; }

    // It has none before then.
    void holdPlanner(Millis until) { this->nextTurn = until; }

    // Records become durable this much later.
    void delayRecords(Millis wait) { this->recordsWait = wait; }

    // What a caller does who counts the time of rounds: none of all units is held for three
    // times as long as the last one took.
    void roundsTake(Millis time) { this->roundTime = time; }

    // Polls that a turn leaves over go out before the next one.
    void pollBetweenTurns() { this->pollsBetweenTurns = true; }

    void run(Millis until);

    // Runs until every job is over, at most until then.
    bool runUntilOver(Millis until);

    bool allOver() const;

    JobState stateOf(const std::string& id) const;

    std::int64_t runsOf(const std::string& id) const;

    // The worker that runs a task of a job's first step; empty: none.
    std::string hostOf(const std::string& job, std::int64_t index) const;

    bool isBusy(const std::string& id) const { return !this->workers.at(id).running.empty(); }

    std::int64_t countEnds(RunEnd end) const;

    std::int64_t refusedTickets { 0 }; // Starts without the ticket that they need.
    std::int64_t adviceAsked { 0 }; // Workers named in questions.

    std::mt19937_64 random;

private:
    static constexpr Millis stepMillis = 5;

    struct Run {
        Millis startedAt { 0 };
        Millis left { 0 }; // Of its work.
        Millis total { 1 };
        std::string checkpoint;
        std::int64_t members { 1 };
        Millis waitingSince { 0 };
        Millis stopAt { 0 };
        bool fails { false };
        Resources room;
    };

    struct Worker {
        Millis born { 1 };
        Resources capacity { 128000, 512000, 8 };
        std::string rack;
        std::int64_t token { 0 };
        std::map<RunRef, Run> running;
        std::map<TaskRef, std::int64_t> ceilings; // Runs up to this one are refused.
        std::vector<EndedTask> ended;
        std::int64_t endNumber { 0 };
        std::set<std::int64_t> lapsedEnds; // Its lease ran out before they were acknowledged: nobody has to know of them.
        int failuresInARow { 0 };
        bool hasStalled { false };
        Millis leaseUntil { 0 };
        bool cut { false };
        bool stalls { false };
        bool failsAll { false };
        bool leaving { false };
        bool crashed { false };
        bool replaced { false }; // Another worker is there at its address.
        bool listed { true };
        std::vector<std::pair<Millis, Resources>> formerCapacities; // And when each was replaced.
    };

    void addWorker(const std::string& id);
    void addWorker(const std::string& id, const std::string& rack);
    void loseRuns(Worker&, const std::string& id);

    std::vector<WorkerDescription> sightings() const;

    void relist();

    void at(Millis when, std::function<void()> event) { this->events.emplace(when, std::move(event)); }

    double chance() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    Millis between(Millis low, Millis high) { return std::uniform_int_distribution<Millis>(low, high)(this->random); }

    void write(const std::string& key, const std::string& value) { this->table.apply(key, value, this->offset++, this->now); }

    void advance();
    void plan();
    void pollLeftOver();

    void record(const RecordBatch& batch);

    // Carries an order to a worker and its answer back, as well as the network does.
    template <typename Carry, typename Answer>
    void send(const std::string& id, Carry carry, Answer answer);

    void start(const StartOrder& order);
    void sendStart(const StartOrder& order);

    void tell(const RunRef& run, const std::string& worker, const char* what);

    StartAnswer carryStart(const StartOrder& order, std::int64_t term, Millis until);

    const Step& stepOf(const TaskRef& task) const { return this->jobs.at(task.job).steps[static_cast<std::size_t>(task.step)]; }

    void judgeStart(const StartOrder& order, const Worker& worker);
    void judgeRoom(const StartOrder& order, const Worker& worker);
    void judgeFailed(const std::string& job);

    // Lost work: see virtual_site_calm.cc.
    bool isDisturbed() const;
    void disturb() { this->disturbedAt = this->now; }
    void judgeLostWork();
    LostWorkJudge::View viewOfWork() const;
    bool hasFailedForGood(const std::string& job) const;
    void noteListed(const WorkerReport&);

    void breach(const std::string& what, const StartOrder& order);

    void stop(const StopOrder& order);

    void poll(const PollOrder& order);

    // The policy of every queue that has one: workers of even number may run its steps.
    void advise(const AdviceOrder& order);
    std::string ticketOf(const StepKey& step, const std::string& worker) const;

    std::optional<WorkerReport> carryPoll(const PollOrder& order, std::int64_t term, Millis until);

    void acknowledge(Worker& worker, std::int64_t through);

    std::int64_t present(const RunRef& run) const;

    bool allThrough(const RunRef& run) const;

    void work(const std::string& id, Worker& worker);

    void finish(const std::string& id, Worker& worker, const RunRef& ref, RunEnd end);
    void noteFailures(Worker& worker, const std::string& id, const RunRef& ref, RunEnd end);

    SiteOptions options;
    Millis startsWait { 0 };
    Millis nextStartLate { 0 };
    Millis nextStartTwice { 0 };
    Millis recordsWait { 0 };
    Millis turnGap { 0 };
    Millis nextTurn { 0 };
    Millis roundTime { 0 };
    bool pollsBetweenTurns { false };
    int startsKeptBack { 0 };
    std::map<std::string, Millis> crashing; // Jobs whose first task crashes its worker, and how long after its start.
    std::map<TaskRef, std::int64_t> crashes; // Workers that crashed under a task.
    std::map<TaskRef, std::int64_t> startsAfterCrashes; // After the third.
    std::map<UnitKey, std::set<std::int64_t>> failedRuns;
    std::map<UnitKey, std::set<std::string>> failedOn; // Workers.
    std::set<TaskRef> doneListed; // In an answer that a planner got.
    std::set<std::string> cancelled;
    Millis disturbedAt { 0 };
    LostWorkJudge lostWork;
    std::shared_ptr<const Catalog> catalog;
    std::map<std::string, Worker> workers;
    std::map<std::string, Job> jobs;
    std::multimap<Millis, std::function<void()>> events;
    std::int64_t offset { 0 };
    std::int64_t term { 0 };
    int generation { 0 }; // Counts planners, so that none gets another's answers.
    std::map<std::string, std::int64_t> starts;
    std::map<RunEnd, std::int64_t> ends;
    std::set<TaskRef> done;
    std::set<TaskRef> doneAndNoted;
    std::map<TaskRef, std::set<std::int64_t>> failedNoted;
    std::map<std::tuple<std::string, std::int64_t, std::int64_t, std::int64_t>, bool> gone; // Gang runs of which a member ended: done or not.
};

} // namespace rattan::tasks::testing
