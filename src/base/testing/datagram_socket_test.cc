#include "base/datagram_socket.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;

namespace {

class DatagramSocketTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DatagramSocketTest);
    CPPUNIT_TEST(datagramsArrive);
    CPPUNIT_TEST(invalidAddressesAreRejected);
    CPPUNIT_TEST(unopenedSocketSendsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void datagramsArrive()
    {
        DatagramSocket sender;
        DatagramSocket receiver;
        CPPUNIT_ASSERT(!attemptVoid([&] { return sender.open("127.0.0.1:0"); }));
        CPPUNIT_ASSERT(!attemptVoid([&] { return receiver.open("127.0.0.1:0"); }));
        CPPUNIT_ASSERT(!receiver.receive());
        sender.send(receiver.address(), "beat 7");
        const auto datagram = receiver.receive(); // On loopback, a datagram has arrived when send() returns.
        CPPUNIT_ASSERT(datagram);
        CPPUNIT_ASSERT_EQUAL(std::string("beat 7"), datagram->text);
        CPPUNIT_ASSERT_EQUAL(sender.address(), datagram->from);
    }

    void invalidAddressesAreRejected()
    {
        DatagramSocket socket;
        for (const char* address : { "", "127.0.0.1", ":80", "localhost:80", "127.0.0.1:99999", "127.0.0.1:x" })
            CPPUNIT_ASSERT_MESSAGE(address, attemptVoid([&] { return socket.open(address); }).has_value());
    }

    void unopenedSocketSendsNothing()
    {
        const DatagramSocket socket;
        socket.send("127.0.0.1:9", "x");
        CPPUNIT_ASSERT(!socket.receive());
        CPPUNIT_ASSERT_EQUAL(std::string(), socket.address());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatagramSocketTest);

} // namespace
