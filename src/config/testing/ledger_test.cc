#include "config/ledger.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <random>

namespace rattan::config {

namespace {

    std::string yamlNamed(const std::string& name)
    {
        return fmt::format("format: 1\nname: {}\noperators: [{{name: ops, token_sha256: {}}}]\n"
                           "workers: [{{domain: north, racks: 1, workers_per_rack: 1, accelerators: 8, cores: 8, memory: 8GiB}}]\n"
                           "workspaces: [{{name: desk, token_sha256: {}}}]\n",
            name, std::string(64, 'a'), std::string(64, 'b'));
    }

    Json publishRecordOf(std::int64_t amends, const std::string& name)
    {
        return publishRecord({ amends, yamlNamed(name), name, name });
    }

    // A stream whose records before firstKept are trimmed.
    struct Stream {
        std::vector<Json> records;
        std::uint64_t firstKept { 0 };

        void trim(std::uint64_t upto) { this->firstKept = std::max(this->firstKept, upto); }
    };

    // Reads up to an offset. Reading continues at next(), which a restate may decrease.
    void readUpTo(Ledger& ledger, const Stream& stream, std::uint64_t end)
    {
        ledger.handleTrim(stream.firstKept);
        while (ledger.next() < end)
            ledger.apply(ledger.next(), stream.records[ledger.next()]);
    }

    void readAll(Ledger& ledger, const Stream& stream) { readUpTo(ledger, stream, stream.records.size()); }

} // namespace

class LedgerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LedgerTest);
    CPPUNIT_TEST(firstOfTwoConcurrentPublishesWins);
    CPPUNIT_TEST(repeatedAppendIsAppliedOnce);
    CPPUNIT_TEST(invalidConfigurationChangesNothing);
    CPPUNIT_TEST(unknownRecordsAreIgnored);
    CPPUNIT_TEST(staleRestateDoesNotMakeReaderCurrent);
    CPPUNIT_TEST(readerBehindTrimDecidesNoPublish);
    CPPUNIT_TEST(peerCheckpointSetsVersionAndOffset);
    CPPUNIT_TEST(storedOutcomesAreBounded);
    CPPUNIT_TEST(readersAgreeFromAnyTrimOffset);
    CPPUNIT_TEST_SUITE_END();

