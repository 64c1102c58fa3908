#include "tasks/preemption.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan::tasks;

namespace {

class PreemptionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PreemptionTest);
    CPPUNIT_TEST(waitsForRunsThatEndInTime);
    CPPUNIT_TEST(guaranteedUnitDoesNotWaitUpToItsBound);
    CPPUNIT_TEST(lateUnitStopsOnlyBeforeItIsUseless);
    CPPUNIT_TEST(runsThatBecomeLateAreStoppedLast);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against stops for a unit that would be in time without them, and against a wait that
    // makes it late.
    void waitsForRunsThatEndInTime()
    {
        PreemptionInputs inputs { .waitingSince = 1000, .latestStarts = { 3000, 9000 }, .freeAt = 2500, .now = 1000 };
        CPPUNIT_ASSERT(!choosePreemption(inputs).stopNow);
        CPPUNIT_ASSERT_EQUAL(rattan::Millis { 3000 - stopLeadTime }, choosePreemption(inputs).reconsiderAt);
        inputs.freeAt = 3100;
        CPPUNIT_ASSERT(choosePreemption(inputs).stopNow);
        inputs.freeAt = 2500;
        inputs.now = 3000 - stopLeadTime; // The runs haven't ended as expected.
        CPPUNIT_ASSERT(choosePreemption(inputs).stopNow);
    }

    // Guards against a guaranteed unit that waits for so long that its stops and start miss the
    // guarantee's bound.
    void guaranteedUnitDoesNotWaitUpToItsBound()
    {
        PreemptionInputs inputs { .guaranteed = true, .hasStartBound = true, .waitingSince = 1000, .latestStarts = { 60000, 90000 }, .freeAt = 1900, .now = 1000 };
        CPPUNIT_ASSERT(!choosePreemption(inputs).stopNow);
        inputs.freeAt = 2700;
        CPPUNIT_ASSERT(choosePreemption(inputs).stopNow);
        inputs.freeAt = 1900;
        inputs.now = 1000 + maxGuaranteedWait;
        CPPUNIT_ASSERT(choosePreemption(inputs).stopNow);
    }

    // Guards against stops for a unit that is late already and gains nothing by an earlier start.
    void lateUnitStopsOnlyBeforeItIsUseless()
    {
        PreemptionInputs inputs { .waitingSince = 1000, .latestStarts = { 3000, 9000 }, .freeAt = 8000, .now = 4000 };
        CPPUNIT_ASSERT(!choosePreemption(inputs).stopNow);
        inputs.freeAt = 9500;
        CPPUNIT_ASSERT(choosePreemption(inputs).stopNow);
        inputs.guaranteed = true;
        inputs.freeAt = 8000;
        CPPUNIT_ASSERT(choosePreemption(inputs).stopNow);
    }

    // Guards against a stop that makes a job late while runs without value could be stopped.
    void runsThatBecomeLateAreStoppedLast()
    {
        CPPUNIT_ASSERT(stopWeight(1, lateValue) > stopWeight(1, 1));
        CPPUNIT_ASSERT(stopWeight(1, 1) > stopWeight(lateValue, lateValue));
        CPPUNIT_ASSERT(stopWeight(lateValue, lateValue) > stopWeight(0, 0));
        CPPUNIT_ASSERT(stopWeight(0, 0) > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PreemptionTest);

} // namespace
