#include "http/server.h"

#include "http/client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <future>

namespace rattan::http {

class ServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerTest);
    CPPUNIT_TEST(stopCutsNoRequestInProgress);
    CPPUNIT_TEST_SUITE_END();

public:
    // A planned stop comes while a handler works. The caller whose hold was just
    // made would see its connection cut and could not know whether it has seats.
    void stopCutsNoRequestInProgress()
    {
        std::promise<void> entered;
        std::promise<void> mayAnswer;
        Server server({});
        server.route("GET", "/slow", [&](const Request&) {
            entered.set_value();
            mayAnswer.get_future().wait();
            return Answer { 200, std::string(200000, 'x'), "text/plain", {} };
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        const std::string address = server.address();
        Client client;
        auto reply = std::async(std::launch::async, [&] { return client.send({ .address = address, .path = "/slow" }); });
        entered.get_future().wait();
        auto stopped = std::async(std::launch::async, [&] { server.stop(); });
        // Once nobody is let in any more, the stop is under way.
        while (client.send({ .address = address, .path = "/nowhere", .once = true }).sent == Sent::Answered) { }
        mayAnswer.set_value();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 200000 }, reply.get().body.size());
        stopped.get();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTest);

} // namespace rattan::http
