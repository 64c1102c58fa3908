// Tasks that run until their job is cancelled. These tests simulate the workers themselves
// because a VirtualSite ends every run.

#include "tasks/task_planner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>

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
        : planner({}, table, plans, now, now)
    {
        std::vector<WorkerDescription> descriptions;
        for (int i = 0; i < count; ++i) {
            const std::string id = fmt::format("w{}", i);
            this->workers[id];
            descriptions.push_back({ .incarnation = { id, 1 }, .address = id, .service = "s", .domain = "d", .rack = "r", .labels = {}, .capacity = wholeWorker });
        }
        this->planner.applyCatalog(std::make_shared<Catalog>());
        this->planner.workersListed(descriptions, this->now);
    }

    void submit(const Job& submitted)
    {
        this->table.apply(formatKey({ RecordKind::Job, submitted.id }), encodeJob(submitted), ++this->offset, this->now);
        this->planner.jobAccepted(this->table.find(submitted.id)->job, this->now, this->now);
    }

    void cancel(const std::string& id) { this->planner.jobCancelled(id, this->now); }

    void run(Millis time)
    {
        for (const Millis until = this->now + time; this->now < until; this->now += turnInterval) {
            this->planner.step(this->now, this->now);
            const Orders orders = this->planner.takeOrders(this->now);
            for (const StartOrder& order : orders.starts)
                this->start(order);
            for (const StopOrder& order : orders.stops)
                this->stop(order);
            for (const PollOrder& order : orders.polls)
                this->poll(order);
            for (const RecordBatch& batch : orders.batches)
                this->planner.batchRecorded(batch.number, this->now);
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

private:
    static constexpr Millis turnInterval = 10;

    struct Worker {
        std::map<RunRef, Millis> running; // With the time at which each started.
        std::vector<EndedTask> ended;
        std::int64_t lastEndNumber { 0 };
    };

    void start(const StartOrder& order)
    {
        ++this->starts[order.run.task.job];
        this->workers.at(order.worker.id).running.emplace(order.run, this->now);
        this->planner.startAnswered(order.worker, order.run, StartAnswer::Started, this->now);
    }

    void stop(const StopOrder& order)
    {
        Worker& worker = this->workers.at(order.worker.id);
        if (worker.running.erase(order.run) > 0)
            worker.ended.push_back({ ++worker.lastEndNumber, order.run, RunEnd::Stopped, "" });
        this->planner.stopAnswered(order.worker, order.run, true, this->now);
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
            if (step.longRunning || elapsed < step.estimate) {
                report.running.push_back({ run, "", step.longRunning ? 100 : elapsed * 100 / step.estimate });
                continue;
            }
            worker.ended.push_back({ ++worker.lastEndNumber, run, this->failsAll ? RunEnd::Failed : RunEnd::Done, "" });
            worker.running.erase(current);
        }
        report.ended = worker.ended;
        this->planner.pollAnswered(order.worker, this->now, order.concurrent, report, this->now);
    }

    Millis now { 1000 };
    JobTable table;
    PlanTable plans;
    TaskPlanner planner;
    std::map<std::string, Worker> workers;
    std::map<std::string, std::int64_t> starts;
    std::int64_t offset { 0 };
    bool failsAll { false };
};

class LongRunningTasksTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LongRunningTasksTest);
    CPPUNIT_TEST(capacityBesideALongRunIsNotReserved);
    CPPUNIT_TEST(servingRunEndsProbingOfAWorker);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongRunningTasksTest);

} // namespace