public:
    void firstOfTwoConcurrentPublishesWins()
    {
        // Two operators amend the same version at the same time. The outcome of the
        // second must be Lost, otherwise both would take their own configuration to be in force.
        Ledger ledger;
        CPPUNIT_ASSERT(ledger.apply(0, publishRecordOf(0, "anna")).kind == OutcomeKind::Accepted);
        const PublishOutcome lostOutcome = ledger.apply(1, publishRecordOf(0, "bert"));
        CPPUNIT_ASSERT(lostOutcome.kind == OutcomeKind::Lost);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, lostOutcome.version);
        CPPUNIT_ASSERT_EQUAL(std::string("anna"), lostOutcome.author);
        CPPUNIT_ASSERT_EQUAL(std::string("anna"), ledger.inForce().configuration->name);
        CPPUNIT_ASSERT(ledger.outcomeOf("bert")->kind == OutcomeKind::Lost);
        CPPUNIT_ASSERT(ledger.apply(2, publishRecordOf(1, "bert")).kind == OutcomeKind::Accepted);
        CPPUNIT_ASSERT(ledger.outcomeOf("bert")->kind == OutcomeKind::Accepted);
    }

    void repeatedAppendIsAppliedOnce()
    {
        // The reply to an append is lost and the publisher appends the record again.
        // If it were applied twice, it would undo publishes in between.
        Ledger ledger;
        ledger.apply(0, publishRecordOf(0, "anna"));
        ledger.apply(1, publishRecordOf(1, "bert"));
        const PublishOutcome repeated = ledger.apply(2, publishRecordOf(0, "anna"));
        CPPUNIT_ASSERT(repeated.kind == OutcomeKind::Ignored);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, repeated.version);
        CPPUNIT_ASSERT_EQUAL(std::string("bert"), ledger.inForce().author);
        CPPUNIT_ASSERT(ledger.outcomeOf("anna")->kind == OutcomeKind::Accepted);
    }

    void invalidConfigurationChangesNothing()
    {
        Ledger ledger;
        const std::string future = "format: 7" + yamlNamed("anna").substr(std::string("format: 1").size());
        const PublishOutcome invalid = ledger.apply(0, publishRecord({ 0, future, "anna", "a" }));
        CPPUNIT_ASSERT(invalid.kind == OutcomeKind::Ignored);
        CPPUNIT_ASSERT(invalid.reason.find("format") != std::string::npos);
        CPPUNIT_ASSERT(ledger.apply(1, publishRecordOf(0, "bert")).kind == OutcomeKind::Accepted);
    }

    void unknownRecordsAreIgnored()
    {
        Ledger ledger;
        Json versionSkipped = publishRecordOf(0, "anna");
        versionSkipped["version"] = 5;
        const std::vector<Json> records { nullptr, 7, Json::array(), Json::object(), { { "kind", 3 } }, { { "kind", "publish" } },
            { { "kind", "restate" }, { "version", -1 } }, { { "kind", "vote" } }, versionSkipped };
        for (const Json& record : records)
            CPPUNIT_ASSERT_MESSAGE(record.dump(), ledger.apply(ledger.next(), record).kind == OutcomeKind::Ignored);
        CPPUNIT_ASSERT(ledger.apply(ledger.next() + 1, publishRecordOf(0, "anna")).kind == OutcomeKind::Ignored);
        CPPUNIT_ASSERT(ledger.apply(ledger.next(), publishRecordOf(0, "anna")).kind == OutcomeKind::Accepted);
    }

    void staleRestateDoesNotMakeReaderCurrent()
    {
        // An instance restates version 1 while a publish creates version 2. The publish
        // is appended first and then trimmed. A new instance that took the restate as
        // the state at the restate's own offset would accept a publish that is lost on
        // all others.
        Stream stream;
        stream.records = { publishRecordOf(0, "anna") };
        Ledger writer;
        readAll(writer, stream);
        const Json restate = restateRecord(*writer.checkpoint());
        stream.records.push_back(publishRecordOf(1, "bert")); // offset 1
        stream.records.push_back(restate); // offset 2, upto 1
        stream.records.push_back(publishRecordOf(1, "carla")); // lost against bert

        Ledger timelyReader;
        stream.trim(1);
        readAll(timelyReader, stream);
        CPPUNIT_ASSERT(timelyReader.isCurrent());
        CPPUNIT_ASSERT_EQUAL(std::string("bert"), timelyReader.inForce().author);

        Ledger lateReader;
        stream.trim(2);
        readAll(lateReader, stream);
        CPPUNIT_ASSERT(!lateReader.isCurrent());
        CPPUNIT_ASSERT_EQUAL(std::string("anna"), lateReader.inForce().author);
        CPPUNIT_ASSERT(!lateReader.checkpoint());
    }

    void readerBehindTrimDecidesNoPublish()
    {
        // An instance is disconnected until records that it has not read are trimmed.
        // It keeps its configuration, but must not evaluate publishes against it.
        Stream stream;
        stream.records = { publishRecordOf(0, "anna"), publishRecordOf(1, "bert"), publishRecordOf(2, "carla"), publishRecordOf(1, "dora") };
        Ledger ledger;
        readUpTo(ledger, stream, 2);
        stream.trim(3);
        readAll(ledger, stream);
        CPPUNIT_ASSERT(!ledger.isCurrent());
        CPPUNIT_ASSERT_EQUAL(std::string("bert"), ledger.inForce().author);
        CPPUNIT_ASSERT(!ledger.outcomeOf("dora"));
        stream.records.push_back(restateRecord({ 3, yamlNamed("carla"), "carla", 3 }));
        readAll(ledger, stream);
        CPPUNIT_ASSERT(ledger.isCurrent());
        CPPUNIT_ASSERT_EQUAL(std::string("carla"), ledger.inForce().author);
        CPPUNIT_ASSERT(ledger.outcomeOf("dora")->kind == OutcomeKind::Lost);
    }

    void peerCheckpointSetsVersionAndOffset()
    {
        Ledger fresh;
        fresh.handleTrim(50);
        CPPUNIT_ASSERT(fresh.adopt({ 7, yamlNamed("anna"), "anna", std::nullopt }));
        CPPUNIT_ASSERT(!fresh.isCurrent());
        CPPUNIT_ASSERT(!fresh.adopt({ 6, yamlNamed("old"), "old", 60 })); // A stale peer.
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 7 }, fresh.inForce().number);
        CPPUNIT_ASSERT(!fresh.adopt({ 9, "broken", "x", 70 }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 60 }, fresh.next());
        CPPUNIT_ASSERT(fresh.apply(60, publishRecordOf(6, "anna")).kind == OutcomeKind::Accepted);
        CPPUNIT_ASSERT(fresh.checkpoint().has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 61 }, *fresh.checkpoint()->upto);
    }

    void storedOutcomesAreBounded()
    {
        Ledger ledger;
        for (std::size_t i = 0; i <= Ledger::maxStoredOutcomes; ++i)
            ledger.apply(ledger.next(), publishRecord({ 5, "x", "anna", std::to_string(i) }));
        CPPUNIT_ASSERT(!ledger.outcomeOf("0"));
        CPPUNIT_ASSERT(ledger.outcomeOf("1").has_value());
    }

    void readersAgreeFromAnyTrimOffset()
    {
        // Random streams with concurrent publishes, repeated appends, delayed restates
        // and invalid configurations, trimmed at each offset. A reader of the rest
        // either has the same version as a reader of all records, or is not current
        // and has no newer version.
        constexpr unsigned seed = 7;
        std::mt19937 random(seed);
        int current = 0;
        int behind = 0;
        constexpr int rounds = 20;
        for (int round = 0; round < rounds; ++round) {
            const Stream stream = this->randomStream(random);
            Ledger fullReader;
            readAll(fullReader, stream);
            for (std::uint64_t firstOffset = 0; firstOffset <= stream.records.size(); ++firstOffset) {
                Stream trimmed = stream;
                trimmed.trim(firstOffset);
                Ledger lateReader;
                readUpTo(lateReader, stream, random() % (firstOffset + 1));
                readAll(lateReader, trimmed);
                const std::string context = fmt::format("seed {}, round {}, kept from {}", seed, round, firstOffset);
                CPPUNIT_ASSERT_MESSAGE(context, lateReader.inForce().number <= fullReader.inForce().number);
                (lateReader.isCurrent() ? current : behind) += 1;
                if (!lateReader.isCurrent())
                    continue;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, fullReader.inForce().number, lateReader.inForce().number);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, fullReader.inForce().yaml, lateReader.inForce().yaml);
            }
        }
        CPPUNIT_ASSERT(current > rounds && behind > rounds);
    }

