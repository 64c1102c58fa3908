#include "http/async_client.h"

#include "http/server.h"
#include "http/testing/dropping_peer.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <ctime>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <optional>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rattan::http {

namespace {

    using namespace std::chrono_literals;
    using testing::DroppingPeer;
    using testing::listenOnLoopback;

    // Accepts connections and never answers.
    class SilentPeer {
    public:
        explicit SilentPeer(int backlog = 1000)
            : socket(::socket(AF_INET, SOCK_STREAM, 0))
        {
            this->port = listenOnLoopback(this->socket, backlog);
        }
        ~SilentPeer() { close(this->socket); }
        SilentPeer(const SilentPeer&) = delete;
        SilentPeer& operator=(const SilentPeer&) = delete;

        std::string address() const { return fmt::format("127.0.0.1:{}", this->port); }

    private:
        int socket;
        int port { 0 };
    };

    // Accepts connections, reads a request on each, and answers all of them on demand.
    class HoldingPeer {
    public:
        HoldingPeer()
            : listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
        {
            constexpr int backlog = 1000;
            this->port = listenOnLoopback(this->listener, backlog);
        }
        ~HoldingPeer()
        {
            for (const int connection : this->connections)
                close(connection);
            close(this->listener);
        }
        HoldingPeer(const HoldingPeer&) = delete;
        HoldingPeer& operator=(const HoldingPeer&) = delete;

        std::string address() const { return fmt::format("127.0.0.1:{}", this->port); }

        // Accepts connections and reads requests that have arrived. Returns the number of
        // requests so far.
        std::size_t readRequests()
        {
            for (int connection = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK); connection >= 0; connection = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK))
                this->connections.push_back(connection);
            std::array<char, 4096> buffer {};
            for (const int connection : this->connections)
                this->requests += read(connection, buffer.data(), buffer.size()) > 0 ? 1 : 0;
            return this->requests;
        }

        // Returns when the client's socket has received every answer.
        void answerAllRequests() { this->sendAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); }

        // Sends an answer or a part of one on every connection, and returns when it has arrived.
        void sendAll(const std::string& answer)
        {
            for (const int connection : this->connections) {
                CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(answer.size()), write(connection, answer.data(), answer.size()));
                int unacknowledged = 1;
                while (unacknowledged > 0)
                    CPPUNIT_ASSERT_EQUAL(0, ioctl(connection, SIOCOUTQ, &unacknowledged));
            }
        }

    private:
        int listener;
        int port { 0 };
        std::vector<int> connections;
        std::size_t requests { 0 };
    };

    std::function<void()> answerDuringSignal; // Called by a signal handler; makes only system calls.

    // Whether the thread waits in the kernel, by its file in /proc.
    bool isSleeping(const std::string& threadState)
    {
        std::ifstream file(threadState);
        std::string text;
        std::getline(file, text);
        const std::size_t nameEnd = text.rfind(") ");
        return nameEnd != std::string::npos && text.substr(nameEnd + 2, 1) == "S";
    }

    double threadCpuSeconds()
    {
        timespec cpuTime {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpuTime);
        constexpr double nanosPerSecond = 1e9;
        return static_cast<double>(cpuTime.tv_sec) + static_cast<double>(cpuTime.tv_nsec) / nanosPerSecond;
    }

} // namespace

class AsyncClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AsyncClientTest);
    CPPUNIT_TEST(roundTrip);
    CPPUNIT_TEST(callsBeyondConnectionLimitAreQueued);
    CPPUNIT_TEST(handlerCanSend);
    CPPUNIT_TEST(silentPeerTimesOut);
    CPPUNIT_TEST(receivedAnswersDoNotTimeOut);
    CPPUNIT_TEST(receivedAnswersDoNotTimeOutAfterBacklog);
    CPPUNIT_TEST(answersThatArriveDuringASignalAreRead);
    CPPUNIT_TEST(requestsSentAfterTheirTimeoutWaitForAnAnswer);
    CPPUNIT_TEST(silentPeerTimesOutUnderLoad);
    CPPUNIT_TEST(connectTimeoutSendsNothing);
    CPPUNIT_TEST(refusedConnectionSendsNothing);
    CPPUNIT_TEST(deadConnectionIsReplaced);
    CPPUNIT_TEST(callWithoutResendFailsOnDeadConnection);
    CPPUNIT_TEST(transmissionsAreCounted);
    CPPUNIT_TEST(cancelledCallsDoNotCallHandler);
    CPPUNIT_TEST(wakeEndsWait);
    CPPUNIT_TEST(trafficIsCountedByPurpose);
    CPPUNIT_TEST(slowAnswerDoesNotTimeOut);
    CPPUNIT_TEST(pendingCallsDoNotSlowOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->startServer("127.0.0.1:0");
        this->client.emplace(AsyncClientOptions { .maxConnectionsPerPeer = 1000 }, this->clock);
    }

    void roundTrip()
    {
        const Reply reply = this->call({ .method = "POST", .address = this->server->address(), .path = "/echo", .body = "hello" });
        CPPUNIT_ASSERT(reply.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), reply.body);
    }

    // Guards against a large answer over a slow link that times out and is requested again
    // forever, because its transfer takes longer than the timeout.
    void slowAnswerDoesNotTimeOut()
    {
        this->useManualClock();
        HoldingPeer first;
        HoldingPeer second;
        std::optional<Reply> idleTimeoutReply;
        std::optional<Reply> totalTimeoutReply;
        this->client->send({ .address = first.address(), .timeout = 100ms, .restartTimeoutOnData = true }, [&](const Reply& reply) { idleTimeoutReply = reply; });
        this->client->send({ .address = second.address(), .timeout = 100ms }, [&](const Reply& reply) { totalTimeoutReply = reply; });
        this->runUntil([&] { return first.readRequests() == 1 && second.readRequests() == 1; });
        const std::string parts = "12345";
        const std::string headers = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", parts.size());
        first.sendAll(headers);
        second.sendAll(headers);
        for (const char part : parts) {
            this->client->run(0ms);
            this->manualClock.advance(60);
            this->client->run(0ms);
            first.sendAll(std::string(1, part));
            if (!totalTimeoutReply)
                second.sendAll(std::string(1, part));
        }
        this->runUntil([&] { return idleTimeoutReply.has_value(); });
        CPPUNIT_ASSERT_EQUAL(parts, idleTimeoutReply->body);
        CPPUNIT_ASSERT(totalTimeoutReply && totalTimeoutReply->error->code == ErrorCode::Timeout);
    }

    // Calls time out on a machine whose link is saturated. Without these counters, the traffic
    // that saturates it cannot be determined.
    void trafficIsCountedByPurpose()
    {
        const std::string body(1000, 'x');
        const SilentPeer silent;
        this->call({ .method = "POST", .address = this->server->address(), .path = "/echo", .body = body, .purpose = "poll" });
        this->call({ .method = "POST", .address = this->server->address(), .path = "/echo", .body = body, .purpose = "poll" });
        this->call({ .address = silent.address(), .timeout = 20ms, .purpose = "start" });
        const Traffic& polls = this->client->traffic().at("poll");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), polls.calls);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), polls.connections);
        CPPUNIT_ASSERT(polls.bytesSent > 2 * body.size() && polls.bytesSent < 3 * body.size());
        CPPUNIT_ASSERT(polls.bytesReceived > 2 * body.size() && polls.bytesReceived < 3 * body.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), this->client->traffic().at("start").calls);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), this->client->traffic().at("start").bytesReceived);
    }

    void callsBeyondConnectionLimitAreQueued()
    {
        this->client.emplace(AsyncClientOptions { .maxConnectionsPerPeer = 2 }, this->clock);
        int answered = 0;
        constexpr int calls = 20;
        for (int i = 0; i < calls; ++i)
            this->client->send({ .address = this->server->address(), .path = "/echo" }, [&](const Reply& reply) { answered += reply.ok() ? 1 : 0; });
        this->runUntil([&] { return answered == calls; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->client->callsInFlight());
    }

    void handlerCanSend()
    {
        std::optional<Reply> second;
        this->client->send({ .address = this->server->address(), .path = "/echo" }, [&](const Reply&) {
            this->client->send({ .address = this->server->address(), .path = "/echo" }, [&](const Reply& reply) { second = reply; });
        });
        this->runUntil([&] { return second.has_value(); });
        CPPUNIT_ASSERT(second->ok());
    }

    // A peer receives the request and loses its network connection before it answers. Without
    // the timeout, the call would never end.
    void silentPeerTimesOut()
    {
        const SilentPeer silent;
        const Reply reply = this->call({ .address = silent.address(), .timeout = 60ms });
        CPPUNIT_ASSERT(reply.error.has_value());
        CPPUNIT_ASSERT(reply.sendOutcome == SendOutcome::PossiblySent);
        CPPUNIT_ASSERT(reply.error->code == ErrorCode::Timeout);
    }

    // A starved or suspended machine resumes after the timeouts of its calls, when every
    // answer has already arrived. Guards against reporting these calls as failed: the planner
    // would stop gangs whose starts were answered, and their callers would wait seconds for
    // a second start. There are more answers here than one pass of the client reads.
    void receivedAnswersDoNotTimeOut()
    {
        HoldingPeer peer;
        this->useManualClock();
        constexpr std::size_t calls = 200;
        std::size_t answered = 0;
        std::size_t failed = 0;
        for (std::size_t i = 0; i < calls; ++i)
            this->client->send({ .address = peer.address(), .timeout = 230ms }, [&](const Reply& reply) { ++(reply.ok() ? answered : failed); });
        this->runUntil([&] { return peer.readRequests() == calls; });
        peer.answerAllRequests();
        this->manualClock.advance(10'000);
        this->runUntil([&] { return answered + failed == calls; });
        CPPUNIT_ASSERT_EQUAL(calls, answered);
    }

    // Guards against reporting answered calls as timed out because the pass before a suspension
    // left answers unread: the time of the suspension would count as time in which the client
    // could not keep up.
    void receivedAnswersDoNotTimeOutAfterBacklog()
    {
        for (const int passesAfterDeadline : { 0, 1 }) {
            HoldingPeer peer;
            this->useManualClock();
            constexpr std::size_t calls = 200;
            std::size_t answered = 0;
            std::size_t failed = 0;
            for (std::size_t i = 0; i < calls; ++i)
                this->client->send({ .address = peer.address(), .timeout = 230ms }, [&](const Reply& reply) { ++(reply.ok() ? answered : failed); });
            this->runUntil([&] { return peer.readRequests() == calls; });
            peer.answerAllRequests();
            this->manualClock.advance(passesAfterDeadline == 0 ? 0 : 300);
            this->client->run(0ms);
            CPPUNIT_ASSERT(answered > 0 && answered < calls);
            this->manualClock.advance(10'000);
            this->runUntil([&] { return answered + failed == calls; });
            CPPUNIT_ASSERT_EQUAL(calls, answered);
        }
    }

    // Guards against a process that was stopped and decides on the time that has passed before it
    // reads what has arrived meanwhile: the wait for sockets ends by the signal alone then.
    void answersThatArriveDuringASignalAreRead()
    {
        HoldingPeer peer;
        bool answered = false;
        this->client->send({ .address = peer.address(), .timeout = 60s, .connectTimeout = 60s }, [&](const Reply& reply) { answered = reply.ok(); });
        this->runUntil([&] { return peer.readRequests() == 1; });
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        answerDuringSignal = [&] { peer.sendAll(answer); };
        struct sigaction action { };
        struct sigaction previous { };
        action.sa_handler = [](int) { answerDuringSignal(); };
        sigaction(SIGUSR1, &action, &previous);
        const pthread_t waitingThread = pthread_self();
        const std::string threadState = fmt::format("/proc/self/task/{}/stat", gettid());
        std::thread signaller([&] {
            while (!isSleeping(threadState))
                std::this_thread::yield();
            pthread_kill(waitingThread, SIGUSR1);
        });
        this->client->run(20s);
        signaller.join();
        sigaction(SIGUSR1, &previous, nullptr);
        CPPUNIT_ASSERT(answered);
    }

    // Guards against requests that are sent and given up at once, because their timeout passed while
    // the process was suspended and the connection was being opened.
    void requestsSentAfterTheirTimeoutWaitForAnAnswer()
    {
        HoldingPeer peer;
        this->useManualClock();
        std::optional<Reply> answeredReply;
        this->client->send({ .address = peer.address(), .timeout = 230ms, .connectTimeout = 230ms }, [&](const Reply& reply) { answeredReply = reply; });
        this->client->run(0ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, peer.readRequests());
        this->manualClock.advance(5500);
        this->runUntil([&] { return peer.readRequests() == 1 || answeredReply; });
        this->manualClock.advance(200);
        this->client->run(0ms);
        CPPUNIT_ASSERT(!answeredReply);
        peer.answerAllRequests();
        this->runUntil([&] { return answeredReply.has_value(); });
        CPPUNIT_ASSERT(answeredReply->ok());

        const SilentPeer silent;
        std::optional<Reply> silentReply;
        this->client->send({ .address = silent.address(), .timeout = 230ms, .connectTimeout = 230ms }, [&](const Reply& reply) { silentReply = reply; });
        this->client->run(0ms);
        this->manualClock.advance(5500);
        this->client->run(0ms);
        this->manualClock.advance(231);
        this->client->run(0ms);
        CPPUNIT_ASSERT(silentReply && !silentReply->ok());
    }

    // Every pass leaves arrived answers unread. Guards against calls to a silent peer that
    // never time out in this state; they time out somewhat later than usual.
    void silentPeerTimesOutUnderLoad()
    {
        const SilentPeer silent;
        HoldingPeer peer;
        this->useManualClock();
        constexpr std::size_t calls = 200;
        std::size_t answered = 0;
        bool silentEnded = false;
        for (std::size_t i = 0; i < calls; ++i)
            this->client->send({ .address = peer.address(), .timeout = 60s, .connectTimeout = 60s }, [&](const Reply& reply) { answered += reply.ok() ? 1 : 0; });
        this->client->send({ .address = silent.address(), .timeout = 100ms }, [&](const Reply&) { silentEnded = true; });
        this->runUntil([&] { return peer.readRequests() == calls; });
        peer.answerAllRequests();
        this->manualClock.advance(300);
        this->client->run(0ms);
        CPPUNIT_ASSERT(!silentEnded);
        this->manualClock.advance(600);
        this->client->run(0ms);
        CPPUNIT_ASSERT(silentEnded);
        CPPUNIT_ASSERT(answered < calls);
    }

    // A machine without power does not answer connection attempts. The call must report that
    // nothing was sent, so that the caller can safely send the request to another peer.
    void connectTimeoutSendsNothing()
    {
        const SilentPeer saturated(0);
        this->useManualClock();
        constexpr std::size_t calls = 20; // Far more than the accept queue holds.
        std::size_t notSentCount = 0;
        std::size_t sent = 0;
        for (std::size_t i = 0; i < calls; ++i)
            this->client->send({ .address = saturated.address(), .timeout = 60s, .connectTimeout = 100ms }, [&](const Reply& reply) { ++(reply.sendOutcome == SendOutcome::NotSent ? notSentCount : sent); });
        this->client->run(0ms);
        this->manualClock.advance(101);
        this->runUntil([&] { return notSentCount > 0; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), sent);
    }

    void refusedConnectionSendsNothing()
    {
        const std::string closedAddress = this->server->address();
        this->server.reset();
        const Reply reply = this->call({ .address = closedAddress });
        CPPUNIT_ASSERT(reply.sendOutcome == SendOutcome::NotSent);
        CPPUNIT_ASSERT(reply.error->code == ErrorCode::Unavailable);
    }

    // The peer restarts between two calls, so the idle connection is dead. The second call must
    // not fail because of this.
    void deadConnectionIsReplaced()
    {
        const std::string address = this->server->address();
        CPPUNIT_ASSERT(this->call({ .address = address, .path = "/echo" }).ok());
        this->server.reset();
        this->startServer(address);
        CPPUNIT_ASSERT(this->call({ .address = address, .path = "/echo" }).ok());
    }

    // A worker crashes with a pending call and restarts at once. If libcurl resent the request,
    // the new incarnation of the worker would receive a request meant for the earlier one, and
    // its sender would not notice.
    void callWithoutResendFailsOnDeadConnection()
    {
        const DroppingPeer peer;
        const Call call { .method = "POST", .address = peer.address(), .path = "/", .body = "a look.", .timeout = 2000ms, .canResend = false };
        CPPUNIT_ASSERT(this->call(call).ok());
        const Reply second = this->call(call);
        CPPUNIT_ASSERT(second.error.has_value());
        CPPUNIT_ASSERT(second.sendOutcome == SendOutcome::PossiblySent);
        CPPUNIT_ASSERT_EQUAL(2, peer.requests());
    }

    // libcurl can send the path in another form than the call gives it. Guards against missing
    // a resend because of this: the rejection of the resent request would be treated as the
    // outcome of the call. libcurl resends requests without a body even if canResend is false.
    void transmissionsAreCounted()
    {
        for (const char* path : { "/", "/a/./b", "/a/../b", "/a?b=/./", "/a#b" }) {
            for (const char* body : { "", "a look." }) {
                const DroppingPeer peer({ { 200, "" }, { 503, "" } });
                const Call call { .method = "POST", .address = peer.address(), .path = path, .body = body, .timeout = 2000ms, .canResend = *body != '\0' };
                const Reply first = this->call(call);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 1, first.transmissions);
                CPPUNIT_ASSERT(!first.wasResent());
                const Reply second = this->call(call);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 2, second.transmissions);
                CPPUNIT_ASSERT_EQUAL(503, second.status);
                CPPUNIT_ASSERT(second.wasResent());
                CPPUNIT_ASSERT_EQUAL(3, peer.requests());
            }
        }
    }

    // A planner that lost its term cancels its pending calls. Guards against a later answer that
    // calls a handler of the destroyed planner.
    void cancelledCallsDoNotCallHandler()
    {
        const SilentPeer silent;
        bool handlerCalled = false;
        constexpr int group = 7;
        this->client->setGroup(group);
        this->client->send({ .address = silent.address(), .timeout = 60ms }, [&](const Reply&) { handlerCalled = true; });
        this->client->setGroup(0);
        this->client->run(10ms);
        this->client->cancelGroup(group);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->client->callsInFlight());
        CPPUNIT_ASSERT(this->call({ .address = this->server->address(), .path = "/echo" }).ok());
        CPPUNIT_ASSERT(!handlerCalled);
    }

    void wakeEndsWait()
    {
        std::thread other([&] { this->client->wake(); });
        constexpr auto maxWait = 20s;
        const auto startedAt = std::chrono::steady_clock::now();
        this->client->run(maxWait);
        other.join();
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - startedAt < maxWait);
    }

    // Every busy worker has a pending long poll. Guards against checking every socket at each
    // answer: with 3,000 workers a planner spends all its time on that, cannot renew its term,
    // and starts no jobs.
    void pendingCallsDoNotSlowOthers()
    {
        constexpr int fewPending = 10;
        constexpr int manyPending = 400;
        constexpr double maxRatio = 4; // The ratio is 1.2, and 12 if every socket is checked at each answer.
        const double cpuWithFew = this->cpuSecondsWithPending(fewPending);
        const double cpuWithMany = this->cpuSecondsWithPending(manyPending);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{:.1f} ms with {} pending calls, {:.1f} ms with {}", cpuWithFew * 1000, fewPending, cpuWithMany * 1000, manyPending), cpuWithMany < cpuWithFew * maxRatio);
    }

