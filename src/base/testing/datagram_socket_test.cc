#include "base/datagram_socket.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;

namespace {

class DatagramSocketTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DatagramSocketTest);
    CPPUNIT_TEST(datagramsArrive);
    CPPUNIT_TEST(strangeAddressesAreRefused);
    CPPUNIT_TEST(nothingIsSentBeforeItIsOpen);
    CPPUNIT_TEST_SUITE_END();

public:
    void datagramsArrive()
    {
        DatagramSocket left;
        DatagramSocket right;
        CPPUNIT_ASSERT(!attemptVoid([&] { return left.open("127.0.0.1:0"); }));
        CPPUNIT_ASSERT(!attemptVoid([&] { return right.open("127.0.0.1:0"); }));
        CPPUNIT_ASSERT(!right.receive());
        left.send(right.address(), "beat 7");
        const auto datagram = right.receive(); // On loopback it is there when send returns.
        CPPUNIT_ASSERT(datagram);
        CPPUNIT_ASSERT_EQUAL(std::string("beat 7"), datagram->text);
        CPPUNIT_ASSERT_EQUAL(left.address(), datagram->from);
    }

    void strangeAddressesAreRefused()
    {
        DatagramSocket socket;
        for (const char* strange : { "", "127.0.0.1", ":80", "localhost:80", "127.0.0.1:99999", "127.0.0.1:x" })
            CPPUNIT_ASSERT_MESSAGE(strange, attemptVoid([&] { return socket.open(strange); }).has_value());
    }

    void nothingIsSentBeforeItIsOpen()
    {
        const DatagramSocket socket;
        socket.send("127.0.0.1:9", "x");
        CPPUNIT_ASSERT(!socket.receive());
        CPPUNIT_ASSERT_EQUAL(std::string(), socket.address());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatagramSocketTest);

} // namespace
