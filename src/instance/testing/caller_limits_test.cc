#include "instance/caller_limits.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan::instance;

namespace {

class CallerLimitsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CallerLimitsTest);
    CPPUNIT_TEST(usualMachine);
    CPPUNIT_TEST(smallMachines);
    CPPUNIT_TEST_SUITE_END();

public:
    void usualMachine()
    {
        const CallerLimits limits = callerLimits({});
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 400 }, limits.maxConnections);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 50 }, limits.spareConnections);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 260 << 20 } / 8, limits.bodyBudgetBytes);
    }

    // Guards against limits that use more than the machine has, and against none at all.
    void smallMachines()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 256 }, callerLimits({ .memoryMegabytes = 64 }).maxConnections);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 100 }, callerLimits({ .maxDescriptors = 400 }).maxConnections);
        const CallerLimits least = callerLimits({ .memoryMegabytes = 0, .maxDescriptors = 0 });
        CPPUNIT_ASSERT(least.maxConnections > least.spareConnections && least.spareConnections > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerLimitsTest);

} // namespace
