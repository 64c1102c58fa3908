#include "tasks/round_pacer.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::tasks;

namespace {

class RoundPacerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RoundPacerTest);
    CPPUNIT_TEST(aBurstOfChangesSharesARound);
    CPPUNIT_TEST(withoutChangesRoundsRunAtTheIdleInterval);
    CPPUNIT_TEST(urgentRoundsRunDuringThePauseAfterALongRound);
    CPPUNIT_TEST(urgentRoundsDoNotDelayFullRounds);
    CPPUNIT_TEST(longUrgentRoundsTakeAtMostHalfOfTheTime);
    CPPUNIT_TEST(nextWakeIsWhenTheNextRoundIsDue);
    CPPUNIT_TEST_SUITE_END();

public:
    void aBurstOfChangesSharesARound()
    {
        this->startRound(RoundKind::Full, 0);
        this->pacer.markChanged();
        CPPUNIT_ASSERT(this->pacer.next(1, true) == RoundKind::None);
        CPPUNIT_ASSERT(this->pacer.next(RoundPacer::minInterval, false) == RoundKind::Full);
    }

    void withoutChangesRoundsRunAtTheIdleInterval()
    {
        this->startRound(RoundKind::Full, 0);
        CPPUNIT_ASSERT(this->pacer.next(RoundPacer::idleInterval, false) == RoundKind::None);
        CPPUNIT_ASSERT(this->pacer.next(RoundPacer::idleInterval + RoundPacer::minInterval, false) == RoundKind::Full);
        this->startRound(RoundKind::Full, 1000);
        this->pacer.scheduleBy(1200);
        this->pacer.scheduleBy(1100);
        CPPUNIT_ASSERT(this->pacer.next(1099, false) == RoundKind::None);
        CPPUNIT_ASSERT(this->pacer.next(1100, false) == RoundKind::Full);
    }

    // Guards against guaranteed jobs that start late because no round runs after a long one.
    void urgentRoundsRunDuringThePauseAfterALongRound()
    {
        this->startRound(RoundKind::Full, 0);
        this->pacer.roundFinished(RoundKind::Full, 400, 400);
        this->pacer.markChanged();
        CPPUNIT_ASSERT(this->pacer.next(799, true) == RoundKind::None);
        CPPUNIT_ASSERT(this->pacer.next(800, true) == RoundKind::Urgent);
        CPPUNIT_ASSERT(this->pacer.next(1599, false) == RoundKind::None);
        CPPUNIT_ASSERT(this->pacer.next(1600, true) == RoundKind::Full);
    }

    void urgentRoundsDoNotDelayFullRounds()
    {
        this->startRound(RoundKind::Full, 0);
        this->pacer.roundFinished(RoundKind::Full, 100, 100);
        for (Millis now = 200; now < 400; now += 50) {
            this->pacer.markChanged();
            CPPUNIT_ASSERT(this->pacer.next(now, true) == RoundKind::Urgent);
            this->startRound(RoundKind::Urgent, now);
            this->pacer.roundFinished(RoundKind::Urgent, 20, now + 20);
        }
        CPPUNIT_ASSERT(this->pacer.next(400, true) == RoundKind::Full);
    }

    void longUrgentRoundsTakeAtMostHalfOfTheTime()
    {
        this->startRound(RoundKind::Full, 0);
        this->pacer.roundFinished(RoundKind::Full, 1000, 1000);
        this->pacer.markChanged();
        this->startRound(RoundKind::Urgent, 2000);
        this->pacer.roundFinished(RoundKind::Urgent, 80, 2080);
        this->pacer.markChanged();
        CPPUNIT_ASSERT(this->pacer.next(2159, true) == RoundKind::None);
        CPPUNIT_ASSERT(this->pacer.next(2160, true) == RoundKind::Urgent);
    }

    void nextWakeIsWhenTheNextRoundIsDue()
    {
        this->startRound(RoundKind::Full, 0);
        CPPUNIT_ASSERT_EQUAL(RoundPacer::minInterval + RoundPacer::idleInterval, this->pacer.nextWake(0, false));
        this->pacer.roundFinished(RoundKind::Full, 200, 200);
        this->pacer.markChanged();
        CPPUNIT_ASSERT_EQUAL(Millis { 800 }, this->pacer.nextWake(200, false));
        CPPUNIT_ASSERT_EQUAL(Millis { 400 }, this->pacer.nextWake(200, true));
        CPPUNIT_ASSERT_EQUAL(Millis { 900 }, this->pacer.nextWake(900, true));
    }

private:
    void startRound(RoundKind kind, Millis now) { this->pacer.roundStarted(kind, now); }

    RoundPacer pacer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoundPacerTest);

} // namespace
