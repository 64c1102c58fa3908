// Runs that last until their job is cancelled: their workers are played by hand, since those of
// a VirtualSite end every run.

#include "tasks/task_planner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>

using namespace rattan;
using namespace rattan::tasks;

namespace {

constexpr Resources whole { 10000, 10000, 8 };
constexpr Resources half { 1000, 1000, 4 };
constexpr Resources one { 1000, 1000, 1 };

Job job(const std::string& id, std::int64_t count, Resources each, Millis time)
{
    Job result;
    result.id = id;
    result.workspace = "a";
    result.terms = { .queue = "q", .service = "s", .priority = 1, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    result.text = "work";
    result.steps.push_back({ .count = count, .perTask = each, .estimate = time });
    return result;
}

Job lasting(const std::string& id, std::int64_t count, Resources each)
{
    Job result = job(id, count, each, 1000);
    result.steps.front().longRunning = true;
    return result;
}

// Workers on which every start succeeds, runs that last serve at once, and others end in time.
class Hands {
public:
    explicit Hands(int count)
        : planner({}, table, plans, now, now)
    {
        std::vector<WorkerDescription> seen;
        for (int i = 0; i < count; ++i) {
            const std::string id = fmt::format("w{}", i);
            this->workers[id];
            seen.push_back({ .incarnation = { id, 1 }, .address = id, .service = "s", .domain = "d", .rack = "r", .labels = {}, .capacity = whole });
        }
        this->planner.applyCatalog(std::make_shared<Catalog>());
        this->planner.workersSeen(seen, this->now);
    }

    void submit(const Job& submitted)
    {
        this->table.apply(formatKey({ RecordKind::Job, submitted.id }), encodeJob(submitted), ++this->offset, this->now);
        this->planner.jobAccepted(this->table.find(submitted.id)->job, this->now, this->now);
    }

    void cancel(const std::string& id) { this->planner.jobCancelled(id, this->now); }

    void run(Millis time)
    {
        for (const Millis until = this->now + time; this->now < until; this->now += turn) {
            this->planner.step(this->now, this->now);
            const Orders orders = this->planner.take(this->now);
            for (const StartOrder& order : orders.starts)
                this->start(order);
            for (const StopOrder& order : orders.stops)
                this->stop(order);
            for (const PollOrder& order : orders.polls)
                this->poll(order);
            for (const RecordBatch& batch : orders.batches)
                this->planner.recorded(batch.number, this->now);
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
            for (const auto& [run, begun] : state.running) {
                if (run.task.job == id)
                    return worker;
            }
        }
        return "";
    }

    void failAll(bool fails) { this->failsAll = fails; }

private:
    static constexpr Millis turn = 10;

    struct Worker {
        std::map<RunRef, Millis> running; // And when each began.
        std::vector<EndedTask> ended;
        std::int64_t number { 0 };
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
            worker.ended.push_back({ ++worker.number, order.run, RunEnd::Stopped, "" });
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
            const Millis ran = this->now - current->second;
            if (step.longRunning || ran < step.estimate) {
                report.running.push_back({ run, "", step.longRunning ? 100 : ran * 100 / step.estimate });
                continue;
            }
            worker.ended.push_back({ ++worker.number, run, this->failsAll ? RunEnd::Failed : RunEnd::Done, "" });
            worker.running.erase(current);
        }
        report.ended = worker.ended;
        this->planner.pollAnswered(order.worker, this->now, order.beside, report, this->now);
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

class LastingRunsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LastingRunsTest);
    CPPUNIT_TEST(roomBesideARunThatLastsIsNotKeptForItsEnd);
    CPPUNIT_TEST(aTrialThatServesIsOver);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against room that stays free because a task waits for a run to end that does not.
    void roomBesideARunThatLastsIsNotKeptForItsEnd()
    {
        Hands hands(1);
        hands.submit(lasting("serving", 1, half));
        hands.run(3000);
        hands.submit(job("large", 1, whole, 1000));
        hands.run(1000);
        hands.submit(job("small", 4, one, 1000));
        hands.run(4000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, hands.runsOf("small"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, hands.runsOf("large"));
    }

    // Guards against a worker that gets nothing more because the run that it was tried with lasts.
    void aTrialThatServesIsOver()
    {
        Hands hands(1);
        hands.failAll(true);
        hands.submit(job("bad", 1, one, 400));
        hands.run(1500);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, hands.runsOf("bad"));
        hands.failAll(false);
        hands.cancel("bad");
        hands.run(500);
        hands.submit(lasting("serving", 1, half));
        hands.run(6000);
        hands.submit(job("good", 2, one, 1000));
        hands.run(4000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, hands.runsOf("serving"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, hands.runsOf("good"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LastingRunsTest);

} // namespace
