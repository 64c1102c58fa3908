// Tasks that run until their job is cancelled. These tests simulate the workers themselves
// because a VirtualSite ends every run.

#include "tasks/task_planner.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>
#include <memory>

using namespace rattan;
using namespace rattan::tasks;

namespace {

constexpr Resources wholeWorker { 10000, 10000, 8 };
constexpr Resources halfWorker { 1000, 1000, 4 };
constexpr Resources oneAccelerator { 1000, 1000, 1 };

Job createJob(const std::string& id, std::int64_t count, Resources each, Millis time)
{
    Job result;
    result.id = id;
    result.workspace = "a";
    result.terms = { .queue = "q", .service = "s", .priority = 1, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    result.text = "work";
    result.steps.push_back({ .count = count, .perTask = each, .estimate = time });
    return result;
}

Job longRunningJob(const std::string& id, std::int64_t count, Resources each)
{
    Job result = createJob(id, count, each, 1000);
    result.steps.front().longRunning = true;
    return result;
}

// Workers on which every start succeeds, long-running tasks serve at once, and other tasks end
// after their estimate.
class ManualWorkers {
public:
    explicit ManualWorkers(int count)
    {
        for (int i = 0; i < count; ++i) {
            const std::string id = fmt::format("w{}", i);
            this->workers[id];
            this->descriptions.push_back({ .incarnation = { id, 1 }, .address = id, .service = "s", .domain = "d", .rack = "r", .labels = {}, .capacity = wholeWorker });
        }
        this->newPlanner();
    }

    // Starts a planner of a later term, which takes over.
    void newPlanner()
    {
        this->planner = std::make_unique<TaskPlanner>(PlannerOptions {}, this->table, this->plans, this->now, this->now);
        this->planner->applyCatalog(std::make_shared<Catalog>());
        this->planner->workersListed(this->descriptions, this->now);
    }

    void submit(const Job& submitted)
    {
        this->table.apply(formatKey({ RecordKind::Job, submitted.id }), encodeJob(submitted), ++this->offset, this->now);
        this->planner->jobAccepted(this->table.find(submitted.id)->job, this->now, this->now);
    }

    void cancel(const std::string& id) { this->planner->jobCancelled(id, this->now); }

    void run(Millis time)
    {
        for (const Millis until = this->now + time; this->now < until; this->now += turnInterval) {
            this->planner->step(this->now, this->now);
            const Orders orders = this->planner->takeOrders(this->now);
            for (const StartOrder& order : orders.starts)
                this->start(order);
            for (const StopOrder& order : orders.stops)
                this->stop(order);
            for (const PollOrder& order : orders.polls)
                this->poll(order);
            for (const RecordBatch& batch : orders.batches)
                this->store(batch);
        }
    }

    std::int64_t runsOf(const std::string& id) const
    {
        const auto found = this->starts.find(id);
        return found == this->starts.end() ? 0 : found->second;
    }

    std::string hostOf(const std::string& id) const
    {
        for (const auto& [worker, state] : this->workers) {
            for (const auto& [run, startedAt] : state.running) {
                if (run.task.job == id)
                    return worker;
            }
        }
        return "";
    }

    void failAll(bool fails) { this->failsAll = fails; }

    // Long-running tasks end as done after this time; 0: they do not end by themselves.
    void endServingAfter(Millis time) { this->servingTime = time; }

    // The longest time for which no run of the job was on a worker since its first start.
    Millis longestGapOf(const std::string& id) const
    {
        const auto found = this->longestGaps.find(id);
        return found == this->longestGaps.end() ? 0 : found->second;
    }

    // Writes a record of the job's progress, as by an earlier planner.
    void writeProgress(const std::string& id, const Progress& progress) { this->plans.apply(formatKey({ RecordKind::Progress, id }), encodeProgress(progress), ++this->offset); }

    JobState stateOf(const std::string& id) const { return this->table.find(id)->visibleState(); }

    // The ends that the workers still hold because they have not been acknowledged.
    std::size_t unacknowledgedEnds() const
    {
        std::size_t count = 0;
        for (const auto& [id, worker] : this->workers)
            count += worker.ended.size();
        return count;
    }

    std::int64_t lastRunOf(const std::string& id) const { return this->lastRuns.at(id); }

private:
    static constexpr Millis turnInterval = 10;

    struct Worker {
        std::map<RunRef, Millis> running; // With the time at which each started.
        std::vector<EndedTask> ended;
        std::int64_t lastEndNumber { 0 };
    };

    void store(const RecordBatch& batch)
    {
        for (const auto& [key, value] : batch.jobs)
            this->table.apply(key, value, ++this->offset, this->now);
        for (const auto& [key, value] : batch.plans)
            this->plans.apply(key, value, ++this->offset);
        this->planner->batchRecorded(batch.number, this->now);
    }

    void start(const StartOrder& order)
    {
        const std::string& job = order.run.task.job;
        ++this->starts[job];
        this->lastRuns[job] = std::max(this->lastRuns[job], order.run.run);
        if (const auto ended = this->endTimes.find(job); ended != this->endTimes.end() && this->hostOf(job).empty())
            this->longestGaps[job] = std::max(this->longestGaps[job], this->now - ended->second);
        this->workers.at(order.worker.id).running.emplace(order.run, this->now);
        this->planner->startAnswered(order.worker, order.run, StartAnswer::Started, this->now);
    }

    void stop(const StopOrder& order)
    {
        Worker& worker = this->workers.at(order.worker.id);
        if (worker.running.erase(order.run) > 0)
            worker.ended.push_back({ ++worker.lastEndNumber, order.run, RunEnd::Stopped, "" });
        this->planner->stopAnswered(order.worker, order.run, true, this->now);
    }

    void poll(const PollOrder& order)
    {
        Worker& worker = this->workers.at(order.worker.id);
        std::erase_if(worker.ended, [&](const EndedTask& end) { return end.number <= order.acknowledged; });
        WorkerReport report { .born = 1 };
        for (auto next = worker.running.begin(); next != worker.running.end();) {
            const auto current = next++;
            const RunRef run = current->first;
            const Step& step = this->table.find(run.task.job)->job->steps.front();
            const Millis elapsed = this->now - current->second;
            const bool endsNow = step.longRunning ? this->servingTime > 0 && elapsed >= this->servingTime : elapsed >= step.estimate;
            if (!endsNow) {
                report.running.push_back({ run, "", step.longRunning ? 100 : elapsed * 100 / step.estimate });
                continue;
            }
            this->endTimes[run.task.job] = this->now;
            worker.ended.push_back({ ++worker.lastEndNumber, run, this->failsAll ? RunEnd::Failed : RunEnd::Done, "" });
            worker.running.erase(current);
        }
        report.ended = worker.ended;
        this->planner->pollAnswered(order.worker, this->now, order.concurrent, report, this->now);
    }

    Millis now { 1000 };
    JobTable table;
    PlanTable plans;
    std::unique_ptr<TaskPlanner> planner;
    std::vector<WorkerDescription> descriptions;
    std::map<std::string, Worker> workers;
    std::map<std::string, std::int64_t> starts;
    std::map<std::string, std::int64_t> lastRuns; // The highest run number of each job.
    std::map<std::string, Millis> endTimes; // When a run of each job last ended by itself.
    std::map<std::string, Millis> longestGaps;
    std::int64_t offset { 0 };
    bool failsAll { false };
    Millis servingTime { 0 };
};

class LongRunningTasksTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LongRunningTasksTest);
    CPPUNIT_TEST(capacityBesideALongRunIsNotReserved);
    CPPUNIT_TEST(servingRunEndsProbingOfAWorker);
    CPPUNIT_TEST(servingTaskThatEndsIsRestarted);
    CPPUNIT_TEST(servingGangThatEndsIsRestarted);
    CPPUNIT_TEST(servingTaskThatEndsAtOnceIsRestartedAtABoundedRate);
    CPPUNIT_TEST(endOfServingTaskSurvivesTakeover);
    CPPUNIT_TEST(servingTaskThatIsRecordedAsDoneIsRestarted);
    CPPUNIT_TEST(cancelledServingTaskIsNotRestarted);
    CPPUNIT_TEST(endOfCancelledTaskIsAcknowledged);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against capacity that stays free because a task waits for the end of a run that does
    // not end.
    void capacityBesideALongRunIsNotReserved()
    {
        ManualWorkers workers(1);
        workers.submit(longRunningJob("serving", 1, halfWorker));
        workers.run(3000);
        workers.submit(createJob("large", 1, wholeWorker, 1000));
        workers.run(1000);
        workers.submit(createJob("small", 4, oneAccelerator, 1000));
        workers.run(4000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, workers.runsOf("small"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, workers.runsOf("large"));
    }

    // Guards against a worker that gets no more tasks because its probing run does not end.
    void servingRunEndsProbingOfAWorker()
    {
        ManualWorkers workers(1);
        workers.failAll(true);
        workers.submit(createJob("bad", 1, oneAccelerator, 400));
        workers.run(1500);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, workers.runsOf("bad"));
        workers.failAll(false);
        workers.cancel("bad");
        workers.run(500);
        workers.submit(longRunningJob("serving", 1, halfWorker));
        workers.run(6000);
        workers.submit(createJob("good", 2, oneAccelerator, 1000));
        workers.run(4000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, workers.runsOf("serving"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, workers.runsOf("good"));
    }

    // Guards against a long-running task that counts as completed because it ended by itself.
    void servingTaskThatEndsIsRestarted()
    {
        ManualWorkers workers(2);
        workers.endServingAfter(5000);
        workers.submit(longRunningJob("serving", 2, halfWorker));
        workers.run(18000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 8 }, workers.runsOf("serving"));
        CPPUNIT_ASSERT(workers.longestGapOf("serving") < 1000);
        CPPUNIT_ASSERT(workers.stateOf("serving") == JobState::Running);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, workers.unacknowledgedEnds());
    }

    // Guards against a long-running gang of which one member's end counts as the end of its job.
    void servingGangThatEndsIsRestarted()
    {
        ManualWorkers workers(2);
        workers.endServingAfter(5000);
        Job gang = longRunningJob("serving", 3, halfWorker);
        gang.steps.front().gang = true;
        workers.submit(gang);
        workers.run(7000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 6 }, workers.runsOf("serving"));
        CPPUNIT_ASSERT(workers.longestGapOf("serving") < 1000);
        CPPUNIT_ASSERT(workers.stateOf("serving") == JobState::Running);
    }

    // Guards against starts without pause, and against a pause that leaves the job without a run for three seconds.
    void servingTaskThatEndsAtOnceIsRestartedAtABoundedRate()
    {
        ManualWorkers workers(2);
        workers.endServingAfter(20);
        workers.submit(longRunningJob("serving", 1, halfWorker));
        workers.run(20000);
        CPPUNIT_ASSERT(workers.runsOf("serving") >= 20);
        CPPUNIT_ASSERT(workers.runsOf("serving") <= 30);
        CPPUNIT_ASSERT(workers.longestGapOf("serving") < 1500);
    }

    // Guards against a takeover after which an ended long-running task is not restarted, or begins its run numbers anew.
    void endOfServingTaskSurvivesTakeover()
    {
        for (Millis takeoverAt = 4900; takeoverAt <= 5200; takeoverAt += 10) {
            ManualWorkers workers(2);
            workers.endServingAfter(5000);
            workers.submit(longRunningJob("serving", 1, halfWorker));
            workers.run(takeoverAt);
            workers.newPlanner();
            workers.run(2000);
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, workers.runsOf("serving"));
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, workers.lastRunOf("serving"));
        }
    }

    // Guards against a long-running task that is never restarted because an earlier version recorded it as done, and
    // against a number of its next run that workers refuse.
    void servingTaskThatIsRecordedAsDoneIsRestarted()
    {
        ManualWorkers workers(2);
        workers.submit(longRunningJob("serving", 2, halfWorker));
        workers.writeProgress("serving", { .state = JobState::Running, .started = true, .units = { { .index = 0, .state = UnitState::Done } } });
        workers.newPlanner();
        workers.run(2000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, workers.runsOf("serving"));
        CPPUNIT_ASSERT(workers.lastRunOf("serving") > 1000);
    }

    // Guards against a long-running task that is restarted after its job was cancelled.
    void cancelledServingTaskIsNotRestarted()
    {
        ManualWorkers workers(1);
        workers.endServingAfter(5000);
        workers.submit(longRunningJob("serving", 1, halfWorker));
        workers.run(4990);
        workers.cancel("serving");
        workers.run(5000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, workers.runsOf("serving"));
        CPPUNIT_ASSERT(workers.stateOf("serving") == JobState::Cancelled);
    }

    // Guards against an end that an idle worker lists for good, because no record had to be written for it.
    void endOfCancelledTaskIsAcknowledged()
    {
        ManualWorkers workers(1);
        workers.submit(longRunningJob("serving", 1, halfWorker));
        workers.run(3000);
        workers.cancel("serving");
        workers.run(5000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, workers.unacknowledgedEnds());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongRunningTasksTest);

} // namespace
