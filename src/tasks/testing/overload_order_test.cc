#include "tasks/overload_order.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;

namespace {

class OverloadOrderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OverloadOrderTest);
    CPPUNIT_TEST(onlyWorkBeyondTheRoomIsAnExcess);
    CPPUNIT_TEST(nearlyCompleteJobsGoFirst);
    CPPUNIT_TEST(waitingAndStoppedUnitsRise);
    CPPUNIT_TEST(patientJobsGetAFirstStart);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against another order than by latest start while all units can be in time, or because
    // of a single late unit.
    void onlyWorkBeyondTheRoomIsAnExcess()
    {
        CPPUNIT_ASSERT(!Excess::detect({ { "s", 1, 5000, 900 }, { "s", 1, 5000, 900 } }, 3000).isLate("s", 1));
        CPPUNIT_ASSERT(!Excess::detect({ { "s", 1, 2000, 10 } }, 3000).isBacklogged("s", 1));
        const Excess excess = Excess::detect({ { "s", 1, 5000, 3000 }, { "s", 1, 5000, 900 }, { "t", 1, 5000, 3000 } }, 3000);
        CPPUNIT_ASSERT(excess.isLate("s", 1));
        CPPUNIT_ASSERT(excess.isBacklogged("t", 1) && !excess.isLate("t", 1));
        CPPUNIT_ASSERT(!excess.isBacklogged("s", 2));
    }

    // Guards against many half-done jobs that are all late together.
    void nearlyCompleteJobsGoFirst()
    {
        const Deadlines starts { 10000, 30000 };
        CPPUNIT_ASSERT(valueOrderOf({ starts, 0, 20, 0, 5000 }) < valueOrderOf({ starts, 0, 300, 0, 5000 }));
        CPPUNIT_ASSERT(valueOrderOf({ starts, 0, 300, 0, 10000 }) < valueOrderOf({ starts, 0, 300, 0, 10001 })); // Late from then on.
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, valueOrderOf({ starts, 0, 300, 0, 30001 }));
    }

    // Guards against a large or stopped unit that is passed by small ones for ever.
    void waitingAndStoppedUnitsRise()
    {
        const Deadlines starts { 10000, 30000 };
        CPPUNIT_ASSERT(valueOrderOf({ starts, 0, 300, 1, 5000 }) < valueOrderOf({ starts, 0, 300, 0, 5000 }));
        CPPUNIT_ASSERT(valueOrderOf({ starts, 0, 300, 0, 9000 }) < valueOrderOf({ starts, 0, 300, 0, 5000 }));
    }

    // Guards against patient jobs of which no task starts until all middle ones are done, and
    // against patient jobs before urgent ones.
    void patientJobsGetAFirstStart()
    {
        CPPUNIT_ASSERT(!isFirstStartDue(1000, 6000, 4900));
        CPPUNIT_ASSERT(isFirstStartDue(1000, 6000, 5000));
        CPPUNIT_ASSERT(!isFirstStartDue(0, 3600000, 800000)); // A job of hours can spare more.
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, raisedPriority(2));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, raisedPriority(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadOrderTest);

} // namespace
