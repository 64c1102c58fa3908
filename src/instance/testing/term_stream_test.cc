#include "instance/term_stream.h"

#include "http/server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <mutex>

using namespace rattan;
using namespace rattan::instance;

namespace {

using namespace std::chrono_literals;

// Appends carry the values of their records as they are.
class PlainStore final : public StoreProtocol {
public:
    http::Call append(Stream, const std::vector<StoreRecord>& records, const AppendTerms&) const override
    {
        http::Call call { .method = "POST", .path = "/append" };
        for (const StoreRecord& record : records)
            call.body += record.value;
        return call;
    }
    AppendReply parseAppend(const http::Reply& reply) const override { return { .status = reply.ok() ? AppendStatus::Appended : AppendStatus::NotDone }; }
    http::Call read(Stream, std::int64_t, Millis) const override { return {}; }
    Result<ReadReply> parseRead(const http::Reply&, std::int64_t) const override { return ReadReply {}; }
    http::Call newest(Stream, const std::string&) const override { return {}; }
    Result<NewestPage> parseNewest(const http::Reply&) const override { return NewestPage {}; }
};

class TermStreamTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TermStreamTest);
    CPPUNIT_TEST(aBatchThatIsLargerThanTheStoreTakesGoesInParts);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a planner that starts nothing any more, since the store refuses the same
    // batch of records again and again.
    void aBatchThatIsLargerThanTheStoreTakesGoesInParts()
    {
        constexpr std::size_t mostTaken = 2 << 20;
        http::Server server({ .address = "127.0.0.1:0", .maxBodyBytes = 64 << 20 });
        server.fallback([this](const http::Request& request) {
            if (request.body.size() > mostTaken)
                return http::Answer { 413, "", "text/plain", {} };
            const std::scoped_lock lock(this->mutex);
            this->stored += request.body;
            return http::Answer { 200, "", "text/plain", {} };
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        http::AsyncClient client({}, this->clock);
        Metrics metrics;
        TermStream stream(Stream::Plans, 1, client, this->store, this->clock, server.address(), metrics);
        std::vector<StoreRecord> records;
        std::string all;
        constexpr char first = 'a';
        for (int i = 0; i < 26; ++i) {
            records.push_back({ std::to_string(i), std::string(150'000, static_cast<char>(first + i)), 0 });
            all += records.back().value;
        }
        stream.append(records);
        constexpr int mostTurns = 400;
        for (int i = 0; i < mostTurns && !stream.isIdle(); ++i) {
            stream.step(this->clock.now());
            client.run(5ms);
        }
        CPPUNIT_ASSERT(stream.isIdle());
        CPPUNIT_ASSERT(!stream.isLost());
        const std::scoped_lock lock(this->mutex);
        CPPUNIT_ASSERT(this->stored == all);
    }

private:
    PlainStore store;
    SystemClock clock;
    std::mutex mutex;
    std::string stored;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TermStreamTest);

} // namespace
