#include "tasks/task_planner.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;

namespace {

constexpr Millis now = 1000;
const std::string job = "a";

class TakeoverTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TakeoverTest);
    CPPUNIT_TEST(anEndThatOnlyThePlanTells);
    CPPUNIT_TEST(anEndThatOnlyTheStateTells);
    CPPUNIT_TEST(aPlanGoesOnlyWhenTheEndIsRecorded);
    CPPUNIT_TEST(crashesThatAreEnoughAreNotForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->table = JobTable();
        this->plans = PlanTable();
        Job submitted;
        submitted.id = job;
        submitted.steps.emplace_back();
        this->table.apply("job/a", encodeJob(submitted), 1, now);
    }

    // Guards against a job that runs again, or is never shown as over, because its planner
    // died between its two records of the end.
    void anEndThatOnlyThePlanTells()
    {
        this->plans.apply("progress/a", encodeProgress({ .state = JobState::Completed, .started = true }), 2);
        TaskPlanner planner({}, this->table, this->plans, now, now);
        planner.step(now, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), planner.waiting());
        const Orders orders = planner.take(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.batches.size());
        CPPUNIT_ASSERT(this->tells(orders.batches[0].jobs, "state/a", encodeState(JobState::Completed)));
    }

    void anEndThatOnlyTheStateTells()
    {
        this->table.apply("state/a", encodeState(JobState::Completed), 2, now);
        this->plans.apply("progress/a", encodeProgress({ .state = JobState::Running, .started = true }), 3);
        TaskPlanner planner({}, this->table, this->plans, now, now);
        planner.step(now, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), planner.waiting());
        CPPUNIT_ASSERT(planner.take(now).batches.empty());
    }

    void aPlanGoesOnlyWhenTheEndIsRecorded()
    {
        TaskPlanner planner({}, this->table, this->plans, now, now);
        planner.jobCancelled(job, now);
        const Orders first = planner.take(now);
        CPPUNIT_ASSERT(this->tells(first.batches.at(0).plans, "progress/a", encodeProgress({ .state = JobState::Cancelled, .reason = "cancelled by its caller" })));
        planner.recorded(first.batches[0].number, now);
        planner.forget({ job });
        const Orders second = planner.take(now + 10);
        CPPUNIT_ASSERT(this->tells(second.batches.at(0).plans, "progress/a", ""));
    }

    // Guards against one more start of a task that crashes its workers, because its planner
    // died after the record of the last crash and before it gave the job up.
    void crashesThatAreEnoughAreNotForgotten()
    {
        UnitProgress unit { .run = 2, .crashes = { { 1, 0, CrashEvidence::Early }, { 2, 0, CrashEvidence::Alone } }, .suspect = true };
        this->plans.apply("progress/a", encodeProgress({ .state = JobState::Running, .started = true, .units = { unit } }), 2);
        TaskPlanner planner({}, this->table, this->plans, now, now);
        planner.step(now, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), planner.waiting());
        CPPUNIT_ASSERT(this->tells(planner.take(now).batches.at(0).jobs, "state/a", encodeState(JobState::Failed)));
    }

private:
    bool tells(const RecordBatch::Records& records, const std::string& key, const std::string& value) const
    {
        return std::any_of(records.begin(), records.end(), [&](const auto& row) { return row.first == key && row.second == value; });
    }

    JobTable table;
    PlanTable plans;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverTest);

} // namespace
