#include "tasks/suspected_domains.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <random>

using namespace rattan;
using namespace rattan::tasks;

namespace {

constexpr Millis startTimeout = 230;

class SuspectedDomainsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SuspectedDomainsTest);
    CPPUNIT_TEST(domainWithoutAnswersIsSuspected);
    CPPUNIT_TEST(singleSilentWorkerIsNotEnough);
    CPPUNIT_TEST(lostCallsOfASoundDomainRaiseNoSuspicion);
    CPPUNIT_TEST(cutIsNoticedWithinTwoTimeouts);
    CPPUNIT_TEST_SUITE_END();

public:
    void domainWithoutAnswersIsSuspected()
    {
        SuspectedDomains domains;
        domains.addAnswer("a", 1000);
        domains.addSilentWorker("a", "w1", 1300);
        domains.addSilentWorker("a", "w2", 1400);
        CPPUNIT_ASSERT(domains.isSuspected("a", 1000, 1410));
        CPPUNIT_ASSERT(!domains.isSuspected("a", 1405, 1410)); // This worker has answered since.
        CPPUNIT_ASSERT(!domains.isSuspected("b", 1000, 1410));
    }

    void singleSilentWorkerIsNotEnough()
    {
        SuspectedDomains domains;
        domains.addSilentWorker("a", "w1", 1300);
        domains.addSilentWorker("a", "w1", 1400);
        CPPUNIT_ASSERT(!domains.isSuspected("a", 1000, 1410));
    }

    // Guards against capacity that is lost to suspicion while 5% of all calls have no answer: the
    // workers of a sound domain would have to answer again before each placement.
    void lostCallsOfASoundDomainRaiseNoSuspicion()
    {
        std::mt19937_64 random { 7 };
        SuspectedDomains domains;
        for (Millis now = 1000; now < 21000; now += 10) {
            if (std::uniform_real_distribution<double>(0, 1)(random) < 0.05)
                domains.addSilentWorker("a", fmt::format("w{}", random() % 100), now);
            else
                domains.addAnswer("a", now);
            CPPUNIT_ASSERT(!domains.isSuspected("a", now - 1000, now));
        }
    }

    // Guards against units that are placed in a domain that has just been cut off.
    void cutIsNoticedWithinTwoTimeouts()
    {
        SuspectedDomains domains;
        const Millis cutAt = 5000;
        for (Millis now = 1000; now < cutAt; now += 10)
            domains.addAnswer("a", now);
        domains.addSilentWorker("a", "w1", cutAt + startTimeout);
        domains.addSilentWorker("a", "w2", cutAt + startTimeout + 5);
        CPPUNIT_ASSERT(domains.isSuspected("a", cutAt - 10, cutAt + 2 * startTimeout));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectedDomainsTest);

} // namespace
