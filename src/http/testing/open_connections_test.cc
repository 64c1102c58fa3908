#include "http/open_connections.h"

#include <array>
#include <cerrno>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

namespace rattan::http {

class OpenConnectionsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OpenConnectionsTest);
    CPPUNIT_TEST(eachConnectionEndsOnceNothingIsInProgressOnIt);
    CPPUNIT_TEST(requestsAreCountedByWhatWasRead);
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

    // A connection ended too soon cuts the rest of a request, one that is forgotten takes
    // requests until the process is gone.
    void eachConnectionEndsOnceNothingIsInProgressOnIt()
    {
        OpenConnections connections;
        OpenConnection& idle = connections.opened(this->pairs[0][0]);
        OpenConnection& busy = connections.opened(this->pairs[1][0]);
        connections.began(busy);
        connections.end();
        CPPUNIT_ASSERT(this->isEnded(0));
        CPPUNIT_ASSERT(!this->isEnded(1));
        connections.tookOver(busy);
        CPPUNIT_ASSERT(!this->isEnded(1));
        connections.finished(busy);
        CPPUNIT_ASSERT(this->isEnded(1));
        OpenConnection& late = connections.opened(this->pairs[2][0]);
        CPPUNIT_ASSERT(this->isEnded(2));
        connections.closing(idle);
        connections.closing(busy);
        CPPUNIT_ASSERT(!connections.waitUntilNone(0));
        connections.closing(late);
        CPPUNIT_ASSERT(connections.waitUntilNone(0));
    }

    void requestsAreCountedByWhatWasRead()
    {
        OpenConnections connections;
        OpenConnection& first = connections.opened(this->pairs[0][0]);
        OpenConnection& second = connections.opened(this->pairs[1][0]);
        connections.opened(this->pairs[2][0]);
        connections.began(first);
        connections.began(second);
        connections.tookOver(second);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, connections.inProgress());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, connections.answering());
        connections.finished(second);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, connections.inProgress());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, connections.answering());
    }

private:
    bool isEnded(std::size_t pair) const
    {
        char byte = 0;
        return recv(this->pairs.at(pair)[0], &byte, 1, MSG_DONTWAIT) == 0;
    }

    std::array<std::array<int, 2>, 3> pairs {};
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpenConnectionsTest);

} // namespace rattan::http
