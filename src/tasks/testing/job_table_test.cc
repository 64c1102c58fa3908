#include "tasks/job_table.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;

namespace {

std::string jobRecord(const std::string& id)
{
    Job job;
    job.id = id;
    job.steps.emplace_back();
    return encodeJob(job);
}

class JobTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobTableTest);
    CPPUNIT_TEST(cancelMeetsALaterSubmission);
    CPPUNIT_TEST(cancelsWithoutJobsAreCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a job that runs although its cancel was recorded first, and against its state that is forgotten too early.
    void cancelMeetsALaterSubmission()
    {
        JobTable table;
        table.apply("cancel/a", encodeCancel(), 1, 1000);
        CPPUNIT_ASSERT(table.isCancelled("a"));
        CPPUNIT_ASSERT(!table.find("a"));
        CPPUNIT_ASSERT_EQUAL(Millis { 1000 }, table.all().at("a").finalSince);
        const auto change = table.apply("job/a", jobRecord("a"), 2, 5000);
        CPPUNIT_ASSERT(change && change->kind == RecordKind::Job);
        CPPUNIT_ASSERT(table.find("a")->visibleState() == JobState::Cancelled);
        CPPUNIT_ASSERT_EQUAL(Millis { 5000 }, table.find("a")->finalSince);
    }

    // Guards against a count that grows for good, at which all further cancels of unknown jobs are refused.
    void cancelsWithoutJobsAreCounted()
    {
        JobTable table;
        table.apply("cancel/a", encodeCancel(), 1, 1000);
        table.apply("cancel/a", encodeCancel(), 2, 1000);
        table.apply("cancel/b", encodeCancel(), 3, 1000);
        table.apply("job/c", jobRecord("c"), 4, 1000);
        table.apply("cancel/c", encodeCancel(), 5, 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, table.cancelOnlyCount());
        table.apply("job/b", jobRecord("b"), 6, 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, table.cancelOnlyCount());
        std::int64_t offset = 7;
        for (const char* key : { "cancel/a", "state/a", "job/a", "cancel/b", "state/b", "job/b" })
            table.apply(key, "", offset++, 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, table.cancelOnlyCount());
        CPPUNIT_ASSERT(!table.isCancelled("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, table.all().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobTableTest);

} // namespace
