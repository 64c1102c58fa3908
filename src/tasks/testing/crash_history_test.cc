#include "tasks/crash_history.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan::tasks;

namespace {

class CrashHistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashHistoryTest);
    CPPUNIT_TEST(twoCrashesSufficeIfTheSecondRunWasAlone);
    CPPUNIT_TEST(oneProvenCrashNeverSuffices);
    CPPUNIT_TEST(threeCrashesSufficeIfTwoWereEarly);
    CPPUNIT_TEST(twoRunsAfterThreeCrashesSuffice);
    CPPUNIT_TEST(gangMembersAreCountedSeparately);
    CPPUNIT_TEST(theSameCrashCountsOnce);
    CPPUNIT_TEST(retractedCrashDoesNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    void twoCrashesSufficeIfTheSecondRunWasAlone()
    {
        this->add({ CrashEvidence::Early, CrashEvidence::Alone });
        CPPUNIT_ASSERT(this->history.shouldGiveUp(this->run));
    }

    // Guards against a job that is reported as failed after fewer than two proven crashes.
    void oneProvenCrashNeverSuffices()
    {
        this->add({ CrashEvidence::Unproven, CrashEvidence::Alone });
        CPPUNIT_ASSERT(!this->history.shouldGiveUp(this->run));
    }

    void threeCrashesSufficeIfTwoWereEarly()
    {
        this->add({ CrashEvidence::Early, CrashEvidence::Early });
        CPPUNIT_ASSERT(!this->history.shouldGiveUp(this->run));
        this->add({ CrashEvidence::Unproven });
        CPPUNIT_ASSERT(this->history.shouldGiveUp(this->run));
    }

    // Guards against a third start after a third crash, also if the runs after it did not crash.
    void twoRunsAfterThreeCrashesSuffice()
    {
        this->add({ CrashEvidence::Unproven, CrashEvidence::Late, CrashEvidence::Unproven });
        CPPUNIT_ASSERT(!this->history.shouldGiveUp(this->run));
        CPPUNIT_ASSERT(!this->history.shouldGiveUp(this->run + 1));
        CPPUNIT_ASSERT(this->history.shouldGiveUp(this->run + 2));
        this->add({ CrashEvidence::Late, CrashEvidence::Late });
        CPPUNIT_ASSERT(this->history.shouldGiveUp(this->run));
    }

    void gangMembersAreCountedSeparately()
    {
        this->history.add({ 1, 0, CrashEvidence::Early });
        this->history.add({ 2, 1, CrashEvidence::Alone });
        this->history.add({ 3, 2, CrashEvidence::Alone });
        CPPUNIT_ASSERT(!this->history.shouldGiveUp(this->run));
        this->history.add({ 4, 1, CrashEvidence::Alone });
        CPPUNIT_ASSERT(this->history.shouldGiveUp(this->run));
    }

    void theSameCrashCountsOnce()
    {
        CPPUNIT_ASSERT(this->history.add({ 1, 0, CrashEvidence::Early }));
        CPPUNIT_ASSERT(!this->history.add({ 1, 0, CrashEvidence::Alone }));
        CPPUNIT_ASSERT(!this->history.shouldGiveUp(this->run));
    }

    void retractedCrashDoesNotCount()
    {
        this->add({ CrashEvidence::Early, CrashEvidence::Early });
        this->history.retract(1, 0);
        this->add({ CrashEvidence::Early });
        CPPUNIT_ASSERT(!this->history.shouldGiveUp(this->run));
    }

private:
    void add(const std::vector<CrashEvidence>& crashes)
    {
        for (const CrashEvidence evidence : crashes)
            this->history.add({ ++this->run, 0, evidence });
    }

    CrashHistory history;
    std::int64_t run { 0 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashHistoryTest);

} // namespace