private:
    void useManualClock() { this->client.emplace(AsyncClientOptions { .maxConnectionsPerPeer = 1000 }, this->manualClock); }

    void startServer(const std::string& address)
    {
        this->server.emplace(ServerOptions { .address = address });
        const Handler echo = [](const Request& request) { return Answer { 200, request.body, "text/plain", {} }; };
        this->server->route("POST", "/echo", echo);
        this->server->route("GET", "/echo", echo);
        CPPUNIT_ASSERT(!attemptVoid([&] { return this->server->start(); }));
    }

    void runUntil(const std::function<bool()>& done)
    {
        constexpr int maxIterations = 2000;
        for (int i = 0; i < maxIterations && !done(); ++i)
            this->client->run(10ms);
        CPPUNIT_ASSERT(done());
    }

    Reply call(Call call)
    {
        std::optional<Reply> result;
        this->client->send(std::move(call), [&](const Reply& reply) { result = reply; });
        this->runUntil([&] { return result.has_value(); });
        return *result;
    }

    // Processor time of answered calls while the given number of calls is pending.
    double cpuSecondsWithPending(int pendingCalls)
    {
        const SilentPeer silent;
        this->client.emplace(AsyncClientOptions { .maxConnectionsPerPeer = 1000 }, this->clock);
        for (int i = 0; i < pendingCalls; ++i)
            this->client->send({ .address = silent.address(), .timeout = 60s, .connectTimeout = 20s }, [](const Reply&) {});
        constexpr int calls = 200;
        this->call({ .address = this->server->address(), .path = "/echo" });
        const double cpuBefore = threadCpuSeconds();
        for (int i = 0; i < calls; ++i)
            this->call({ .address = this->server->address(), .path = "/echo" });
        return threadCpuSeconds() - cpuBefore;
    }

    SystemClock clock;
    ManualClock manualClock;
    std::optional<Server> server;
    std::optional<AsyncClient> client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AsyncClientTest);

} // namespace rattan::http
