#include "tasks/admission.h"
#include "tasks/load_table.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;

namespace {

class AdmissionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdmissionTest);
    CPPUNIT_TEST(nothingIsRefusedWhileThereIsRoom);
    CPPUNIT_TEST(retriesAreSpreadOverTheDrain);
    CPPUNIT_TEST(oldRecordsDoNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusals beside free resources, and of jobs that can still be of use.
    void nothingIsRefusedWhileThereIsRoom()
    {
        CPPUNIT_ASSERT(!forecastDrain({ 20000, 10000, 0.8 }, false));
        CPPUNIT_ASSERT(!forecastDrain({ 10000, 10000, 1 }, false));
        CPPUNIT_ASSERT_EQUAL(Millis { 11000 }, *forecastDrain({ 20000, 10000, 1 }, false));
        CPPUNIT_ASSERT(forecastDrain({ 9500, 10000, 1 }, true)); // Doesn't end at once.
        CPPUNIT_ASSERT(!forecastDrain({ 9000, 10000, 1 }, true));
    }

    // Guards against refused callers that all come back at the same time.
    void retriesAreSpreadOverTheDrain()
    {
        Millis earliest = 1000000;
        Millis latest = 0;
        for (int i = 0; i < 200; ++i) {
            const Millis delay = retryDelayOf({ 8000, 0 }, "job" + std::to_string(i));
            CPPUNIT_ASSERT(delay >= 8000 && delay <= 16000);
            earliest = std::min(earliest, delay);
            latest = std::max(latest, delay);
        }
        CPPUNIT_ASSERT(latest - earliest > 6000);
    }

    // Guards against refusals on the word of a planner that is gone, also by an instance that has
    // just read all records, and against an older record that is read again.
    void oldRecordsDoNotCount()
    {
        LoadTable table;
        CPPUNIT_ASSERT(!table.apply("job/1", "{}", 1, 1000));
        CPPUNIT_ASSERT(table.apply("load/q", encodeLoad({ 3000, 500000 }), 5, 1000));
        CPPUNIT_ASSERT(table.find("q", 6000, 505000));
        CPPUNIT_ASSERT(!table.find("q", 6001, 505000));
        CPPUNIT_ASSERT(!table.find("q", 1001, 505001));
        CPPUNIT_ASSERT(!table.find("other", 1000, 500000));
        table.apply("load/q", "", 7, 1000);
        table.apply("load/q", encodeLoad({ 3000, 500000 }), 6, 1000);
        CPPUNIT_ASSERT(!table.find("q", 1000, 500000));
        CPPUNIT_ASSERT(table.apply("load/q", "[1]", 8, 1000));
        CPPUNIT_ASSERT(!table.find("q", 1000, 500000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

} // namespace