private:
    // Returns the records that several instances append, each with a ledger that has
    // read up to a random offset.
    Stream randomStream(std::mt19937& random)
    {
        constexpr std::size_t instances = 4;
        constexpr std::size_t appends = 40;
        Stream stream;
        std::vector<Ledger> ledgers(instances);
        std::vector<Json> delayed;
        while (stream.records.size() < appends) {
            Ledger& ledger = ledgers[random() % instances];
            const std::uint64_t size = stream.records.size();
            readUpTo(ledger, stream, ledger.next() + random() % (size - ledger.next() + 1));
            const std::string name = fmt::format("p{}", size);
            switch (random() % 8) {
            case 0:
                if (const auto checkpoint = ledger.checkpoint())
                    delayed.push_back(restateRecord(*checkpoint));
                break;
            case 1:
                if (!delayed.empty()) {
                    stream.records.push_back(delayed.back());
                    delayed.pop_back();
                }
                break;
            case 2:
                if (size > 0)
                    stream.records.push_back(stream.records[random() % size]);
                break;
            case 3:
                stream.records.push_back(publishRecord({ ledger.inForce().number, "broken: [", name, name }));
                break;
            default:
                stream.records.push_back(publishRecordOf(ledger.inForce().number, name));
            }
        }
        return stream;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);

} // namespace rattan::config
