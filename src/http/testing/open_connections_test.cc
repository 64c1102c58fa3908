#include "http/open_connections.h"

#include <array>
#include <cerrno>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

namespace rattan::http {

class OpenConnectionsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OpenConnectionsTest);
    CPPUNIT_TEST(connectionClosesWhenItsRequestEnds);
    CPPUNIT_TEST(requestsAreCountedByStage);
    CPPUNIT_TEST(longestWaitingConnectionMakesRoom);
    CPPUNIT_TEST(slowLargeBodyGivesWay);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (std::array<int, 2>& pair : this->pairs)
            CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, pair.data()));
    }

    void tearDown() override
    {
        for (const std::array<int, 2>& pair : this->pairs) {
            close(pair[0]);
            close(pair[1]);
        }
    }

    // A connection that is closed too early truncates its request; one that is not closed at
    // all accepts requests until the process ends.
    void connectionClosesWhenItsRequestEnds()
    {
        OpenConnections connections;
        OpenConnection& idle = connections.add(this->pairs[0][0]);
        OpenConnection& busy = connections.add(this->pairs[1][0]);
        connections.markRequestStarted(busy);
        connections.closeWhenIdle();
        CPPUNIT_ASSERT(this->isReadClosed(0));
        CPPUNIT_ASSERT(!this->isReadClosed(1));
        connections.markRequestRead(busy);
        CPPUNIT_ASSERT(!this->isReadClosed(1));
        connections.markRequestFinished(busy);
        CPPUNIT_ASSERT(this->isReadClosed(1));
        OpenConnection& newConnection = connections.add(this->pairs[2][0]);
        CPPUNIT_ASSERT(this->isReadClosed(2));
        connections.remove(idle);
        connections.remove(busy);
        CPPUNIT_ASSERT(!connections.waitUntilEmpty(0));
        connections.remove(newConnection);
        CPPUNIT_ASSERT(connections.waitUntilEmpty(0));
    }

    void requestsAreCountedByStage()
    {
        OpenConnections connections;
        OpenConnection& first = connections.add(this->pairs[0][0]);
        OpenConnection& second = connections.add(this->pairs[1][0]);
        connections.add(this->pairs[2][0]);
        connections.markRequestStarted(first);
        connections.markRequestStarted(second);
        connections.markRequestRead(second);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, connections.requestsInProgress());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, connections.requestsBeingAnswered());
        connections.markRequestFinished(second);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, connections.requestsInProgress());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, connections.requestsBeingAnswered());
    }

    // Guards against clients that send nothing and keep all others out.
    void longestWaitingConnectionMakesRoom()
    {
        OpenConnections connections(2);
        OpenConnection& served = connections.add(this->pairs[0][0]);
        connections.markRequestStarted(served);
        connections.markRequestRead(served);
        connections.markAnswerReady(served);
        connections.markRequestFinished(served);
        OpenConnection& silent = connections.add(this->pairs[1][0]);
        connections.add(this->pairs[2][0]);
        CPPUNIT_ASSERT(!this->isReadClosed(0));
        CPPUNIT_ASSERT(this->isReadClosed(1));
        CPPUNIT_ASSERT(!this->isReadClosed(2));
        connections.remove(silent);
        connections.markRequestStarted(served);
        connections.markRequestRead(served);
        connections.add(this->pairs[3][0]);
        CPPUNIT_ASSERT(!this->isReadClosed(0));
        CPPUNIT_ASSERT(this->isReadClosed(2));
        connections.markAnswerReady(served);
        connections.add(this->pairs[2][1]);
        CPPUNIT_ASSERT(!this->isReadClosed(0)); // Its answer was ready only now.
    }

    // Guards against unfinished bodies that keep the memory for bodies from others.
    void slowLargeBodyGivesWay()
    {
        OpenConnections connections;
        OpenConnection& large = connections.add(this->pairs[0][0]);
        OpenConnection& small = connections.add(this->pairs[1][0]);
        connections.markRequestStarted(small);
        connections.markRequestStarted(large);
        connections.markLargeBody(large);
        connections.closeSlowestLargeBody(60000);
        CPPUNIT_ASSERT(!this->isReadClosed(0));
        connections.closeSlowestLargeBody(0);
        CPPUNIT_ASSERT(this->isReadClosed(0));
        CPPUNIT_ASSERT(!this->isReadClosed(1));
    }

private:
    bool isReadClosed(std::size_t pair) const
    {
        char byte = 0;
        return recv(this->pairs.at(pair)[0], &byte, 1, MSG_DONTWAIT) == 0;
    }

    std::array<std::array<int, 2>, 4> pairs {};
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpenConnectionsTest);

} // namespace rattan::http
