#include "tasks/split_record.h"

#include "tasks/plan_table.h"
#include "tasks/testing/virtual_site.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::VirtualSite;

namespace {

using Records = std::vector<std::pair<std::string, std::string>>;

const std::string key = "progress/a";

Progress progressOf(std::int64_t count, std::int64_t run)
{
    Progress progress { .state = JobState::Running, .started = true };
    for (std::int64_t index = 0; index < count; ++index)
        progress.units.push_back({ .index = index, .run = run, .state = UnitState::Running, .workers = { { "w", 1 } } });
    return progress;
}

Job createJob(const std::string& id, std::int64_t count, Resources each, Millis time)
{
    Job result { .id = id, .workspace = "c", .text = "work", .steps = { { .count = count, .perTask = each, .estimate = time } } };
    result.terms = { .queue = "q", .service = "s", .priority = 1, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
    return result;
}

class SplitRecordTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SplitRecordTest);
    CPPUNIT_TEST(smallValueIsOneRecord);
    CPPUNIT_TEST(noRecordExceedsTheLimit);
    CPPUNIT_TEST(earlierValueHoldsUntilTheLaterOneIsComplete);
    CPPUNIT_TEST(partsMayBeReadAfterTheirHeader);
    CPPUNIT_TEST(missingPartIsReported);
    CPPUNIT_TEST(briefProgressIsReadBack);
    CPPUNIT_TEST(briefFormIsUsedOnlyForLargeProgress);
    CPPUNIT_TEST(damagedBriefProgressIsUnreadable);
    CPPUNIT_TEST(wideJobDoesNotStopOthers);
    CPPUNIT_TEST(partsAreDeletedWithTheirJob);
    CPPUNIT_TEST_SUITE_END();

public:
    void smallValueIsOneRecord()
    {
        SplitRecord record;
        Records records;
        record.write(records, key, "value", minRecordBytes);
        CPPUNIT_ASSERT(records == (Records { { key, "value" } }));
    }

    void noRecordExceedsTheLimit()
    {
        for (std::size_t size = 1; size < 8 * minRecordBytes; size += 7) {
            SplitRecord record;
            Records records;
            record.write(records, key, std::string(size, 'x'), minRecordBytes);
            for (const auto& [recordKey, value] : records)
                CPPUNIT_ASSERT(1 + recordKey.size() + value.size() <= minRecordBytes);
        }
    }

