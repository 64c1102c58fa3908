#include "instance/term_appender.h"

#include "http/server.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <mutex>

using namespace rattan;
using namespace rattan::instance;

namespace {

using namespace std::chrono_literals;

// The body of an append is the concatenation of the records' values.
class FakeStoreProtocol final : public StoreProtocol {
public:
    http::Call append(Stream, const std::vector<StoreRecord>& records, const AppendConditions&) const override
    {
        http::Call call { .method = "POST", .path = "/append" };
        for (const StoreRecord& record : records)
            call.body += record.value;
        return call;
    }
    // The status 409 has the expected number as its body.
    AppendReply parseAppend(const http::Reply& reply) const override
    {
        if (reply.status == 409)
            return { .status = AppendStatus::WrongNumber, .expectedNumber = std::stoi(reply.body) };
        return { .status = reply.ok() ? AppendStatus::Appended : reply.status == 500 ? AppendStatus::Unknown
                                                                                     : AppendStatus::NotAppended };
    }
    http::Call read(Stream, std::int64_t, Millis) const override { return {}; }
    Result<ReadReply> parseRead(const http::Reply&, std::int64_t) const override { return ReadReply {}; }
    http::Call listNewest(Stream, const std::string&) const override { return {}; }
    Result<NewestPage> parseNewest(const http::Reply&) const override { return NewestPage {}; }
};

class TermAppenderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TermAppenderTest);
    CPPUNIT_TEST(oversizedBatchIsSplit);
    CPPUNIT_TEST(lostResponsesDoNotEndTerm);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a planner that starts no more tasks because the store rejects the same
    // oversized batch of records repeatedly.
    void oversizedBatchIsSplit()
    {
        constexpr std::size_t maxBodyBytes = 2 << 20;
        http::Server server({ .address = "127.0.0.1:0", .maxBodyBytes = 64 << 20 });
        server.fallback([this](const http::Request& request) {
            if (request.body.size() > maxBodyBytes)
                return http::Answer { 413, "", "text/plain", {} };
            const std::scoped_lock lock(this->mutex);
            this->stored += request.body;
            return http::Answer { 200, "", "text/plain", {} };
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        http::AsyncClient client({}, this->clock);
        Metrics metrics;
        TermAppender appender(Stream::Plans, 1, client, this->store, this->clock, server.address(), metrics);
        std::vector<StoreRecord> records;
        std::string all;
        constexpr char first = 'a';
        for (int i = 0; i < 26; ++i) {
            records.push_back({ std::to_string(i), std::string(150'000, static_cast<char>(first + i)), 0 });
            all += records.back().value;
        }
        appender.append(records);
        constexpr int maxIterations = 400;
        for (int i = 0; i < maxIterations && !appender.isIdle(); ++i) {
            appender.step(this->clock.now());
            client.run(5ms);
        }
        CPPUNIT_ASSERT(appender.isIdle());
        CPPUNIT_ASSERT(!appender.isLost());
        const std::scoped_lock lock(this->mutex);
        CPPUNIT_ASSERT(this->stored == all);
    }

    // Guards against a term that is lost, or never fenced, because of one lost response, and
    // against numbers that are used again while an earlier part may be executed late. Each
    // character is the store's response, the first one to the fence: appended, unknown, failed, or
    // the number that it expects.
    void lostResponsesDoNotEndTerm()
    {
        const std::vector<std::string> survived { "aaa", "uaa", "u1aa", "f1f1", "au2a", "aaufu3a", "aaufua", "uaa1a", "u1a1a" };
        const std::vector<std::string> lost { "a2", "af2", "au1", "aa1", "uaua1", "uau2a1", "uaa1a1" };
        for (std::size_t i = 0; i < survived.size() + lost.size(); ++i) {
            const std::string& responses = i < survived.size() ? survived[i] : lost[i - survived.size()];
            std::atomic<std::size_t> next { 0 };
            http::Server server({ .address = "127.0.0.1:0" });
            server.fallback([&](const http::Request&) {
                const char response = responses.at(next++);
                return http::Answer { response == 'a' ? 200 : response == 'u' ? 500
                        : response == 'f'                                     ? 503
                                                                              : 409,
                    std::string(1, response), "text/plain", {} };
            });
            CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
            http::AsyncClient client({}, this->clock);
            Metrics metrics;
            TermAppender appender(Stream::Plans, 1, client, this->store, this->clock, server.address(), metrics);
            for (int remaining = 2000; next < responses.size() || client.callsInFlight() > 0; client.run(5ms)) {
                CPPUNIT_ASSERT_MESSAGE(responses, --remaining > 0);
                if (appender.isIdle())
                    appender.append({ { "key", "value", 0 } });
                if (next < responses.size())
                    appender.step(std::numeric_limits<Millis>::max()); // Without the pause after a failure.
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(responses, i >= survived.size(), appender.isLost());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(responses, responses != "f1f1", appender.fencedAt() > 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(responses, responses.back() == 'a', appender.isIdle());
        }
    }

private:
    FakeStoreProtocol store;
    SystemClock clock;
    std::mutex mutex;
    std::string stored;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TermAppenderTest);

} // namespace
