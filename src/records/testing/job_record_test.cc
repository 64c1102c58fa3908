#include "records/job_record.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan::records {

class JobRecordTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobRecordTest);
    CPPUNIT_TEST(everyKindRoundTrips);
    CPPUNIT_TEST(invalidRecordsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyKindRoundTrips()
    {
        for (const JobRecordKind kind : { JobRecordKind::Submit, JobRecordKind::Cancel, JobRecordKind::Starting,
                 JobRecordKind::Final, JobRecordKind::Restate }) {
            JobRecord record { .kind = kind, .id = 41, .workspace = "tours", .key = "k", .submitWallTime = 5, .attempt = 2, .claimant = "p1", .outcome = JobOutcome::Failed, .reason = "why", .result = "what" };
            record.spec.jobClass = "route-map";
            record.spec.payload = { { "run_ms", 5 } };
            const Json json = toJson(record);
            const auto parsed = attempt([&] { return parseJobRecord(json); });
            CPPUNIT_ASSERT_MESSAGE(parsed.error.message, parsed);
            CPPUNIT_ASSERT_EQUAL(json, toJson(*parsed));
        }
    }

    void invalidRecordsAreRejected()
    {
        const std::vector<std::string> invalidRecords {
            R"([])", R"({})", R"({"kind":"other"})", R"({"kind":"cancel","workspace":"w"})",
            R"({"kind":"submit","workspace":"w","key":"k"})",
            R"({"kind":"submit","workspace":"w","key":"k","spec":{"class":"c","members":-1}})",
            R"({"kind":"submit","workspace":"w","key":"k","spec":{"class":"c","members":513}})",
            R"({"kind":"submit","workspace":"w","key":"k","spec":{"class":"c","members":1.5}})",
            R"({"kind":"submit","workspace":"w","key":"k","spec":{"class":"c","adjacent":"moon"}})",
            R"({"kind":"final","id":1,"workspace":"w","key":"k","outcome":"maybe"})",
            R"({"kind":"starting","id":-1})"
        };
        for (const std::string& text : invalidRecords)
            CPPUNIT_ASSERT_MESSAGE(text, !attempt([&] { return parseJobRecord(Json::parse(text)); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRecordTest);

} // namespace rattan::records
