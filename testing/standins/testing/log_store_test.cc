#include "standins/log_store.h"

#include "standins/instance_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan::testing {

class LogStoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LogStoreTest);
    CPPUNIT_TEST(offsetsGoOnAfterTrim);
    CPPUNIT_TEST(retentionTrimsByAge);
    CPPUNIT_TEST(appendsPerSecondAreLimited);
    CPPUNIT_TEST(listLagsBehindTheTruth);
    CPPUNIT_TEST_SUITE_END();

public:
    void offsetsGoOnAfterTrim()
    {
        LogStore store({});
        store.append("config", { 1, 2, 3 }, 0, 0);
        store.trim("config", 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, *store.append("config", { 4 }, 0, 0));
        const Json page = store.page("config", 0, 10, 0);
        CPPUNIT_ASSERT_EQUAL(2, page["first_kept"].get<int>());
        CPPUNIT_ASSERT_EQUAL(4, page["next"].get<int>());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, page["records"].size());
        CPPUNIT_ASSERT_EQUAL(3, page["records"][0]["value"].get<int>());
    }

    void retentionTrimsByAge()
    {
        LogStore store({ .retention = 100 });
        store.append("claims", { 1 }, 0, 0);
        store.append("claims", { 2 }, 60, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, store.page("claims", 0, 10, 100)["records"].size());
    }

    void appendsPerSecondAreLimited()
    {
        LogStore store({ .appendsPerSecond = 2 });
        CPPUNIT_ASSERT(store.admit(0));
        CPPUNIT_ASSERT(store.admit(0));
        CPPUNIT_ASSERT(!store.admit(0));
        CPPUNIT_ASSERT(store.admit(500));
    }

    // An instance has gone and the list still names it, as the platform's does
    // for some seconds; callers who trust the list talk to nobody.
    void listLagsBehindTheTruth()
    {
        InstanceTable table;
        table.setLag(1000);
        table.put({ .id = "a-w001" }, 0);
        CPPUNIT_ASSERT(table.visible(999).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, table.visible(1000).size());
        table.remove("a-w001", 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, table.visible(1999).size());
        CPPUNIT_ASSERT(table.visible(2000).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStoreTest);

} // namespace rattan::testing
