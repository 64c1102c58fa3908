#include "http/memory_budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan::http {

class MemoryBudgetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MemoryBudgetTest);
    CPPUNIT_TEST(limitIsExact);
    CPPUNIT_TEST(ownerAboveLimitIsServedAlone);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitIsExact()
    {
        MemoryBudget budget(100);
        CPPUNIT_ASSERT(budget.tryReserve(60));
        CPPUNIT_ASSERT(!budget.tryReserve(41));
        CPPUNIT_ASSERT(budget.tryReserve(40));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 40 }, budget.release(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 40 }, budget.used());
    }

    // Guards against a request that is refused forever although nothing else needs memory.
    void ownerAboveLimitIsServedAlone()
    {
        MemoryBudget budget(100);
        CPPUNIT_ASSERT(budget.tryReserve(150));
        CPPUNIT_ASSERT(!budget.tryReserve(1));
        budget.release(150);
        CPPUNIT_ASSERT(budget.tryReserve(1));
        CPPUNIT_ASSERT(!budget.tryReserve(150));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);

} // namespace rattan::http
