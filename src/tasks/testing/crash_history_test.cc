#include "tasks/crash_history.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan::tasks;

namespace {

class CrashHistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashHistoryTest);
    CPPUNIT_TEST(twoAreEnoughIfTheSecondWasAlone);
    CPPUNIT_TEST(oneIsNeverEnough);
    CPPUNIT_TEST(threeAreEnoughIfTwoWereEarly);
    CPPUNIT_TEST(twoMoreRunsAfterThreeOfAnyKindAreEnough);
    CPPUNIT_TEST(membersAreCountedApart);
    CPPUNIT_TEST(theSameCrashCountsOnce);
    CPPUNIT_TEST(aRunThatIsHeardOfAgainDoesNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    void twoAreEnoughIfTheSecondWasAlone()
    {
        this->add({ CrashEvidence::Early, CrashEvidence::Alone });
        CPPUNIT_ASSERT(this->history.isExhausted(this->run));
    }

    // Guards against a job shown as failed although less than two workers are known to have crashed.
    void oneIsNeverEnough()
    {
        this->add({ CrashEvidence::Unproven, CrashEvidence::Alone });
        CPPUNIT_ASSERT(!this->history.isExhausted(this->run));
    }

    void threeAreEnoughIfTwoWereEarly()
    {
        this->add({ CrashEvidence::Early, CrashEvidence::Early });
        CPPUNIT_ASSERT(!this->history.isExhausted(this->run));
        this->add({ CrashEvidence::Unproven });
        CPPUNIT_ASSERT(this->history.isExhausted(this->run));
    }

    // Guards against a third start after a third crash, also where later runs did not crash.
    void twoMoreRunsAfterThreeOfAnyKindAreEnough()
    {
        this->add({ CrashEvidence::Unproven, CrashEvidence::Late, CrashEvidence::Unproven });
        CPPUNIT_ASSERT(!this->history.isExhausted(this->run));
        CPPUNIT_ASSERT(!this->history.isExhausted(this->run + 1));
        CPPUNIT_ASSERT(this->history.isExhausted(this->run + 2));
        this->add({ CrashEvidence::Late, CrashEvidence::Late });
        CPPUNIT_ASSERT(this->history.isExhausted(this->run));
    }

    void membersAreCountedApart()
    {
        this->history.add({ 1, 0, CrashEvidence::Early });
        this->history.add({ 2, 1, CrashEvidence::Alone });
        this->history.add({ 3, 2, CrashEvidence::Alone });
        CPPUNIT_ASSERT(!this->history.isExhausted(this->run));
        this->history.add({ 4, 1, CrashEvidence::Alone });
        CPPUNIT_ASSERT(this->history.isExhausted(this->run));
    }

    void theSameCrashCountsOnce()
    {
        CPPUNIT_ASSERT(this->history.add({ 1, 0, CrashEvidence::Early }));
        CPPUNIT_ASSERT(!this->history.add({ 1, 0, CrashEvidence::Alone }));
        CPPUNIT_ASSERT(!this->history.isExhausted(this->run));
    }

    void aRunThatIsHeardOfAgainDoesNotCount()
    {
        this->add({ CrashEvidence::Early, CrashEvidence::Early });
        this->history.retract(1, 0);
        this->add({ CrashEvidence::Early });
        CPPUNIT_ASSERT(!this->history.isExhausted(this->run));
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
