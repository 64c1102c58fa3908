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
    CPPUNIT_TEST(endRecordedOnlyInProgressIsCompleted);
    CPPUNIT_TEST(endRecordedOnlyInStateIsFinal);
    CPPUNIT_TEST(progressIsRemovedOnlyAfterTheEndIsRecorded);
    CPPUNIT_TEST(jobThatWasCancelledBeforeItsRecordIsNotStarted);
    CPPUNIT_TEST(crashLimitSurvivesTakeover);
    CPPUNIT_TEST(nearlyFinishedRunIsNotEvictedAfterTakeover);
    CPPUNIT_TEST(youngestRunOfEarlierPlannerIsEvicted);
    CPPUNIT_TEST(gangAgeFollowsItsLongestMember);
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

    // Guards against a job that runs again, or is never shown as finished, because its planner
    // was killed between its two records of the end.
    void endRecordedOnlyInProgressIsCompleted()
    {
        this->plans.apply("progress/a", encodeProgress({ .state = JobState::Completed, .started = true }), 2);
        TaskPlanner planner({}, this->table, this->plans, now, now);
        planner.step(now, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), planner.waitingUnitCount());
        const Orders orders = planner.takeOrders(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.batches.size());
        CPPUNIT_ASSERT(this->contains(orders.batches[0].jobs, "state/a", encodeState(JobState::Completed)));
    }

    void endRecordedOnlyInStateIsFinal()
    {
        this->table.apply("state/a", encodeState(JobState::Completed), 2, now);
        this->plans.apply("progress/a", encodeProgress({ .state = JobState::Running, .started = true }), 3);
        TaskPlanner planner({}, this->table, this->plans, now, now);
        planner.step(now, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), planner.waitingUnitCount());
        CPPUNIT_ASSERT(planner.takeOrders(now).batches.empty());
    }

    void progressIsRemovedOnlyAfterTheEndIsRecorded()
    {
        TaskPlanner planner({}, this->table, this->plans, now, now);
        planner.jobCancelled(job, now);
        const Orders first = planner.takeOrders(now);
        CPPUNIT_ASSERT(this->contains(first.batches.at(0).plans, "progress/a", encodeProgress({ .state = JobState::Cancelled, .reason = "cancelled by its caller" })));
        planner.batchRecorded(first.batches[0].number, now);
        planner.forgetJobs({ job });
        const Orders second = planner.takeOrders(now + 10);
        CPPUNIT_ASSERT(this->contains(second.batches.at(0).plans, "progress/a", ""));
    }

    // Guards against a start after a takeover of a job whose cancel was recorded before the job.
    void jobThatWasCancelledBeforeItsRecordIsNotStarted()
    {
        JobTable cancelledFirst;
        cancelledFirst.apply("cancel/a", encodeCancel(), 1, now);
        Job submitted;
        submitted.id = job;
        submitted.steps.emplace_back();
        cancelledFirst.apply("job/a", encodeJob(submitted), 2, now);
        TaskPlanner planner({}, cancelledFirst, this->plans, now, now);
        planner.step(now, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), planner.waitingUnitCount());
        CPPUNIT_ASSERT(this->contains(planner.takeOrders(now).batches.at(0).jobs, "state/a", encodeState(JobState::Cancelled)));
    }

    // Guards against another start of a task that crashes its workers, because its planner was
    // killed after it recorded the last crash and before it gave up the job.
    void crashLimitSurvivesTakeover()
    {
        UnitProgress unit { .run = 3, .crashes = { { 1, 0, CrashEvidence::Early }, { 2, 0, CrashEvidence::Alone }, { 3, 0, CrashEvidence::Alone } }, .suspect = true };
        this->plans.apply("progress/a", encodeProgress({ .state = JobState::Running, .started = true, .units = { unit } }), 2);
        TaskPlanner planner({}, this->table, this->plans, now, now);
        planner.step(now, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), planner.waitingUnitCount());
        CPPUNIT_ASSERT(this->contains(planner.takeOrders(now).batches.at(0).jobs, "state/a", encodeState(JobState::Failed)));
    }

    // Guards against an eviction that discards seconds of work after a takeover because the new
    // planner does not know how long the run lasted before it took over.
    void nearlyFinishedRunIsNotEvictedAfterTakeover()
    {
        VirtualSite site({ .seed = 3, .workers = 1, .failures = 0 });
        site.newPlanner();
        site.submit(createJob("old", wholeWorker, 10000));
        site.run(10000);
        site.newPlanner();
        Job higherPriority = createJob("hurried", wholeWorker, 6000);
        higherPriority.terms.priority = 1;
        site.submit(higherPriority);
        CPPUNIT_ASSERT(site.runUntilFinished(30000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("old"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, site.countEnds(RunEnd::Stopped));
        CPPUNIT_ASSERT_MESSAGE(site.violations.empty() ? "" : site.violations.front(), site.violations.empty());
    }

    // Guards against an arbitrary choice among runs that all seem to have started at the takeover.
    void youngestRunOfEarlierPlannerIsEvicted()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            VirtualSite site({ .seed = seed, .workers = 2, .failures = 0 });
            site.newPlanner();
            site.submit(createJob("old", wholeWorker, 10000));
            site.run(6000);
            site.submit(createJob("young", wholeWorker, 10000));
            site.run(7000);
            site.newPlanner();
            site.run(7500);
            Job urgent = createJob("urgent", wholeWorker, 1000);
            urgent.terms.priority = 0;
            site.submit(urgent);
            CPPUNIT_ASSERT(site.runUntilFinished(40000));
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("old"));
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, site.runsOf("young"));
        }
    }

    // Guards against a gang that seems nearly finished because a member with little work is.
    void gangAgeFollowsItsLongestMember()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            VirtualSite site({ .seed = seed, .workers = 3, .failures = 0, .uneven = true });
            site.newPlanner();
            site.submit(createJob("old", wholeWorker, 10000));
            site.run(5000);
            Job gang = createJob("gang", wholeWorker, 10000);
            gang.steps.front().count = 2;
            gang.steps.front().gang = true;
            site.submit(gang);
            site.run(7500);
            site.newPlanner();
            site.run(8000);
            Job urgent = createJob("urgent", wholeWorker, 1000);
            urgent.terms.priority = 0;
            urgent.workspace = "";
            site.submit(urgent);
            CPPUNIT_ASSERT(site.runUntilFinished(40000));
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, site.runsOf("old"));
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, site.runsOf("gang"));
        }
    }

private:
    static constexpr Resources wholeWorker { 10000, 10000, 8 };

    static Job createJob(const std::string& id, Resources each, Millis estimate)
    {
        Job result;
        result.id = id;
        result.workspace = "a";
        result.terms = { .queue = "q", .service = "s", .priority = 2, .maxAttempts = 4, .stretch = 1, .latencyTarget = 1000 };
        result.text = "work";
        result.steps.push_back({ .count = 1, .perTask = each, .estimate = estimate });
        return result;
    }

    bool contains(const RecordBatch::Records& records, const std::string& key, const std::string& value) const
    {
        return std::any_of(records.begin(), records.end(), [&](const auto& row) { return row.first == key && row.second == value; });
    }

    JobTable table;
    PlanTable plans;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverTest);

} // namespace
