#include "tasks/evacuated_domains.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace rattan;
using namespace rattan::tasks;

namespace {

constexpr Millis now = 1000;

class EvacuatedDomainsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EvacuatedDomainsTest);
    CPPUNIT_TEST(requestHoldsUntilItIsWithdrawn);
    CPPUNIT_TEST(repeatedRecordsOfAnEarlierRequestChangeNothing);
    CPPUNIT_TEST(loadEndsRequestsThatItDoesNotContain);
    CPPUNIT_TEST(interruptedLoadStartsAgain);
    CPPUNIT_TEST(withdrawnDomainsAreForgottenFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestHoldsUntilItIsWithdrawn()
    {
        EvacuatedDomains domains;
        CPPUNIT_ASSERT(domains.request("a", 1, now));
        CPPUNIT_ASSERT(!domains.request("a", 2, now + 50));
        CPPUNIT_ASSERT_EQUAL(now, domains.all().at("a"));
        CPPUNIT_ASSERT(domains.withdraw("a", 3));
        CPPUNIT_ASSERT(!domains.contains("a"));
        CPPUNIT_ASSERT(domains.request("a", 4, now + 90));
        CPPUNIT_ASSERT_EQUAL(now + 90, domains.all().at("a"));
    }

    // Guards against a load whose pages are older than records that were read before: a withdrawn
    // request would be in force again, or a new one would end.
    void repeatedRecordsOfAnEarlierRequestChangeNothing()
    {
        EvacuatedDomains domains;
        domains.request("a", 1, now);
        domains.withdraw("a", 5);
        CPPUNIT_ASSERT(!domains.request("a", 1, now));
        CPPUNIT_ASSERT(!domains.contains("a"));
        domains.request("a", 6, now);
        CPPUNIT_ASSERT(!domains.withdraw("a", 5));
        CPPUNIT_ASSERT(domains.contains("a"));
    }

    // Guards against a domain that stays evacuated because the store dropped the record of the
    // withdrawal before this instance read it.
    void loadEndsRequestsThatItDoesNotContain()
    {
        EvacuatedDomains domains;
        domains.request("a", 1, now);
        domains.request("b", 2, now);
        domains.beginLoad();
        CPPUNIT_ASSERT(!domains.request("b", 2, now + 10));
        CPPUNIT_ASSERT(domains.contains("a"));
        CPPUNIT_ASSERT(domains.endLoad() == std::vector<std::string> { "a" });
        CPPUNIT_ASSERT(!domains.contains("a"));
        CPPUNIT_ASSERT_EQUAL(now, domains.all().at("b"));
    }

    void interruptedLoadStartsAgain()
    {
        EvacuatedDomains domains;
        domains.request("a", 1, now);
        domains.beginLoad();
        domains.request("a", 1, now);
        domains.beginLoad();
        CPPUNIT_ASSERT(domains.endLoad() == std::vector<std::string> { "a" });
    }

    void withdrawnDomainsAreForgottenFirst()
    {
        EvacuatedDomains domains;
        domains.request("kept", 1, now);
        for (std::size_t i = 0; i < EvacuatedDomains::maxDomains; ++i) {
            const auto offset = static_cast<std::int64_t>(2 * i + 2);
            domains.request(fmt::format("d{}", i), offset, now);
            domains.withdraw(fmt::format("d{}", i), offset + 1);
        }
        CPPUNIT_ASSERT(domains.contains("kept"));
        CPPUNIT_ASSERT(domains.request("last", 100000, now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuatedDomainsTest);

} // namespace
