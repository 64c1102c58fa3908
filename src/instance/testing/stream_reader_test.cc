#include "instance/stream_reader.h"

#include "http/server.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <optional>

using namespace rattan;
using namespace rattan::instance;

namespace {

using namespace std::chrono_literals;

// A store without records. The path of a read shows whether the read waits.
class FakeStoreProtocol final : public StoreProtocol {
public:
    http::Call append(Stream, const std::vector<StoreRecord>&, const AppendConditions&) const override { return {}; }
    AppendReply parseAppend(const http::Reply&) const override { return {}; }
    http::Call read(Stream, std::int64_t, Millis wait) const override { return { .path = wait > 0 ? "/waiting" : "/now" }; }
    Result<ReadReply> parseRead(const http::Reply& reply, std::int64_t) const override
    {
        if (!reply.ok())
            return fail(ErrorCode::Unavailable, "test.read", "", "no answer");
        return ReadReply {};
    }
    http::Call listNewest(Stream, const std::string&) const override { return { .path = "/newest" }; }
    Result<NewestPage> parseNewest(const http::Reply& reply) const override { return NewestPage { .records = {}, .hasMore = reply.body == "more" }; }
};

class StreamReaderTest : public CppUnit::TestFixture, public StreamHandler {
    CPPUNIT_TEST_SUITE(StreamReaderTest);
    CPPUNIT_TEST(firstReadAfterFailureDoesNotWait);
    CPPUNIT_TEST(readThatHangsIsRepeatedOnceTheStoreAnswers);
    CPPUNIT_TEST(emptyPageWithMoreDoesNotEndALoad);
    CPPUNIT_TEST_SUITE_END();

public:
    // The store is unavailable for some seconds. Data that expires without confirmation, such as
    // API keys, stays invalid until a read confirms it. A read that waits for records would
    // confirm it more than a second after the store is available again.
    void firstReadAfterFailureDoesNotWait()
    {
        http::Server server({ .address = "127.0.0.1:0" });
        server.fallback([this](const http::Request& request) {
            if (request.path == "/waiting")
                ++this->waitingReads;
            if (request.path == "/now")
                ++this->immediateReads;
            return http::Answer { this->storeUnavailable ? 503 : 200, "", "text/plain", {} };
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        http::AsyncClient client({}, this->clock);
        StreamReader reader(client, this->store, this->clock, { .stream = Stream::Configuration, .address = server.address() }, *this);
        this->runUntil(reader, client, [&] { return this->waitingReads > 0; });
        CPPUNIT_ASSERT_EQUAL(0, this->immediateReads.load());
        this->storeUnavailable = true;
        this->runUntil(reader, client, [&] { return this->failures > 0; });
        const Millis firstFailureAt = this->clock.now();
        this->runUntil(reader, client, [&] { reader.probe(); return this->clock.now() - firstFailureAt > 300; });
        constexpr Millis minRetryDelay = 50;
        CPPUNIT_ASSERT(this->failures <= 2 + 2 * (this->clock.now() - firstFailureAt) / minRetryDelay); // Probes pause like reads.
        this->storeUnavailable = false;
        const int immediateReadsBefore = this->immediateReads;
        const Millis confirmedBefore = reader.confirmedAt();
        this->runUntil(reader, client, [&] { return reader.confirmedAt() > confirmedBefore; });
        CPPUNIT_ASSERT(this->immediateReads > immediateReadsBefore);
    }

    // Guards against records that count as deleted because a page of a load was empty although more followed.
    void emptyPageWithMoreDoesNotEndALoad()
    {
        http::Server server({ .address = "127.0.0.1:0" });
        std::atomic<int> pages { 0 };
        std::atomic<bool> hasMore { true };
        server.fallback([&](const http::Request& request) {
            if (request.path == "/newest")
                ++pages;
            return http::Answer { 200, hasMore && request.path == "/newest" ? "more" : "", "text/plain", {} };
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        http::AsyncClient client({}, this->clock);
        StreamReader reader(client, this->store, this->clock, { .stream = Stream::Configuration, .address = server.address() }, *this);
        this->runUntil(reader, client, [&] { return pages > 1; });
        CPPUNIT_ASSERT(!reader.loaded());
        CPPUNIT_ASSERT(this->failures > 0);
        hasMore = false;
        this->runUntil(reader, client, [&] { return reader.loaded(); });
    }

    // Guards against a stream that stays unconfirmed for more than a second after an outage, because
    // its read was sent during the outage and is not answered.
    void readThatHangsIsRepeatedOnceTheStoreAnswers()
    {
        http::Server server({ .address = "127.0.0.1:0" });
        std::promise<void> released;
        const std::shared_future<void> release = released.get_future().share();
        server.fallback([this, release](const http::Request& request) {
            const bool isWaiting = request.path == "/waiting";
            ++(isWaiting ? this->waitingReads : this->immediateReads);
            if (isWaiting && this->storeUnavailable)
                release.wait();
            return http::Answer { 200, "", "text/plain", {} };
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        http::AsyncClient client({}, this->clock);
        StreamReader reader(client, this->store, this->clock, { .stream = Stream::Configuration, .address = server.address(), .wait = 100, .timeout = 60000 }, *this);
        this->storeUnavailable = true;
        this->runUntil(reader, client, [&] { return this->waitingReads == 1; });
        const Millis confirmedBefore = reader.confirmedAt();
        this->storeUnavailable = false;
        this->runUntil(reader, client, [&] { reader.storeAnswered(this->clock.now()); return reader.confirmedAt() > confirmedBefore; });
        this->runUntil(reader, client, [&] { return this->waitingReads == 2; });
        CPPUNIT_ASSERT_EQUAL(0, this->failures);
        released.set_value();
    }

    void recordRead(Stream, const StoreRecord&, Millis) override { }
    void loadStarted(Stream) override { }
    void streamConfirmed(Stream, std::int64_t, Millis, Millis) override { }
    void streamFailed(Stream, const std::string&, Millis) override { ++this->failures; }

private:
    template <typename Condition>
    void runUntil(StreamReader& reader, http::AsyncClient& client, Condition condition)
    {
        constexpr int maxIterations = 5000;
        for (int i = 0; i < maxIterations && !condition(); ++i) {
            reader.step(this->clock.now());
            client.run(5ms);
        }
        CPPUNIT_ASSERT(condition());
    }

    FakeStoreProtocol store;
    SystemClock clock;
    std::atomic<bool> storeUnavailable { false };
    std::atomic<int> waitingReads { 0 };
    std::atomic<int> immediateReads { 0 };
    int failures { 0 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamReaderTest);

} // namespace
