#include "relay/relay_hub.h"

#include "http/client.h"
#include "http/server.h"
#include "relay/answer_framer.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>

namespace rattan::testing {

class RelayHubTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RelayHubTest);
    CPPUNIT_TEST(passesCallsThrough);
    CPPUNIT_TEST(silentLinkLeavesTheCallerWaiting);
    CPPUNIT_TEST(closedLinkTellsAtOnce);
    CPPUNIT_TEST(delayCountsInBothDirections);
    CPPUNIT_TEST(brokenConnectionsCarryNoAnswer);
    CPPUNIT_TEST(damagedAnswers);
    CPPUNIT_TEST(framesAnswersAcrossChunks);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->server.route("GET", "/hello", [](const http::Request&) { return http::Answer { 200, "hello", "text/plain", {} }; });
        this->server.route("GET", "/faulty/:fault", [](const http::Request& request) {
            return http::Answer { 200, "hello", "text/plain", { { answerFaultHeader, request.parameter("fault") } } };
        });
        this->server.route("GET", "/broken", [this](const http::Request&) {
            if (++this->broken == 1)
                this->hub.resetConnections(this->link);
            return http::Answer { 200, "hello", "text/plain", {} };
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return this->server.start(); }));
        this->link = this->hub.open({ .target = this->server.address(), .answers = true });
    }

    void passesCallsThrough()
    {
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("hello"), this->get("/hello").body);
    }

    // A partition drops packets without a word. The caller sees a connection
    // that stays open and an answer that never comes.
    void silentLinkLeavesTheCallerWaiting()
    {
        this->hub.setRule(this->link, { .mode = LinkMode::Silent });
        const http::Reply reply = this->get("/hello");
        CPPUNIT_ASSERT(reply.error && reply.error->code == ErrorCode::Timeout);
        this->hub.setRule(this->link, {});
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), this->get("/hello").body);
    }

    void closedLinkTellsAtOnce()
    {
        this->hub.setRule(this->link, { .mode = LinkMode::Closed });
        const http::Reply reply = this->get("/hello");
        CPPUNIT_ASSERT(reply.error && reply.error->code != ErrorCode::Timeout);
    }

    void delayCountsInBothDirections()
    {
        this->hub.setRule(this->link, { .delay = 20 });
        const SystemClock clock;
        const Millis before = clock.now();
        CPPUNIT_ASSERT(this->get("/hello").ok());
        CPPUNIT_ASSERT(clock.now() - before >= 40);
    }

    // A request is carried out and its connection reset before the answer. The client sends
    // it again on a kept connection, and tells when.
    void brokenConnectionsCarryNoAnswer()
    {
        const http::Reply reply = this->get("/broken");
        CPPUNIT_ASSERT(reply.sendOutcome == http::SendOutcome::PossiblySent && reply.error->code == ErrorCode::Interrupted);
        CPPUNIT_ASSERT(this->get("/hello").ok());
        this->broken = 0;
        this->hub.setRule(this->link, { .delay = 20 });
        const http::Reply repeated = this->get("/broken");
        CPPUNIT_ASSERT(repeated.ok() && repeated.wasResent());
        CPPUNIT_ASSERT(repeated.resendDelay.count() >= 20);
        CPPUNIT_ASSERT_EQUAL(2, this->broken.load());
    }

    // An executor dies in the middle of its answer, or writes more than it said.
    // The caller must be able to see the first; the second must not become the
    // start of the next caller's answer.
    void damagedAnswers()
    {
        const http::Reply dropped = this->get("/faulty/drop");
        CPPUNIT_ASSERT(dropped.sendOutcome == http::SendOutcome::PossiblySent && dropped.body.empty());
        const http::Reply cut = this->get("/faulty/cut");
        CPPUNIT_ASSERT(cut.error.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("he"), cut.body);
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), this->get("/faulty/extra").body);
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), this->get("/hello").body);
    }

    void framesAnswersAcrossChunks()
    {
        AnswerFramer framer;
        CPPUNIT_ASSERT(framer.feed("HTTP/1.1 200 OK\r\nContent-Le").empty());
        CPPUNIT_ASSERT(framer.feed("ngth: 3\r\n\r\nab").empty());
        const auto answers = framer.feed("cHTTP/1.1 204 No Content\r\n\r\nHTTP");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, answers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 204 No Content\r\n\r\n"), answers[1].bytes);
    }

private:
    http::Reply get(const std::string& path)
    {
        return this->client.send({ .address = this->hub.address(this->link), .path = path, .timeout = std::chrono::milliseconds(700) });
    }

    http::Server server { { .address = "127.0.0.1:0" } };
    RelayHub hub;
    http::Client client;
    LinkId link { 0 };
    std::atomic<int> broken { 0 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayHubTest);

} // namespace rattan::testing
