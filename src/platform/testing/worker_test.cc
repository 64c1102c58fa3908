#include "platform/worker.h"

#include "http/testing/dropping_peer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan::platform {

class WorkerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkerTest);
    CPPUNIT_TEST(aRejectionOfWhatWasSentTwiceMayHaveActed);
    CPPUNIT_TEST(aHigherEpochIsToldThoughSentTwice);
    CPPUNIT_TEST_SUITE_END();

    static ErrorCode codeWhenSentAgain(int status)
    {
        const http::testing::DroppingPeer peer({ { 200, R"({"worker":"w","epoch":7,"results":[],"leases":[]})" }, { status, "{}" } });
        HttpWorkers workers;
        const WorkerExchange exchange { .holder = "d", .epoch = 7, .ops = {} };
        const auto ask = [&] { return attempt([&] { return workers.exchange(peer.address(), exchange, std::chrono::milliseconds(2000)); }); };
        CPPUNIT_ASSERT(ask());
        const auto second = ask();
        CPPUNIT_ASSERT_EQUAL(3, peer.requests());
        CPPUNIT_ASSERT(!second);
        return second.error.code;
    }

public:
    // A worker took a renewal, the connection broke, and it rejected the repeat: the lease
    // was taken for one that was not renewed, and counted as over while the gang ran.
    void aRejectionOfWhatWasSentTwiceMayHaveActed()
    {
        for (const int status : { 503, 429, 404, 400 })
            CPPUNIT_ASSERT(codeWhenSentAgain(status) == ErrorCode::Interrupted);
    }

    void aHigherEpochIsToldThoughSentTwice() { CPPUNIT_ASSERT(codeWhenSentAgain(409) == ErrorCode::Conflict); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerTest);

} // namespace rattan::platform
