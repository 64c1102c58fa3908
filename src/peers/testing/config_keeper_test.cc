#include "peers/config_keeper.h"

#include "peers/testing/sample_text.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace rattan::peers {

namespace {

    constexpr Millis retention = 3600 * 1000;

    using testing::yamlNamed;

    // The stream of one log, with trimming.
    struct FakeStream {
        std::vector<platform::LogRecord> records;
        std::uint64_t firstKept { 0 };

        void append(const Json& value, Millis wall) { this->records.push_back({ this->records.size(), wall, value }); }

        void publish(std::int64_t amends, const std::string& name, Millis wall)
        {
            this->append(config::publishRecord({ .amends = amends, .yaml = yamlNamed(name), .author = "op", .id = name }), wall);
        }

        platform::LogPage page(std::uint64_t from) const
        {
            platform::LogPage page { .firstKept = this->firstKept, .next = this->records.size() };
            for (const platform::LogRecord& record : this->records) {
                if (record.offset >= std::max(from, this->firstKept))
                    page.records.push_back(record);
            }
            return page;
        }
    };

    void readAll(ConfigKeeper& keeper, const FakeStream& stream, Millis wall)
    {
        for (int i = 0; i < 4; ++i)
            keeper.read(stream.page(keeper.next()), wall, wall);
    }

} // namespace

class ConfigKeeperTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigKeeperTest);
    CPPUNIT_TEST(restatesBeforeTheTrim);
    CPPUNIT_TEST(waitsForThoseBefore);
    CPPUNIT_TEST(raceOfRestateAndPublish);
    CPPUNIT_TEST(neverGoesBack);
    CPPUNIT_TEST(catchesUpFromPeers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Nobody publishes for longer than the log keeps records. A fresh instance
    // would find no text and refuse every request.
    void restatesBeforeTheTrim()
    {
        FakeStream stream;
        stream.publish(0, "one", 1000);
        ConfigKeeper keeper({ .retention = retention });
        readAll(keeper, stream, 2000);
        CPPUNIT_ASSERT(!keeper.restateDue(0, 2000, 2000));
        const Millis later = 1000 + retention / 2 + 1;
        const auto restate = keeper.restateDue(0, later, later);
        CPPUNIT_ASSERT(restate);
        stream.append(*restate, later);
        readAll(keeper, stream, later);
        CPPUNIT_ASSERT(!keeper.restateDue(0, later + 10000, later + 10000));
        stream.firstKept = 1;
        ConfigKeeper fresh({ .retention = retention });
        readAll(fresh, stream, later + retention / 2);
        CPPUNIT_ASSERT(fresh.isCurrent());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, fresh.inForce().number);
    }

    // The instance whose turn it is has died. Another must step in before the
    // record is trimmed, and not all of them at once.
    void waitsForThoseBefore()
    {
        FakeStream stream;
        stream.publish(0, "one", 1000);
        ConfigKeeper keeper({ .retention = retention });
        readAll(keeper, stream, 2000);
        const Millis due = 1000 + retention / 2 + 1;
        CPPUNIT_ASSERT(!keeper.restateDue(2, due, due));
        CPPUNIT_ASSERT(!keeper.restateDue(2, due + 9000, due + 9000));
        CPPUNIT_ASSERT(keeper.restateDue(2, due + 10000, due + 10000));
        CPPUNIT_ASSERT(!keeper.restateDue(2, due + 10001, due + 10001));
    }

    // An operator publishes while an old restate is on its way. The newer text
    // must stay in force, also for an instance that starts behind the trim.
    void raceOfRestateAndPublish()
    {
        FakeStream stream;
        stream.publish(0, "one", 1000);
        ConfigKeeper keeper({ .retention = retention });
        readAll(keeper, stream, 2000);
        const Millis due = 1000 + retention / 2 + 1;
        const auto restate = keeper.restateDue(0, due, due);
        stream.publish(1, "two", due);
        stream.append(*restate, due);
        readAll(keeper, stream, due);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, keeper.inForce().number);
        stream.firstKept = 1;
        ConfigKeeper fresh({ .retention = retention });
        readAll(fresh, stream, due);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, fresh.inForce().number);
        // Once the publish is trimmed as well, only a newer restate serves.
        stream.firstKept = 2;
        readAll(keeper, stream, due + 10000);
        const auto newer = keeper.restateDue(0, due + 10000, due + 10000);
        CPPUNIT_ASSERT(newer);
        CPPUNIT_ASSERT_EQUAL(2, (*newer)["version"].get<int>());
    }

    // A stale peer, or a stream read again from its start, offers an older text.
    // Quotas that were in force would silently come undone.
    void neverGoesBack()
    {
        FakeStream stream;
        stream.publish(0, "one", 1000);
        stream.publish(1, "two", 1000);
        ConfigKeeper keeper({});
        readAll(keeper, stream, 2000);
        CPPUNIT_ASSERT(!keeper.adopt({ .number = 1, .yaml = yamlNamed("one") }));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, keeper.inForce().number);
    }

    // The log is down when an instance is replaced. It takes the text from a
    // peer, and the log's order counts again once it is back.
    void catchesUpFromPeers()
    {
        FakeStream stream;
        for (int i = 0; i < 3; ++i)
            stream.publish(i, fmt::format("v{}", i), 1000);
        ConfigKeeper keeper({});
        CPPUNIT_ASSERT(keeper.adopt({ .number = 2, .yaml = yamlNamed("v1") }));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, keeper.inForce().number);
        CPPUNIT_ASSERT(!keeper.restateDue(0, 1, 1));
        readAll(keeper, stream, 2000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 3 }, keeper.inForce().number);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigKeeperTest);

} // namespace rattan::peers
