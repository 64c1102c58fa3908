#include "platform/executor.h"

#include "http/testing/dropping_peer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan::platform {

class ExecutorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ExecutorTest);
    CPPUNIT_TEST(aRefusalOfWhatWasSentTwiceIsUnclear);
    CPPUNIT_TEST(whatMayNotRunTwiceIsSentOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // An executor ran the request, its connection broke, and it refused the repeat: the
    // caller was told that nothing ran.
    void aRefusalOfWhatWasSentTwiceIsUnclear()
    {
        for (const int status : { 429, 503 }) {
            for (const char* body : { "", "{}" }) {
                const http::testing::DroppingPeer peer({ { 200, "{}" }, { status, "{}" } });
                HttpExecutors executors;
                const ExecutorCall call { .address = peer.address(), .operation = "look", .body = body, .once = false };
                executors.run(call);
                CPPUNIT_ASSERT(executors.run(call).fate == ForwardFate::Unclear);
                CPPUNIT_ASSERT_EQUAL(3, peer.requests());
            }
        }
    }

    void whatMayNotRunTwiceIsSentOnce()
    {
        const http::testing::DroppingPeer peer({ { 503, "{}" } });
        HttpExecutors executors;
        const ExecutorCall call { .address = peer.address(), .operation = "hold", .body = "", .once = true };
        for (int sent = 1; sent <= 2; ++sent) {
            CPPUNIT_ASSERT(executors.run(call).fate == ForwardFate::Refused);
            CPPUNIT_ASSERT_EQUAL(sent, peer.requests());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExecutorTest);

} // namespace rattan::platform
