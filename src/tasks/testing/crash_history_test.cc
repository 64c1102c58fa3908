#include "tasks/crash_history.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan::tasks;

namespace {

class CrashHistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashHistoryTest);
    CPPUNIT_TEST(threeEarlyCrashesInARowSuffice);
    CPPUNIT_TEST(lossesWithoutProofNeverSuffice);
    CPPUNIT_TEST(lateCrashesNeverSuffice);
    CPPUNIT_TEST(survivedStartEndsTheRow);
    CPPUNIT_TEST(twoRunsAfterThreeLossesSufficeIfTwoAreProven);
    CPPUNIT_TEST(oneProvenCrashNeverSuffices);
    CPPUNIT_TEST(gangMembersAreCountedSeparately);
    CPPUNIT_TEST(theSameCrashCountsOnce);
    CPPUNIT_TEST(retractedCrashDoesNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    void threeEarlyCrashesInARowSuffice()
    {
        this->add({ CrashEvidence::Early, CrashEvidence::Alone });
        CPPUNIT_ASSERT(!this->history.taskToGiveUp(this->run));
        this->add({ CrashEvidence::Early });
        CPPUNIT_ASSERT(this->history.taskToGiveUp(this->run) == 0);
    }

    // Guards against a job that is reported as failed although each of its workers may only have been
    // cut off.
    void lossesWithoutProofNeverSuffice()
    {
        this->add(std::vector(20, CrashEvidence::Unproven));
        CPPUNIT_ASSERT(!this->history.taskToGiveUp(this->run));
    }

    // Guards against a job that is reported as failed because its workers crashed for other reasons.
    void lateCrashesNeverSuffice()
    {
        this->add(std::vector(20, CrashEvidence::Late));
        CPPUNIT_ASSERT(!this->history.taskToGiveUp(this->run));
    }

    void survivedStartEndsTheRow()
    {
        this->add({ CrashEvidence::Early, CrashEvidence::Alone, CrashEvidence::Late, CrashEvidence::Alone, CrashEvidence::Alone });
        CPPUNIT_ASSERT(!this->history.taskToGiveUp(this->run));
        this->add({ CrashEvidence::Early });
        CPPUNIT_ASSERT(this->history.taskToGiveUp(this->run) == 0);
    }

    // Guards against a third start after a third crash, two of which are proven.
    void twoRunsAfterThreeLossesSufficeIfTwoAreProven()
    {
        this->add({ CrashEvidence::Early, CrashEvidence::Unproven, CrashEvidence::Alone });
        CPPUNIT_ASSERT(!this->history.taskToGiveUp(this->run + 1));
        CPPUNIT_ASSERT(this->history.taskToGiveUp(this->run + 2) == 0);
    }

    // Guards against a job that is reported as failed after a single proven crash.
    void oneProvenCrashNeverSuffices()
    {
        this->add({ CrashEvidence::Unproven, CrashEvidence::Alone, CrashEvidence::Unproven });
        CPPUNIT_ASSERT(!this->history.taskToGiveUp(this->run + 20));
    }

    void gangMembersAreCountedSeparately()
    {
        this->history.add({ 1, 0, CrashEvidence::Early });
        this->history.add({ 2, 1, CrashEvidence::Alone });
        this->history.add({ 3, 2, CrashEvidence::Alone });
        this->history.add({ 4, 1, CrashEvidence::Alone });
        CPPUNIT_ASSERT(!this->history.taskToGiveUp(this->run));
        this->history.add({ 5, 1, CrashEvidence::Alone });
        CPPUNIT_ASSERT(this->history.taskToGiveUp(this->run) == 1);
    }

    void theSameCrashCountsOnce()
    {
        this->add({ CrashEvidence::Early, CrashEvidence::Early });
        CPPUNIT_ASSERT(!this->history.add({ 1, 0, CrashEvidence::Alone }));
        CPPUNIT_ASSERT(!this->history.taskToGiveUp(this->run));
    }

    void retractedCrashDoesNotCount()
    {
        this->add({ CrashEvidence::Early, CrashEvidence::Early });
        this->history.retract(1, 0);
        this->add({ CrashEvidence::Early });
        CPPUNIT_ASSERT(!this->history.taskToGiveUp(this->run));
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
