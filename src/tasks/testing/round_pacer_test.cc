#include "tasks/round_pacer.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;

namespace {

class RoundPacerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RoundPacerTest);
    CPPUNIT_TEST(aBurstOfChangesSharesARound);
    CPPUNIT_TEST(withNothingNewARoundComesLater);
    CPPUNIT_TEST(anUrgentUnitDoesNotWaitForTheRestAfterALongRound);
    CPPUNIT_TEST(urgentRoundsDoNotPutOffWholeOnes);
    CPPUNIT_TEST(longUrgentRoundsTakeHalfOfTheTimeAtMost);
    CPPUNIT_TEST(itWakesWhenTheNextRoundIsDue);
    CPPUNIT_TEST_SUITE_END();

public:
    void aBurstOfChangesSharesARound()
    {
        this->hold(RoundKind::Whole, 0);
        this->pacer.changed();
        CPPUNIT_ASSERT(this->pacer.next(1, true) == RoundKind::None);
        CPPUNIT_ASSERT(this->pacer.next(RoundPacer::gap, false) == RoundKind::Whole);
    }

    void withNothingNewARoundComesLater()
    {
        this->hold(RoundKind::Whole, 0);
        CPPUNIT_ASSERT(this->pacer.next(RoundPacer::idle, false) == RoundKind::None);
        CPPUNIT_ASSERT(this->pacer.next(RoundPacer::idle + RoundPacer::gap, false) == RoundKind::Whole);
        this->hold(RoundKind::Whole, 1000);
        this->pacer.dueBy(1200);
        this->pacer.dueBy(1100);
        CPPUNIT_ASSERT(this->pacer.next(1099, false) == RoundKind::None);
        CPPUNIT_ASSERT(this->pacer.next(1100, false) == RoundKind::Whole);
    }

    // Guards against guaranteed jobs that begin late because no round was held after a long one.
    void anUrgentUnitDoesNotWaitForTheRestAfterALongRound()
    {
        this->hold(RoundKind::Whole, 0);
        this->pacer.took(RoundKind::Whole, 400, 400);
        this->pacer.changed();
        CPPUNIT_ASSERT(this->pacer.next(799, true) == RoundKind::None);
        CPPUNIT_ASSERT(this->pacer.next(800, true) == RoundKind::Urgent);
        CPPUNIT_ASSERT(this->pacer.next(1599, false) == RoundKind::None);
        CPPUNIT_ASSERT(this->pacer.next(1600, true) == RoundKind::Whole);
    }

    void urgentRoundsDoNotPutOffWholeOnes()
    {
        this->hold(RoundKind::Whole, 0);
        this->pacer.took(RoundKind::Whole, 100, 100);
        for (Millis now = 200; now < 400; now += 50) {
            this->pacer.changed();
            CPPUNIT_ASSERT(this->pacer.next(now, true) == RoundKind::Urgent);
            this->hold(RoundKind::Urgent, now);
            this->pacer.took(RoundKind::Urgent, 20, now + 20);
        }
        CPPUNIT_ASSERT(this->pacer.next(400, true) == RoundKind::Whole);
    }

    void longUrgentRoundsTakeHalfOfTheTimeAtMost()
    {
        this->hold(RoundKind::Whole, 0);
        this->pacer.took(RoundKind::Whole, 1000, 1000);
        this->pacer.changed();
        this->hold(RoundKind::Urgent, 2000);
        this->pacer.took(RoundKind::Urgent, 80, 2080);
        this->pacer.changed();
        CPPUNIT_ASSERT(this->pacer.next(2159, true) == RoundKind::None);
        CPPUNIT_ASSERT(this->pacer.next(2160, true) == RoundKind::Urgent);
    }

    void itWakesWhenTheNextRoundIsDue()
    {
        this->hold(RoundKind::Whole, 0);
        CPPUNIT_ASSERT_EQUAL(RoundPacer::gap + RoundPacer::idle, this->pacer.nextWake(0, false));
        this->pacer.took(RoundKind::Whole, 200, 200);
        this->pacer.changed();
        CPPUNIT_ASSERT_EQUAL(Millis { 800 }, this->pacer.nextWake(200, false));
        CPPUNIT_ASSERT_EQUAL(Millis { 400 }, this->pacer.nextWake(200, true));
        CPPUNIT_ASSERT_EQUAL(Millis { 900 }, this->pacer.nextWake(900, true));
    }

private:
    void hold(RoundKind kind, Millis now) { this->pacer.begun(kind, now); }

    RoundPacer pacer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoundPacerTest);

} // namespace
