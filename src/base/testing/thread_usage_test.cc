#include "base/thread_usage.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace rattan;

namespace {

class ThreadUsageTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ThreadUsageTest);
    CPPUNIT_TEST(workCountsAsProcessorTime);
    CPPUNIT_TEST(workOfOtherThreadsDoesNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    void workCountsAsProcessorTime()
    {
        const ThreadUsage before = ThreadUsage::current();
        this->useProcessor();
        const ThreadUsage used = ThreadUsage::current() - before;
        CPPUNIT_ASSERT(used.processorTime >= workTime);
        CPPUNIT_ASSERT(used.involuntarySwitches >= 0 && used.majorFaults >= 0);
    }

    // Guards against a thread without a processor that counts the work of others as its own.
    void workOfOtherThreadsDoesNotCount()
    {
        const ThreadUsage before = ThreadUsage::current();
        std::thread other([this] { this->useProcessor(); });
        other.join();
        CPPUNIT_ASSERT_LESS(workTime, (ThreadUsage::current() - before).processorTime);
    }

private:
    static constexpr Millis workTime = 30;

    // Works until this thread has used the time; does not depend on the speed of the machine.
    void useProcessor()
    {
        const ThreadUsage before = ThreadUsage::current();
        while ((ThreadUsage::current() - before).processorTime < workTime)
            ++this->work;
    }

    std::uint64_t work { 0 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ThreadUsageTest);

} // namespace
