#include "tasks/task_planner.h"

#include "tasks/testing/virtual_site.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr Millis now = 1000;
const std::string job = "a";

class TakeoverTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TakeoverTest);
    CPPUNIT_TEST(anEndThatOnlyThePlanTells);
    CPPUNIT_TEST(anEndThatOnlyTheStateTells);
    CPPUNIT_TEST(aPlanGoesOnlyWhenTheEndIsRecorded);
    CPPUNIT_TEST(crashesThatAreEnoughAreNotForgotten);
    CPPUNIT_TEST(aRunThatIsNearlyDoneIsNotStoppedAsIfItHadJustBegun);
    CPPUNIT_TEST(ofRunsOfTheEarlierPlannerTheYoungestIsStopped);
    CPPUNIT_TEST(aGangIsAsOldAsItsMemberWithMostWork);
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

    // Guards against work of seconds that is thrown away after a takeover, since the planner that
    // follows knows nothing of the time before it.
    void aRunThatIsNearlyDoneIsNotStoppedAsIfItHadJustBegun()
    {
        VirtualSite site({ .seed = 3, .workers = 1, .failures = 0 });
        site.newPlanner();
        site.submit(patient("old", whole, 10000));
        site.run(10000);
        site.newPlanner();
        Job hurried = patient("hurried", whole, 6000);
        hurried.terms.priority = 1;
        site.submit(hurried);
        CPPUNIT_ASSERT(site.runUntilOver(30000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("old"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.countEnds(RunEnd::Stopped));
        CPPUNIT_ASSERT_MESSAGE(site.broken.empty() ? "" : site.broken.front(), site.broken.empty());
    }

    // Guards against a choice by chance among runs that all seem to have begun at the takeover.
    void ofRunsOfTheEarlierPlannerTheYoungestIsStopped()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            VirtualSite site({ .seed = seed, .workers = 2, .failures = 0 });
            site.newPlanner();
            site.submit(patient("old", whole, 10000));
            site.run(6000);
            site.submit(patient("young", whole, 10000));
            site.run(7000);
            site.newPlanner();
            site.run(7500);
            Job urgent = patient("urgent", whole, 1000);
            urgent.terms.priority = 0;
            site.submit(urgent);
            CPPUNIT_ASSERT(site.runUntilOver(40000));
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("old"));
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("young"));
        }
    }

    // Guards against a gang that seems through because a member with little work is.
    void aGangIsAsOldAsItsMemberWithMostWork()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            VirtualSite site({ .seed = seed, .workers = 3, .failures = 0, .uneven = true });
            site.newPlanner();
            site.submit(patient("old", whole, 10000));
            site.run(5000);
            Job gang = patient("gang", whole, 10000);
            gang.steps.front().count = 2;
            gang.steps.front().gang = true;
            site.submit(gang);
            site.run(7500);
            site.newPlanner();
            site.run(8000);
            Job urgent = patient("urgent", whole, 1000);
            urgent.terms.priority = 0;
            urgent.workspace = "";
            site.submit(urgent);
            CPPUNIT_ASSERT(site.runUntilOver(40000));
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("old"));
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("gang"));
        }
    }

private:
    static constexpr Resources whole { 10000, 10000, 8 };

    static Job patient(const std::string& id, Resources each, Millis time)
    {
        Job result;
        result.id = id;
        result.workspace = "a";
        result.terms = { .queue = "q", .service = "s", .priority = 2, .maxAttempts = 4, .stretch = 1, .latencyTarget = 1000 };
        result.text = "work";
        result.steps.push_back({ .count = 1, .perTask = each, .estimate = time });
        return result;
    }

    bool tells(const RecordBatch::Records& records, const std::string& key, const std::string& value) const
    {
        return std::any_of(records.begin(), records.end(), [&](const auto& row) { return row.first == key && row.second == value; });
    }

    JobTable table;
    PlanTable plans;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverTest);

} // namespace
