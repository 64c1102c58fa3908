#include "instance/request_forwarder.h"

#include "http/server.h"
#include "http/testing/dropping_peer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

using namespace rattan;
using namespace rattan::instance;

namespace {

using namespace std::chrono_literals;

// Requests carry only their path, and answers only the name of an outcome.
class FakeCallerProtocol final : public CallerProtocol {
public:
    CallerRequest parseRequest(http::Request) const override { return {}; }
    Result<tasks::Job> parseJob(const std::string&) const override { return tasks::Job {}; }
    bool isJobId(std::string_view) const override { return true; }
    http::Answer encode(const CallerAnswer&) const override { return {}; }
    http::Call encodeRequest(const CallerRequest& request) const override
    {
        return { .method = "POST", .path = request.path, .body = request.forwarded ? "relayed" : "" };
    }
    std::optional<CallerAnswer> parseAnswer(RequestKind, const http::Reply& reply) const override
    {
        for (const Outcome outcome : { Outcome::Accepted, Outcome::Cancelled, Outcome::Unknown, Outcome::NotNow, Outcome::State, Outcome::UnknownKey, Outcome::NoSuchQueue }) {
            if (reply.body == nameOf(outcome))
                return CallerAnswer { .outcome = outcome, .message = "from the other", .canPeerHelp = outcome == Outcome::NotNow };
        }
        return std::nullopt;
    }
};

CallerAnswer forwardableAnswer(Outcome outcome) { return { .outcome = outcome, .message = "own", .canPeerHelp = true }; }

class RequestForwarderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestForwarderTest);
    CPPUNIT_TEST(requestIsServedByPlanningInstance);
    CPPUNIT_TEST(requestIsForwardedOnlyIfPeerCanHelp);
    CPPUNIT_TEST(peerRefusalDoesNotReplaceUnknownOutcome);
    CPPUNIT_TEST(peerDenialFromOlderConfigurationIsIgnored);
    CPPUNIT_TEST(denialFromConfigurationReplacedMeanwhileIsIgnored);
    CPPUNIT_TEST(peerAcceptanceWithOlderConfigurationIsKept);
    CPPUNIT_TEST(unknownPeerOutcomeIsNotReplacedByRefusal);
    CPPUNIT_TEST(rejectionOfResentRequestIsUnknown);
    CPPUNIT_TEST(unreachablePeerIsAvoided);
    CPPUNIT_TEST(unreadablePeerAnswerIsUnknown);
    CPPUNIT_TEST(previousPlannerIsTriedNext);
    CPPUNIT_TEST(nextPeerIsAskedIfOneCannotHelp);
    CPPUNIT_TEST(nothingIsForwardedPastShutdownDeadline);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->server.emplace(http::ServerOptions { .address = "127.0.0.1:0" });
        this->server->fallback([this](const http::Request& request) {
            this->receivedBody = request.body;
            return http::Answer { 200, request.path.substr(1), "text/plain", {} };
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return this->server->start(); }));
        this->client.emplace(http::AsyncClientOptions {}, this->clock);
        this->forwarder.emplace(*this->client, this->protocol, this->clock, "127.0.0.1:1");
        this->forwarder->plannerSeen(this->server->address());
    }

    // The store rejects this instance and serves the others. A retry after a second would use up
    // most of the delay that an urgent job can afford.
    void requestIsServedByPlanningInstance()
    {
        const CallerAnswer answer = this->forward(Outcome::Accepted, forwardableAnswer(Outcome::NotNow));
        CPPUNIT_ASSERT(answer.outcome == Outcome::Accepted);
        CPPUNIT_ASSERT_EQUAL(std::string("relayed"), this->receivedBody);
    }

    void requestIsForwardedOnlyIfPeerCanHelp()
    {
        CallerRequest request;
        CPPUNIT_ASSERT(this->forwarder->shouldForward(request, forwardableAnswer(Outcome::NotNow), 0));
        CPPUNIT_ASSERT(!this->forwarder->shouldForward(request, forwardableAnswer(Outcome::NotNow), 2700)); // Not enough time is left.
        CPPUNIT_ASSERT(!this->forwarder->shouldForward(request, { .outcome = Outcome::UnknownKey }, 0));
        request.forwarded = true;
        CPPUNIT_ASSERT(!this->forwarder->shouldForward(request, forwardableAnswer(Outcome::NotNow), 0));
    }

    // This instance's own append may still be executed. With the other instance's refusal, for
    // example because the key was revoked in the meantime, the caller would conclude that the
    // job never runs although it may.
    void peerRefusalDoesNotReplaceUnknownOutcome()
    {
        CPPUNIT_ASSERT(this->forward(Outcome::NotNow, forwardableAnswer(Outcome::Unknown)).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(this->forward(Outcome::UnknownKey, forwardableAnswer(Outcome::Unknown)).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(this->forward(Outcome::UnknownKey, forwardableAnswer(Outcome::NotNow)).outcome == Outcome::UnknownKey);
        CPPUNIT_ASSERT(this->forward(Outcome::Accepted, forwardableAnswer(Outcome::Unknown)).outcome == Outcome::Accepted);
        CPPUNIT_ASSERT(this->forward(Outcome::NotNow, forwardableAnswer(Outcome::State)).outcome == Outcome::State);
    }

    // Both instances are cut off, the other one for longer. Its "no such queue" is based on a
    // configuration that, as this instance knows, was replaced.
    void peerDenialFromOlderConfigurationIsIgnored()
    {
        CallerAnswer ownAnswer = forwardableAnswer(Outcome::NotNow);
        ownAnswer.configurationVersion = 8;
        for (const Outcome denial : { Outcome::NoSuchQueue, Outcome::UnknownKey, Outcome::State })
            CPPUNIT_ASSERT(this->forward(denial, ownAnswer).outcome == Outcome::NotNow);
    }

    // Guards against denials, by this instance or the other one, by a configuration that turned out to
    // be replaced while the request was forwarded.
    void denialFromConfigurationReplacedMeanwhileIsIgnored()
    {
        for (const Outcome ownAnswer : { Outcome::NotNow, Outcome::NoSuchQueue, Outcome::State }) {
            for (const Outcome denial : { Outcome::NotNow, Outcome::NoSuchQueue, Outcome::UnknownKey, Outcome::State }) {
                this->versionSeenMeanwhile = 8;
                CPPUNIT_ASSERT(this->forward(denial, forwardableAnswer(ownAnswer)).outcome == Outcome::NotNow);
            }
        }
    }

    // Guards against a refusal of a job that the other instance stored, and that then runs.
    void peerAcceptanceWithOlderConfigurationIsKept()
    {
        for (const Outcome outcome : { Outcome::NotNow, Outcome::UnknownKey, Outcome::NoSuchQueue }) {
            CallerAnswer ownAnswer = forwardableAnswer(outcome);
            ownAnswer.configurationVersion = 8;
            CPPUNIT_ASSERT(this->forward(Outcome::Accepted, ownAnswer).outcome == Outcome::Accepted);
            CPPUNIT_ASSERT(this->forward(Outcome::Cancelled, ownAnswer).outcome == Outcome::Cancelled);
            CPPUNIT_ASSERT(this->forward(Outcome::Unknown, ownAnswer).outcome == Outcome::Unknown);
        }
    }

    // Guards against a refusal of a job that the other instance may have stored, because its key
    // or queue is unknown here.
    void unknownPeerOutcomeIsNotReplacedByRefusal()
    {
        for (const Outcome ownAnswer : { Outcome::NotNow, Outcome::UnknownKey, Outcome::NoSuchQueue })
            CPPUNIT_ASSERT(this->forward(Outcome::Unknown, forwardableAnswer(ownAnswer)).outcome == Outcome::Unknown);
    }

    // Guards against a refusal of a job that the other instance stored at the first transmission,
    // and that then runs.
    void rejectionOfResentRequestIsUnknown()
    {
        const std::string rejection(nameOf(Outcome::NotNow));
        const http::testing::DroppingPeer peer({ { 200, std::string(nameOf(Outcome::Accepted)) }, { 200, rejection } });
        this->forwarder->plannerSeen(peer.address());
        CallerRequest request { .kind = RequestKind::Submit, .path = "/any" };
        CPPUNIT_ASSERT(this->forward(request, forwardableAnswer(Outcome::NotNow)).outcome == Outcome::Accepted);
        CPPUNIT_ASSERT(this->forward(request, forwardableAnswer(Outcome::NotNow)).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(3, peer.requests());
    }

    // The planner's machine has failed too. Forwarding each request would delay every refusal by
    // a connection attempt.
    void unreachablePeerIsAvoided()
    {
        this->server.reset();
        CPPUNIT_ASSERT(this->forward(Outcome::Accepted, forwardableAnswer(Outcome::NotNow)).outcome == Outcome::NotNow);
        CPPUNIT_ASSERT(!this->forwarder->shouldForward({}, forwardableAnswer(Outcome::NotNow), 0));
    }

    void unreadablePeerAnswerIsUnknown()
    {
        CallerRequest request;
        request.kind = RequestKind::Submit;
        request.path = "/nonsense";
        CPPUNIT_ASSERT(this->forward(request, forwardableAnswer(Outcome::NotNow)).outcome == Outcome::Unknown);
    }

    void previousPlannerIsTriedNext()
    {
        ForwardingPeers peers("own");
        peers.plannerSeen("first");
        peers.plannerSeen("second");
        peers.plannerSeen("own");
        CPPUNIT_ASSERT(peers.choose(100) == "second");
        peers.markUnreachable("second", 100);
        CPPUNIT_ASSERT(peers.choose(100) == "first");
        CPPUNIT_ASSERT(peers.choose(2100) == "second");
        peers.markUnreachable("second", 2100);
        peers.markReachable("second");
        CPPUNIT_ASSERT(peers.choose(2100) == "second");
    }

    // Guards against a refusal because the first peer is as cut off as this instance, is gone, or has
    // an older configuration, while another one serves the request.
    void nextPeerIsAskedIfOneCannotHelp()
    {
        const CallerRequest request { .kind = RequestKind::Submit, .path = "/accepted" };
        const http::testing::DroppingPeer refusing({ { 200, std::string(nameOf(Outcome::NotNow)) } });
        this->forwarder->plannerSeen(refusing.address());
        CPPUNIT_ASSERT(this->forward(request, forwardableAnswer(Outcome::NotNow)).outcome == Outcome::Accepted);
        const http::testing::DroppingPeer denying({ { 200, std::string(nameOf(Outcome::NoSuchQueue)) } });
        this->forwarder->plannerSeen(this->server->address());
        this->forwarder->plannerSeen(denying.address());
        CallerAnswer ownAnswer = forwardableAnswer(Outcome::NotNow);
        ownAnswer.configurationVersion = 8;
        CPPUNIT_ASSERT(this->forward(request, ownAnswer).outcome == Outcome::Accepted);
        this->forwarder->plannerSeen(this->server->address());
        this->forwarder->plannerSeen("127.0.0.1:9"); // Nothing listens there.
        CPPUNIT_ASSERT(this->forward(request, ownAnswer).outcome == Outcome::Accepted);
    }

    // The other instance's answer would arrive after the caller's connection was closed.
    void nothingIsForwardedPastShutdownDeadline()
    {
        this->forwarder->setAnswerDeadline(this->clock.now());
        CPPUNIT_ASSERT(!this->forwarder->shouldForward({}, forwardableAnswer(Outcome::NotNow), 0));
    }

private:
    CallerAnswer forward(Outcome peerOutcome, const CallerAnswer& ownAnswer)
    {
        CallerRequest request;
        request.kind = RequestKind::State;
        request.path = "/" + std::string(nameOf(peerOutcome));
        return this->forward(request, ownAnswer);
    }

    CallerAnswer forward(const CallerRequest& request, const CallerAnswer& ownAnswer)
    {
        std::optional<CallerAnswer> result;
        this->forwarder->forward(request, ownAnswer, 0, [&](const CallerAnswer& answer) { result = answer; });
        this->forwarder->configurationSeen(this->versionSeenMeanwhile);
        constexpr int maxIterations = 2000;
        for (int i = 0; i < maxIterations && !result; ++i)
            this->client->run(10ms);
        CPPUNIT_ASSERT(result.has_value());
        return *result;
    }

    FakeCallerProtocol protocol;
    SystemClock clock;
    std::string receivedBody;
    std::int64_t versionSeenMeanwhile { 0 };
    std::optional<http::Server> server;
    std::optional<http::AsyncClient> client;
    std::optional<RequestForwarder> forwarder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestForwarderTest);

} // namespace
