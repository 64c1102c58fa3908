#include "instance/shutdown_schedule.h"

#include "instance/gateway.h"
#include "instance/settings.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::instance;

namespace {

class StopPlanTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StopPlanTest);
    CPPUNIT_TEST(theUsualGraceCutsNoAnswerShort);
    CPPUNIT_TEST(aStopEndsWithinItsGrace);
    CPPUNIT_TEST_SUITE_END();

public:
    // A request came just before the last connection was let in, and its answer takes as
    // long as one may: its connection was closed before.
    void theUsualGraceCutsNoAnswerShort()
    {
        const StopPlan plan = planStop(InstanceSettings {}.grace);
        CPPUNIT_ASSERT(plan.answeredAt >= plan.noticedAt + GatewayOptions {}.longestAnswer);
    }

    // The process would be killed with answers still in its sockets.
    void aStopEndsWithinItsGrace()
    {
        for (Millis grace = 0; grace <= 60000; grace += 50) {
            const StopPlan plan = planStop(grace);
            CPPUNIT_ASSERT(0 <= plan.noticedAt && plan.noticedAt <= plan.answeredAt);
            CPPUNIT_ASSERT(plan.answeredAt <= plan.closedAt && plan.closedAt <= grace);
            CPPUNIT_ASSERT(grace < 1000 || (plan.closedAt <= grace - 500 && plan.answeredAt < plan.closedAt));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopPlanTest);

} // namespace
