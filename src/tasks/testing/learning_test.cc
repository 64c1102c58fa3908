// Tests of run-time forecasts, worker speeds, the queue order, worker health, and the records
// of jobs and estimates.

#include "tasks/estimates_record.h"
#include "tasks/job_table.h"
#include "tasks/plan_table.h"
#include "tasks/queue_order.h"
#include "tasks/worker_health.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <random>

using namespace rattan;
using namespace rattan::tasks;

namespace {

class LearningTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LearningTest);
    CPPUNIT_TEST(theBetterForecastIsUsed);
    CPPUNIT_TEST(speedsAreEstimatedFromSiblings);
    CPPUNIT_TEST(speedsAreEstimatedFromGangs);
    CPPUNIT_TEST(estimatesAreHandedOver);
    CPPUNIT_TEST(queueOrderIsByGuaranteePriorityAndLatestStart);
    CPPUNIT_TEST(twoConsecutiveFailuresQuarantineAWorker);
    CPPUNIT_TEST(decodedRecordsEqualTheEncodedOnes);
    CPPUNIT_TEST(damagedRecordsAreCounted);
    CPPUNIT_TEST(olderRecordsAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void theBetterForecastIsUsed()
    {
        RunTimes times;
        CPPUNIT_ASSERT_EQUAL(Millis { 3000 }, times.forecast("q", 3000).work);
        // Proportional declarations: each run takes twice the declared time.
        for (const Millis declared : { 500, 4000, 1000, 9000, 2500, 700 })
            times.addRun("honest", declared, static_cast<double>(declared * 2));
        CPPUNIT_ASSERT(std::abs(times.forecast("honest", 3000).work - 6000) < 60);
        // Random declarations: each run takes the same time.
        for (const Millis declared : { 500, 4000, 1000, 9000, 2500, 700 })
            times.addRun("random", declared, 2000);
        CPPUNIT_ASSERT(std::abs(times.forecast("random", 9000).work - 2000) < 20);
    }

    void speedsAreEstimatedFromSiblings()
    {
        WorkerSpeeds speeds;
        std::mt19937_64 random(3);
        std::lognormal_distribution<double> lognormal(0, 0.2);
        const std::vector<double> actualSpeeds { 0.8, 1.0, 1.25, 0.8, 1.0, 1.25 };
        for (int step = 0; step < 40; ++step) {
            std::vector<WorkerSpeeds::Sample> samples;
            for (std::size_t i = 0; i < actualSpeeds.size(); ++i)
                samples.push_back({ fmt::format("w{}", i), static_cast<Millis>(5000 * lognormal(random) / actualSpeeds[i]) });
            speeds.addSiblingRuns(samples);
        }
        for (std::size_t i = 0; i < actualSpeeds.size(); ++i)
            CPPUNIT_ASSERT(std::abs(speeds.of(fmt::format("w{}", i)) - actualSpeeds[i]) < 0.12);
    }

    void speedsAreEstimatedFromGangs()
    {
        WorkerSpeeds speeds;
        for (int i = 0; i < 20; ++i) {
            speeds.addGangRun({ "slow", "fast1" }, { 4000, 0.05 }, 5000);
            speeds.addGangRun({ "fast1", "fast2" }, { 4000, 0.05 }, 3200);
        }
        CPPUNIT_ASSERT(speeds.of("slow") < 0.92);
        CPPUNIT_ASSERT(speeds.of("fast1") > 1.0 && speeds.of("fast2") > 1.0);
        CPPUNIT_ASSERT_EQUAL(speeds.of("slow"), speeds.slowestOf({ "fast1", "slow" }));
        CPPUNIT_ASSERT_EQUAL(1.0, speeds.of("unknown"));
    }

    void estimatesAreHandedOver()
    {
        RunTimes times;
        WorkerSpeeds speeds;
        for (int i = 0; i < 10; ++i) {
            times.addRun("q", 1000, 1500);
            speeds.addGangRun({ "a" }, { 4000, 0.05 }, 5000);
            speeds.addGangRun({ "b" }, { 4000, 0.05 }, 3200);
        }
        RunTimes restoredTimes;
        WorkerSpeeds restoredSpeeds;
        RunTimeForecaster forecaster;
        restoreEstimates(encodeEstimates(times, speeds, forecaster), restoredTimes, restoredSpeeds, forecaster);
        CPPUNIT_ASSERT(std::abs(restoredTimes.forecast("q", 1000).work - times.forecast("q", 1000).work) < 10);
        CPPUNIT_ASSERT(std::abs(restoredSpeeds.of("a") - speeds.of("a")) < 0.01);
        for (const char* malformed : { "", "5", "{}", "{\"queues\":5,\"speeds\":{}}", "{\"queues\":{\"q\":[]},\"speeds\":{}}" })
            restoreEstimates(malformed, restoredTimes, restoredSpeeds, forecaster);
        CPPUNIT_ASSERT(std::abs(restoredSpeeds.of("a") - speeds.of("a")) < 0.01);
    }

    void queueOrderIsByGuaranteePriorityAndLatestStart()
    {
        constexpr Millis now = 100000;
        const auto keyOf = [&](bool guaranteed, std::int64_t priority, Millis waitingSince) {
            return queueKeyOf({ .guaranteed = guaranteed, .priority = priority, .waitingSince = waitingSince, .remainingRunTime = 2000, .criticalPath = 2000, .stretch = 3, .latencyTarget = 1000 }, now);
        };
        CPPUNIT_ASSERT(keyOf(true, 0, now) < keyOf(false, 0, now - 3000));
        CPPUNIT_ASSERT(keyOf(false, 0, now) < keyOf(false, 1, now - 3000));
        CPPUNIT_ASSERT(keyOf(false, 1, now - 3000) < keyOf(false, 1, now));
        // More than three times the objective has passed, so a result would be of no use.
        CPPUNIT_ASSERT(keyOf(false, 2, now) < keyOf(false, 1, now - 20000));
        CPPUNIT_ASSERT(keyOf(false, 1, now - 20000).isTooLate);
    }

    void twoConsecutiveFailuresQuarantineAWorker()
    {
        WorkerHealth health;
        health.runFailed(1000);
        health.runSucceeded();
        health.runFailed(2000);
        CPPUNIT_ASSERT(health.canTakeRun(2000, false));
        health.runFailed(3000);
        CPPUNIT_ASSERT(!health.canTakeRun(3000, true));
        CPPUNIT_ASSERT(health.canTakeRun(7000, true)); // One run may probe the worker.
        CPPUNIT_ASSERT(!health.canTakeRun(7000, false));
        health.runFailed(7500);
        CPPUNIT_ASSERT(!health.canTakeRun(14000, true)); // The second quarantine is twice as long.
        health.runSucceeded();
        CPPUNIT_ASSERT(health.canTakeRun(14000, false));
    }

    void decodedRecordsEqualTheEncodedOnes()
    {
        Job job;
        job.id = "a";
        job.workspace = "w";
        job.terms = { .queue = "q", .service = "s", .priority = 2, .maxAttempts = 4, .stretch = 1.5, .latencyTarget = 250, .advice = { 20, 3, 4000 } };
        job.text = "line\n\"quoted\" \xc3\xa9";
        Step step;
        step.count = 5;
        step.perTask = { 1, 2, 3 };
        step.dependsOn = { 0 };
        step.gang = step.sameRack = step.savesProgress = true;
        step.dataRack = "r1";
        job.steps = { Step {}, step };
        job.repeats = 3;
        job.startAt = 7;
        job.interval = 9;
        const auto decodedJob = attempt([&] { return decodeJob("a", encodeJob(job)); });
        CPPUNIT_ASSERT(decodedJob.value);
        CPPUNIT_ASSERT(decodedJob.value->steps == job.steps);
        CPPUNIT_ASSERT(decodedJob.value->terms == job.terms);
        CPPUNIT_ASSERT_EQUAL(job.text, decodedJob.value->text);
        CPPUNIT_ASSERT_EQUAL(Millis { 16 }, decodedJob.value->dueAt(1));
        Progress progress;
        progress.state = JobState::Running;
        progress.started = true;
        progress.occurrencesDone = 1;
        progress.units = { { .occurrence = 1, .step = 0, .index = wholeGang, .run = 3, .failedRuns = { 1, 2 }, .state = UnitState::Running, .checkpoint = "c", .workers = { { "w", 5 } } },
            { .occurrence = 1, .step = 1, .index = 4, .state = UnitState::Done } };
        const auto decodedProgress = attempt([&] { return decodeProgress(encodeProgress(progress)); });
        CPPUNIT_ASSERT(decodedProgress.value);
        CPPUNIT_ASSERT(*decodedProgress.value == progress);
    }

    void damagedRecordsAreCounted()
    {
        JobTable table;
        std::int64_t offset = 0;
        for (const char* value : { "", "5", "{", "[]", "{\"steps\":5}", "{\"steps\":[{}],\"terms\":{}}" })
            table.apply("job/a", value, offset++, 1);
        for (const char* value : { "5", "{", "{\"state\":5}", "{\"state\":\"sleeping\"}" })
            table.apply("state/a", value, offset++, 1);
        table.apply("what/a", "{}", offset++, 1);
        CPPUNIT_ASSERT(!table.find("a"));
        CPPUNIT_ASSERT(table.unreadable() >= 9);
        PlanTable plans;
        for (const char* value : { "5", "{", "{\"state\":5}", "{\"state\":\"running\",\"units\":[[1]]}" })
            plans.apply("progress/a", value, offset++);
        plans.apply("what/a", "{}", offset++);
        CPPUNIT_ASSERT(!plans.find("a"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 5 }, plans.unreadable());
    }

    // After a reload, records are repeated, and older ones can follow newer ones. A job that has
    // ended must not run again because of that.
    void olderRecordsAreIgnored()
    {
        JobTable table;
        Job job;
        job.steps.push_back({});
        table.apply("job/a", encodeJob(job), 1, 1);
        table.apply("state/a", encodeState(JobState::Completed), 5, 1);
        table.apply("state/a", encodeState(JobState::Running), 3, 1);
        CPPUNIT_ASSERT(table.find("a")->visibleState() == JobState::Completed);
        table.apply("job/a", encodeJob(job), 9, 1); // The job is submitted again.
        table.apply("cancel/a", encodeCancel(), 10, 1);
        CPPUNIT_ASSERT(table.find("a")->visibleState() == JobState::Completed);
        PlanTable plans;
        plans.apply("progress/a", encodeProgress({ .state = JobState::Completed }), 5);
        plans.apply("progress/a", encodeProgress({ .state = JobState::Running }), 3);
        CPPUNIT_ASSERT(plans.find("a")->state == JobState::Completed);
        plans.apply("progress/a", "", 6);
        plans.apply("progress/a", encodeProgress({ .state = JobState::Running }), 4);
        CPPUNIT_ASSERT(!plans.find("a"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LearningTest);

} // namespace
