#include "http/server.h"

#include "http/client.h"
#include "http/testing/raw_caller.h"

#include <array>
#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <mutex>
#include <thread>

namespace rattan::http {

using testing::RawCaller;

class ServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerTest);
    CPPUNIT_TEST(stopCutsNoRequestInProgress);
    CPPUNIT_TEST(stopCutsNoCallerThatGoesOnSending);
    CPPUNIT_TEST(stopCutsNoRequestThatIsBeingRead);
    CPPUNIT_TEST(stopWaitsForNoIdleConnection);
    CPPUNIT_TEST(stopEndsThoughARequestStaysHalfSent);
    CPPUNIT_TEST(stopEndsThoughAnAnswerIsNeverRead);
    CPPUNIT_TEST(whoSendsNoMoreIsAnswered);
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

    // Callers keep their connections and always have a request in progress, so the stop
    // never finds a moment without one.
    void stopCutsNoCallerThatGoesOnSending()
    {
        std::mutex mutex;
        std::condition_variable changed;
        int begun = 0;
        int answered = 0;
        int connected = 2;
        Server server({ .stopSeconds = 1 });
        server.route("GET", "/turn", [&](const Request&) {
            std::unique_lock lock(mutex);
            const int own = ++begun;
            changed.notify_all();
            changed.wait(lock, [&] { return begun > own || connected < 2; });
            return Answer { 200, "{}", "application/json", {} };
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        const auto goOnSending = [&] {
            RawCaller caller(server.address());
            for (int status = 200; status == 200;) {
                caller.get("/turn");
                status = caller.readAnswer();
                const std::lock_guard lock(mutex);
                answered += status == 200 ? 1 : 0;
            }
            const std::lock_guard lock(mutex);
            --connected;
            changed.notify_all();
        };
        std::array<std::thread, 2> callers { std::thread(goOnSending), std::thread(goOnSending) };
        {
            std::unique_lock lock(mutex);
            changed.wait(lock, [&] { return begun > 20; });
        }
        server.stop();
        for (std::thread& caller : callers)
            caller.join();
        CPPUNIT_ASSERT_EQUAL(begun, answered);
    }

    // A body comes slowly, and its head was read before the stop.
    void stopCutsNoRequestThatIsBeingRead()
    {
        Server server({});
        server.route("POST", "/jobs", [](const Request& request) { return Answer { 200, request.body }; });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        RawCaller caller(server.address());
        sendHead(caller);
        auto stopped = std::async(std::launch::async, [&] { return server.stop(); });
        awaitStop(server);
        caller.send("four");
        CPPUNIT_ASSERT_EQUAL(200, caller.readAnswer());
        CPPUNIT_ASSERT_EQUAL(0, caller.readAnswer());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, stopped.get().cut);
    }

    // A caller keeps its connection for its next request, which may be minutes away.
    void stopWaitsForNoIdleConnection()
    {
        Server server({});
        server.route("GET", "/jobs", [](const Request&) { return Answer { 200, "{}" }; });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        RawCaller caller(server.address());
        caller.get("/jobs");
        CPPUNIT_ASSERT_EQUAL(200, caller.readAnswer());
        constexpr Millis limit = 20000;
        const SystemClock clock;
        const Millis begun = clock.now();
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, server.stop(limit).cut);
        CPPUNIT_ASSERT(clock.now() - begun < limit);
        CPPUNIT_ASSERT_EQUAL(0, caller.readAnswer());
    }

    // A caller is cut off from the network in the middle of its request.
    void stopEndsThoughARequestStaysHalfSent()
    {
        Server server({});
        server.route("POST", "/jobs", [](const Request& request) { return Answer { 200, request.body }; });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        RawCaller caller(server.address());
        sendHead(caller);
        const StopReport report = server.stop(20);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, report.inProgress);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, report.cut);
    }

    // A caller is cut off from the network in the middle of an answer.
    void stopEndsThoughAnAnswerIsNeverRead()
    {
        std::promise<void> entered;
        Server server({});
        server.route("GET", "/long", [&](const Request&) {
            entered.set_value();
            return Answer { 200, std::string(64 << 20, 'x') };
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        RawCaller caller(server.address());
        caller.get("/long");
        entered.get_future().wait();
        const StopReport report = server.stop(20);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, report.inProgress);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, report.cut);
    }

    // The end of what can be read comes together with a request: so it is at a stop.
    void whoSendsNoMoreIsAnswered()
    {
        Server server({});
        server.route("GET", "/jobs", [](const Request&) { return Answer { 200, "{}" }; });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        for (int i = 0; i < 200; ++i) {
            RawCaller caller(server.address());
            caller.get("/jobs");
            caller.endSending();
            CPPUNIT_ASSERT_EQUAL(200, caller.readAnswer());
        }
    }

private:
    // Returns once the server has read the head of a request with a body of four bytes.
    static void sendHead(RawCaller& caller)
    {
        caller.send("POST /jobs HTTP/1.1\r\nHost: test\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(100, caller.readAnswer());
    }

    // Returns once nobody is let in any more.
    static void awaitStop(const Server& server)
    {
        Client client;
        while (client.send({ .address = server.address(), .path = "/nowhere", .once = true }).sent == Sent::Answered) { }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTest);

} // namespace rattan::http
