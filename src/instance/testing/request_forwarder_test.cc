#include "instance/request_forwarder.h"

#include "http/server.h"
#include "http/testing/dropping_peer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

using namespace rattan;
using namespace rattan::instance;

namespace {

using namespace std::chrono_literals;

// What passes between instances here: the path, and the name of an outcome.
class PlainProtocol final : public CallerProtocol {
public:
    CallerRequest parseRequest(const http::Request&) const override { return {}; }
    Result<tasks::Job> parseJob(const std::string&) const override { return tasks::Job {}; }
    bool isJobId(std::string_view) const override { return true; }
    http::Answer encode(const CallerAnswer&) const override { return {}; }
    http::Call encodeRequest(const CallerRequest& request) const override
    {
        return { .method = "POST", .path = request.path, .body = request.relayed ? "relayed" : "" };
    }
    std::optional<CallerAnswer> parseAnswer(RequestKind, const http::Reply& reply) const override
    {
        for (const Outcome outcome : { Outcome::Accepted, Outcome::Cancelled, Outcome::Unknown, Outcome::NotNow, Outcome::State, Outcome::UnknownKey, Outcome::NoSuchQueue }) {
            if (reply.body == nameOf(outcome))
                return CallerAnswer { .outcome = outcome, .message = "from the other" };
        }
        return std::nullopt;
    }
};

CallerAnswer wanting(Outcome outcome) { return { .outcome = outcome, .message = "own", .wantsStore = true }; }

class RelayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(aRequestIsServedByTheInstanceThatPlans);
    CPPUNIT_TEST(requestsArePassedOnOnlyWhereItHelps);
    CPPUNIT_TEST(anUnknownOutcomeStaysUnknown);
    CPPUNIT_TEST(aPeerWithAnOlderConfigurationIsNotBelieved);
    CPPUNIT_TEST(whatAPeerAcceptedByAnOlderConfigurationIsAccepted);
    CPPUNIT_TEST(whatAPeerMayHaveDoneIsNotDenied);
    CPPUNIT_TEST(aRejectionOfWhatWasSentTwiceLeavesTheOutcomeUnknown);
    CPPUNIT_TEST(aPeerThatIsGoneIsAvoided);
    CPPUNIT_TEST(anAnswerThatNeverComesMayHaveStoredIt);
    CPPUNIT_TEST(thePlannerBeforeIsAskedNext);
    CPPUNIT_TEST(nothingIsPassedOnThatAStopWouldCut);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->server.emplace(http::ServerOptions { .address = "127.0.0.1:0" });
        this->server->fallback([this](const http::Request& request) {
            this->seen = request.body;
            return http::Answer { 200, request.path.substr(1), "text/plain", {} };
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return this->server->start(); }));
        this->client.emplace(http::AsyncClientOptions {}, this->clock);
        this->relay.emplace(*this->client, this->protocol, this->clock, "127.0.0.1:1");
        this->relay->planned(this->server->address());
    }

    // The store turns this instance away and serves the others. A caller who is told
    // to come back in a second has lost most of what an urgent job has to spare.
    void aRequestIsServedByTheInstanceThatPlans()
    {
        const CallerAnswer answer = this->pass(Outcome::Accepted, wanting(Outcome::NotNow));
        CPPUNIT_ASSERT(answer.outcome == Outcome::Accepted);
        CPPUNIT_ASSERT_EQUAL(std::string("relayed"), this->seen);
    }

    void requestsArePassedOnOnlyWhereItHelps()
    {
        CallerRequest request;
        CPPUNIT_ASSERT(this->relay->wants(request, wanting(Outcome::NotNow), 0));
        CPPUNIT_ASSERT(!this->relay->wants(request, wanting(Outcome::NotNow), 2700)); // No time is left.
        CPPUNIT_ASSERT(!this->relay->wants(request, { .outcome = Outcome::UnknownKey }, 0));
        request.relayed = true;
        CPPUNIT_ASSERT(!this->relay->wants(request, wanting(Outcome::NotNow), 0));
    }

    // This instance's own append may still be carried out. A refusal by the other one,
    // also for a key that was withdrawn meanwhile, would tell the caller that the job
    // never runs, and then it does.
    void anUnknownOutcomeStaysUnknown()
    {
        CPPUNIT_ASSERT(this->pass(Outcome::NotNow, wanting(Outcome::Unknown)).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(this->pass(Outcome::UnknownKey, wanting(Outcome::Unknown)).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(this->pass(Outcome::UnknownKey, wanting(Outcome::NotNow)).outcome == Outcome::UnknownKey);
        CPPUNIT_ASSERT(this->pass(Outcome::Accepted, wanting(Outcome::Unknown)).outcome == Outcome::Accepted);
        CPPUNIT_ASSERT(this->pass(Outcome::NotNow, wanting(Outcome::State)).outcome == Outcome::State);
    }

    // Both are cut off, the other one for longer. Its answer that there is no such queue
    // comes from a text that was replaced, which this instance knows.
    void aPeerWithAnOlderConfigurationIsNotBelieved()
    {
        CallerAnswer own = wanting(Outcome::NotNow);
        own.configurationVersion = 8;
        for (const Outcome denial : { Outcome::NoSuchQueue, Outcome::UnknownKey, Outcome::State })
            CPPUNIT_ASSERT(this->pass(denial, own).outcome == Outcome::NotNow);
    }

    // A job that the other instance had stored was rejected, and ran.
    void whatAPeerAcceptedByAnOlderConfigurationIsAccepted()
    {
        for (const Outcome outcome : { Outcome::NotNow, Outcome::UnknownKey, Outcome::NoSuchQueue }) {
            CallerAnswer own = wanting(outcome);
            own.configurationVersion = 8;
            CPPUNIT_ASSERT(this->pass(Outcome::Accepted, own).outcome == Outcome::Accepted);
            CPPUNIT_ASSERT(this->pass(Outcome::Cancelled, own).outcome == Outcome::Cancelled);
            CPPUNIT_ASSERT(this->pass(Outcome::Unknown, own).outcome == Outcome::Unknown);
        }
    }

    // A job that the other instance may have stored was denied by a key or queue that is
    // not known here.
    void whatAPeerMayHaveDoneIsNotDenied()
    {
        for (const Outcome own : { Outcome::NotNow, Outcome::UnknownKey, Outcome::NoSuchQueue })
            CPPUNIT_ASSERT(this->pass(Outcome::Unknown, wanting(own)).outcome == Outcome::Unknown);
    }

    // A job that the other instance stored at the first transmission was rejected, and ran.
    void aRejectionOfWhatWasSentTwiceLeavesTheOutcomeUnknown()
    {
        const std::string rejection(nameOf(Outcome::NotNow));
        const http::testing::DroppingPeer peer({ { 200, std::string(nameOf(Outcome::Accepted)) }, { 200, rejection } });
        this->relay->planned(peer.address());
        CallerRequest request { .kind = RequestKind::Submit, .path = "/any" };
        CPPUNIT_ASSERT(this->pass(request, wanting(Outcome::NotNow)).outcome == Outcome::Accepted);
        CPPUNIT_ASSERT(this->pass(request, wanting(Outcome::NotNow)).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(3, peer.requests());
    }

    // The planner's machine is gone as well. Offering it each request would cost every
    // caller a connection attempt before the refusal that it gets anyway.
    void aPeerThatIsGoneIsAvoided()
    {
        this->server.reset();
        CPPUNIT_ASSERT(this->pass(Outcome::Accepted, wanting(Outcome::NotNow)).outcome == Outcome::NotNow);
        CPPUNIT_ASSERT(!this->relay->wants({}, wanting(Outcome::NotNow), 0));
    }

    void anAnswerThatNeverComesMayHaveStoredIt()
    {
        CallerRequest request;
        request.kind = RequestKind::Submit;
        request.path = "/nonsense";
        CPPUNIT_ASSERT(this->pass(request, wanting(Outcome::NotNow)).outcome == Outcome::Unknown);
    }

    void thePlannerBeforeIsAskedNext()
    {
        RelayPeers peers("own");
        peers.planned("first");
        peers.planned("second");
        peers.planned("own");
        CPPUNIT_ASSERT(peers.choose(100) == "second");
        peers.failed("second", 100);
        CPPUNIT_ASSERT(peers.choose(100) == "first");
        CPPUNIT_ASSERT(peers.choose(2100) == "second");
        peers.failed("second", 2100);
        peers.answered("second");
        CPPUNIT_ASSERT(peers.choose(2100) == "second");
    }

    // The other instance's answer would come after the connection of the caller closed.
    void nothingIsPassedOnThatAStopWouldCut()
    {
        this->relay->answerEverythingBy(this->clock.now());
        CPPUNIT_ASSERT(!this->relay->wants({}, wanting(Outcome::NotNow), 0));
    }

private:
    CallerAnswer pass(Outcome others, const CallerAnswer& own)
    {
        CallerRequest request;
        request.kind = RequestKind::State;
        request.path = "/" + std::string(nameOf(others));
        return this->pass(request, own);
    }

    CallerAnswer pass(const CallerRequest& request, const CallerAnswer& own)
    {
        std::optional<CallerAnswer> result;
        this->relay->pass(request, own, 0, [&](const CallerAnswer& answer) { result = answer; });
        constexpr int mostRuns = 2000;
        for (int i = 0; i < mostRuns && !result; ++i)
            this->client->run(10ms);
        CPPUNIT_ASSERT(result.has_value());
        return *result;
    }

    PlainProtocol protocol;
    SystemClock clock;
    std::string seen;
    std::optional<http::Server> server;
    std::optional<http::AsyncClient> client;
    std::optional<Relay> relay;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

} // namespace
