#include "instance/shutdown_schedule.h"

#include "instance/gateway.h"
#include "instance/settings.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::instance;

namespace {

class ShutdownScheduleTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ShutdownScheduleTest);
    CPPUNIT_TEST(defaultGraceCoversSlowestAnswer);
    CPPUNIT_TEST(shutdownEndsWithinGrace);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against closing the connection of a request that arrives on the last accepted
    // connection and takes the longest time that an answer may take.
    void defaultGraceCoversSlowestAnswer()
    {
        const ShutdownSchedule schedule = scheduleShutdown(InstanceSettings {}.stopGrace);
        CPPUNIT_ASSERT(schedule.answerDeadline >= schedule.acceptUntil + GatewayOptions {}.maxAnswerTime);
    }

    // Otherwise the process would be killed before all answers are sent.
    void shutdownEndsWithinGrace()
    {
        for (Millis grace = 0; grace <= 60000; grace += 50) {
            const ShutdownSchedule schedule = scheduleShutdown(grace);
            CPPUNIT_ASSERT(0 <= schedule.acceptUntil && schedule.acceptUntil <= schedule.answerDeadline);
            CPPUNIT_ASSERT(schedule.answerDeadline <= schedule.closeDeadline && schedule.closeDeadline <= grace);
            CPPUNIT_ASSERT(grace < 1000 || (schedule.closeDeadline <= grace - 500 && schedule.answerDeadline < schedule.closeDeadline));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownScheduleTest);

} // namespace
