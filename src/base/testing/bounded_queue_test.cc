#include "base/bounded_queue.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan {

class BoundedQueueTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BoundedQueueTest);
    CPPUNIT_TEST(refusesWhenFull);
    CPPUNIT_TEST(drainsAfterClose);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusesWhenFull()
    {
        BoundedQueue<int> queue(2);
        CPPUNIT_ASSERT(queue.tryPush(1));
        CPPUNIT_ASSERT(queue.tryPush(2));
        CPPUNIT_ASSERT(!queue.tryPush(3));
        CPPUNIT_ASSERT_EQUAL(1, *queue.pop());
    }

    void drainsAfterClose()
    {
        BoundedQueue<int> queue(2);
        CPPUNIT_ASSERT(queue.tryPush(1));
        queue.close();
        CPPUNIT_ASSERT(!queue.tryPush(2));
        CPPUNIT_ASSERT_EQUAL(1, *queue.pop());
        CPPUNIT_ASSERT(!queue.pop());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedQueueTest);

} // namespace rattan