    // Guards against a planner that takes over from a mixture of two values because the earlier planner died between
    // their records.
    void earlierValueHoldsUntilTheLaterOneIsComplete()
    {
        SplitRecord record;
        PlanTable plans;
        std::int64_t offset = 0;
        const std::vector<std::int64_t> counts { 100, 60, 2, 140, 100 };
        for (std::size_t i = 0; i < counts.size(); ++i) {
            const auto run = static_cast<std::int64_t>(i + 1);
            Records records;
            record.write(records, key, encodeProgress(progressOf(counts[i], run)), minRecordBytes);
            for (const auto& [recordKey, value] : records) {
                const Progress* before = plans.find("a");
                CPPUNIT_ASSERT(i == 0 ? !before : *before == progressOf(counts[i - 1], run - 1));
                plans.apply(recordKey, value, ++offset);
            }
            CPPUNIT_ASSERT(*plans.find("a") == progressOf(counts[i], run));
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, plans.unreadable());
        }
    }

    void partsMayBeReadAfterTheirHeader()
    {
        SplitRecord record;
        Records records;
        record.write(records, key, encodeProgress(progressOf(100, 1)), minRecordBytes);
        PlanTable plans;
        for (std::size_t i = records.size(); i > 0; --i)
            plans.apply(records[i - 1].first, records[i - 1].second, static_cast<std::int64_t>(i));
        CPPUNIT_ASSERT(*plans.find("a") == progressOf(100, 1));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, plans.unreadable());
        CPPUNIT_ASSERT(plans.splitRecord(key).partKeys == record.partKeys);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, plans.splitRecord(key).generation);
    }

    void missingPartIsReported()
    {
        SplitRecord record;
        Records records;
        record.write(records, key, encodeProgress(progressOf(100, 1)), minRecordBytes);
        PlanTable plans;
        for (std::size_t i = 1; i < records.size(); ++i)
            plans.apply(records[i].first, records[i].second, static_cast<std::int64_t>(i));
        CPPUNIT_ASSERT(!plans.find("a"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, plans.unreadable());
    }

    void briefProgressIsReadBack()
    {
        Progress progress { .state = JobState::Running, .started = true, .reason = "why", .occurrencesDone = 3 };
        for (const std::int64_t index : { 0, 1, 2, 4, 5, 9 })
            progress.units.push_back({ .occurrence = 3, .step = 1, .index = index, .state = UnitState::Done });
        progress.units.push_back({ .occurrence = 3, .step = 2, .index = 10, .state = UnitState::Done });
        progress.units.push_back({ .occurrence = 4, .step = 2, .index = wholeGang, .state = UnitState::Done });
        progress.units.push_back({ .occurrence = 4, .step = 2, .index = 0, .state = UnitState::Done });
        progress.units.push_back({ .occurrence = 4, .step = 3, .index = wholeGang, .run = 2, .failedRuns = { 1 }, .state = UnitState::Running, .checkpoint = "c", .workers = { { "w1", 5 }, { "w2", 6 }, { "w1", 7 } } });
        progress.units.push_back({ .occurrence = 4, .step = 4, .index = 1, .run = 3, .state = UnitState::Running, .workers = { { "w2", 6 } }, .crashes = { { 1, 0, CrashEvidence::Early } }, .suspect = true, .startedMembers = { 1 } });
        progress.units.push_back({ .occurrence = 4, .step = 4, .index = 2, .run = 1, .failedRuns = { 1 } });
        const auto decoded = attempt([&] { return decodeProgress(encodeProgressBriefly(progress)); });
        CPPUNIT_ASSERT(decoded.value && *decoded.value == progress);
    }

    // Earlier versions can't read the brief form, so other progress keeps the usual one.
    void briefFormIsUsedOnlyForLargeProgress()
    {
        const Progress progress = progressOf(100, 1);
        const std::string usual = encodeProgress(progress);
        CPPUNIT_ASSERT_EQUAL(usual, encodeProgress(progress, usual.size() + 1));
        CPPUNIT_ASSERT_EQUAL(encodeProgressBriefly(progress), encodeProgress(progress, usual.size()));
        Progress wide { .state = JobState::Running, .started = true };
        for (std::int64_t index = 0; index < 5000; ++index)
            wide.units.push_back({ .index = index, .run = 1, .state = UnitState::Running, .workers = { { fmt::format("i-{:010}", index % 500), 1764928000000 } } });
        constexpr std::size_t storeLimit = 262144;
        CPPUNIT_ASSERT(encodeProgress(wide).size() > storeLimit);
        CPPUNIT_ASSERT(encodeProgress(wide, storeLimit).size() < storeLimit * 6 / 10);
    }

    void damagedBriefProgressIsUnreadable()
    {
        const auto decoded = attempt([] { return decodeProgress(R"({"state":"running","hosts":[],"units":[[0,0,0,1,[],1,"",[3]]]})"); });
        CPPUNIT_ASSERT(!decoded.value);
    }

    // Guards against a job whose progress is larger than a record: without parts, the log refuses it, and no job starts any more.
    void wideJobDoesNotStopOthers()
    {
        VirtualSite site({ .seed = 110, .workers = 4, .failures = 0, .maxRecordBytes = 4096 });
        site.newPlanner();
        site.submit(createJob("wide", 300, { 200, 512, 0 }, 8000));
        site.run(site.now + 1000);
        for (int i = 0; i < 5; ++i) {
            site.submit(createJob(fmt::format("small{}", i), 1, { 1000, 1000, 1 }, 1000));
            site.run(site.now + 500);
        }
        site.run(site.now + 2000);
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(site.stateOf(fmt::format("small{}", i)) == JobState::Completed);
        site.newPlanner();
        CPPUNIT_ASSERT(site.runUntilFinished(60000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 300 }, site.runsOf("wide"));
        CPPUNIT_ASSERT_MESSAGE(site.violations.empty() ? "" : site.violations.front(), site.violations.empty());
    }

    void partsAreDeletedWithTheirJob()
    {
        VirtualSite site({ .seed = 111, .workers = 4, .failures = 0, .maxRecordBytes = 4096 });
        site.newPlanner();
        site.submit(createJob("wide", 300, { 200, 512, 0 }, 3000));
        site.run(site.now + 1500);
        CPPUNIT_ASSERT(!site.plans.partKeys().empty());
        CPPUNIT_ASSERT(site.runUntilFinished(30000));
        site.submit(createJob("later", 1, { 1000, 1000, 1 }, 500));
        site.run(site.now + 2000);
        CPPUNIT_ASSERT(site.plans.partKeys().empty());
        CPPUNIT_ASSERT(!site.plans.find("wide"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SplitRecordTest);

} // namespace
