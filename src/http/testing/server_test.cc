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
    CPPUNIT_TEST(stopAnswersRequestsInProgress);
    CPPUNIT_TEST(stopAnswersEveryRequestOfBusyConnections);
    CPPUNIT_TEST(stopReadsRequestsInTransfer);
    CPPUNIT_TEST(stopClosesIdleConnections);
    CPPUNIT_TEST(stopEndsDespiteUnfinishedRequest);
    CPPUNIT_TEST(stopEndsDespiteUnreadAnswer);
    CPPUNIT_TEST(halfClosedConnectionIsAnswered);
    CPPUNIT_TEST(bodyOverTheLimitIsRefusedBeforeItsEnd);
    CPPUNIT_TEST(refusedBodyIsAnsweredByItsHead);
    CPPUNIT_TEST(largeBodiesShareABudget);
    CPPUNIT_TEST(bodiesWithinTheLimitArriveWhole);
    CPPUNIT_TEST_SUITE_END();

public:
    // The server is stopped while a handler runs. Guards against closing the connection
    // before the answer: a caller whose request was a reservation could not know whether it
    // was made.
    void stopAnswersRequestsInProgress()
    {
        std::promise<void> entered;
        std::promise<void> answerAllowed;
        Server server({});
        server.route("GET", "/slow", [&](const Request&) {
            entered.set_value();
            answerAllowed.get_future().wait();
            return Answer { 200, std::string(200000, 'x'), "text/plain", {} };
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        const std::string address = server.address();
        Client client;
        auto reply = std::async(std::launch::async, [&] { return client.send({ .address = address, .path = "/slow" }); });
        entered.get_future().wait();
        auto stopped = std::async(std::launch::async, [&] { server.stop(); });
        // The stop has begun when new connections are refused.
        while (client.send({ .address = address, .path = "/nowhere", .once = true }).sendOutcome == SendOutcome::Answered) { }
        answerAllowed.set_value();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 200000 }, reply.get().body.size());
        stopped.get();
    }

    // Callers reuse their connections and always have a request in progress, so the stop
    // never finds all connections idle at the same time.
    void stopAnswersEveryRequestOfBusyConnections()
    {
        std::mutex mutex;
        std::condition_variable changed;
        int started = 0;
        int answered = 0;
        int connected = 2;
        Server server({ .stopTimeoutSeconds = 1 });
        server.route("GET", "/turn", [&](const Request&) {
            std::unique_lock lock(mutex);
            const int ordinal = ++started;
            changed.notify_all();
            changed.wait(lock, [&] { return started > ordinal || connected < 2; });
            return Answer { 200, "{}", "application/json", {} };
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        const auto sendUntilClosed = [&] {
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
        std::array<std::thread, 2> callers { std::thread(sendUntilClosed), std::thread(sendUntilClosed) };
        {
            std::unique_lock lock(mutex);
            changed.wait(lock, [&] { return started > 20; });
        }
        server.stop();
        for (std::thread& caller : callers)
            caller.join();
        CPPUNIT_ASSERT_EQUAL(started, answered);
    }

    // The header of a request is read before the stop, and its body arrives after it.
    void stopReadsRequestsInTransfer()
    {
        Server server({});
        server.route("POST", "/jobs", [](const Request& request) { return Answer { 200, request.body }; });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        RawCaller caller(server.address());
        sendHead(caller);
        auto stopped = std::async(std::launch::async, [&] { return server.stop(); });
        waitUntilRefused(server);
        caller.send("four");
        CPPUNIT_ASSERT_EQUAL(200, caller.readAnswer());
        CPPUNIT_ASSERT_EQUAL(0, caller.readAnswer());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, stopped.get().interrupted);
    }

    // A caller keeps its connection open for its next request, possibly for minutes. Guards
    // against a stop that waits for that request.
    void stopClosesIdleConnections()
    {
        Server server({});
        server.route("GET", "/jobs", [](const Request&) { return Answer { 200, "{}" }; });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        RawCaller caller(server.address());
        caller.get("/jobs");
        CPPUNIT_ASSERT_EQUAL(200, caller.readAnswer());
        constexpr Millis limit = 20000;
        const SystemClock clock;
        const Millis started = clock.now();
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, server.stop(limit).interrupted);
        CPPUNIT_ASSERT(clock.now() - started < limit);
        CPPUNIT_ASSERT_EQUAL(0, caller.readAnswer());
    }

    // A caller loses its network connection while it sends a request.
    void stopEndsDespiteUnfinishedRequest()
    {
        Server server({});
        server.route("POST", "/jobs", [](const Request& request) { return Answer { 200, request.body }; });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        RawCaller caller(server.address());
        sendHead(caller);
        const StopReport report = server.stop(20);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, report.inProgress);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, report.interrupted);
    }

    // A caller loses its network connection while it receives an answer.
    void stopEndsDespiteUnreadAnswer()
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
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, report.interrupted);
    }

    // The end of the input arrives together with a request, as it does when a stopping server
    // shuts down the read side. The request must still be answered.
    void halfClosedConnectionIsAnswered()
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

    // Guards against bodies that are read to their end although they are refused.
    void bodyOverTheLimitIsRefusedBeforeItsEnd()
    {
        Server server({ .maxBodyBytes = 1000 });
        server.route("POST", "/jobs", [](const Request&) { return Answer { 200, "{}" }; });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        for (const std::string framing : { "Content-Length: 1000000000\r\n\r\nx", "Transfer-Encoding: chunked\r\n\r\n40000000\r\n" }) {
            RawCaller caller(server.address());
            caller.send("POST /jobs HTTP/1.1\r\nHost: test\r\n" + framing + std::string(1001, 'x'));
            CPPUNIT_ASSERT_EQUAL(413, caller.readAnswer());
            CPPUNIT_ASSERT_EQUAL(0, caller.readAnswer());
        }
    }

    // Guards against a rejection of what was done before: the head says what is asked for.
    void refusedBodyIsAnsweredByItsHead()
    {
        Server server({ .currentMaxBodyBytes = [] { return 10; } });
        server.refusedBodies([](const Request& request) {
            const bool isHead = request.path == "/jobs" && request.header("x-api-key") == "k" && request.body.empty() && request.bodyRefusal == BodyRefusal::TooLarge;
            return Answer { isHead ? 202 : 500, "{}" };
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        CPPUNIT_ASSERT_EQUAL(202, Client().send({ .method = "POST", .address = server.address(), .path = "/jobs", .body = std::string(11, 'x'), .headers = { { "X-Api-Key", "k" } } }).status);
    }

    // Guards against memory that grows with the number of connections, and against small requests
    // that are refused for the bodies of others.
    void largeBodiesShareABudget()
    {
        Server server({ .maxBodyBytes = 20000, .smallBodyBytes = 100, .bodyBudgetBytes = 25000 });
        server.route("POST", "/jobs", [](const Request& request) { return Answer { 200, std::to_string(request.body.size()) }; });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        const std::string head = "POST /jobs HTTP/1.1\r\nHost: test\r\nConnection: close\r\nContent-Length: 20000\r\n";
        RawCaller first(server.address());
        first.send(head + "Expect: 100-continue\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(100, first.readAnswer());
        first.send(std::string(10000, 'x'));
        waitUntilBusy(server);
        RawCaller second(server.address());
        second.send(head + "\r\n" + std::string(20000, 'x'));
        CPPUNIT_ASSERT_EQUAL(503, second.readAnswer());
        CPPUNIT_ASSERT_EQUAL(200, Client().send({ .method = "POST", .address = server.address(), .path = "/jobs", .body = std::string(100, 'x') }).status);
        first.send(std::string(10000, 'x'));
        CPPUNIT_ASSERT_EQUAL(200, first.readAnswer());
        CPPUNIT_ASSERT_EQUAL(0, first.readAnswer()); // When its connection closes, its memory is released.
        RawCaller third(server.address());
        third.send(head + "\r\n" + std::string(20000, 'x'));
        CPPUNIT_ASSERT_EQUAL(200, third.readAnswer());
    }

    // Guards against bodies that lose bytes, or requests that keep those of an earlier one.
    void bodiesWithinTheLimitArriveWhole()
    {
        Server server({ .maxBodyBytes = 300000, .bodyBudgetBytes = 200000 });
        server.route("POST", "/jobs", [](const Request& request) { return Answer { 200, request.body }; });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        Client client;
        for (const std::size_t size : { std::size_t { 300000 }, std::size_t { 0 }, std::size_t { 1 }, std::size_t { 8192 }, std::size_t { 8193 }, std::size_t { 100000 } }) {
            std::string body(size, ' ');
            for (std::size_t i = 0; i < size; ++i)
                body[i] = static_cast<char>('a' + i * i % 23);
            CPPUNIT_ASSERT(client.send({ .method = "POST", .address = server.address(), .path = "/jobs", .body = body }).body == body);
        }
    }

private:
    // Returns after the server has read the header of a request with a body of four bytes.
    static void sendHead(RawCaller& caller)
    {
        caller.send("POST /jobs HTTP/1.1\r\nHost: test\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(100, caller.readAnswer());
    }

    // Returns when a large body has taken its part of the budget.
    static void waitUntilBusy(const Server& server)
    {
        while (server.reservedBodyBytes() == 0)
            std::this_thread::yield();
    }

    // Returns when new connections are refused.
    static void waitUntilRefused(const Server& server)
    {
        Client client;
        while (client.send({ .address = server.address(), .path = "/nowhere", .once = true }).sendOutcome == SendOutcome::Answered) { }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTest);

} // namespace rattan::http
