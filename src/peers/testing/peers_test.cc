#include "peers/peers.h"

#include "peers/state_message.h"
#include "peers/testing/sample_text.h"
#include "rpc/server.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan::peers {

namespace {

    using std::chrono::milliseconds;

    class NoList final : public platform::InstanceList {
    public:
        Result<std::vector<platform::Instance>> instances() override
        {
            return fail(ErrorCode::Unavailable, "list.read", "", "down");
        }
    };

    // A log that holds one record, or is down.
    class OneRecordLog final : public platform::Log {
    public:
        explicit OneRecordLog(std::optional<Json> record)
            : record(std::move(record))
        {
        }

        Result<platform::AppendDone> append(const std::string&, const std::vector<Json>&) override
        {
            return fail(ErrorCode::Unavailable, "log.append", "", "down");
        }

        Result<platform::LogPage> read(const std::string&, std::uint64_t from, std::size_t, milliseconds) override
        {
            if (!this->record)
                return fail(ErrorCode::Unavailable, "log.read", "", "down");
            platform::LogPage page { .next = 1 };
            if (from == 0)
                page.records.push_back({ 0, SystemClock().wall(), *this->record });
            return page;
        }

    private:
        std::optional<Json> record;
    };

    class TestPlanner final : public rpc::Planner::Server {
    public:
        explicit TestPlanner(Peers*& peers)
            : peers(peers)
        {
        }

    protected:
        kj::Promise<void> greet(GreetContext context) override
        {
            this->peers->heard(readReport(context.getParams().getFrom()), readReports(context.getParams().getKnown()));
            fill(context.getResults().initOwn(), this->peers->own());
            return kj::READY_NOW;
        }

        kj::Promise<void> config(ConfigContext context) override
        {
            const config::Version version = this->peers->textInForce();
            auto config = context.getResults().initConfig();
            config.setVersion(static_cast<std::uint64_t>(version.number));
            config.setText(version.yaml);
            config.setAuthor(version.author);
            return kj::READY_NOW;
        }

    private:
        Peers*& peers;
    };

    // One instance with its server, over a log that may be down.
    struct TestInstance {
        TestInstance(const std::string& name, const std::string& domain, std::optional<Json> record, std::vector<std::string> seeds)
            : log(std::move(record))
            , server("127.0.0.1:0", [this] { return kj::heap<TestPlanner>(this->peers); })
        {
            CPPUNIT_ASSERT(!attemptVoid([this] { return this->server.start(); }));
            PeersOptions options { .own = { .instance = name, .incarnation = name, .domain = domain, .plannerAddress = this->server.address() }, .seeds = std::move(seeds) };
            options.logRetry = milliseconds(50);
            this->owned = std::make_unique<Peers>(options, this->clock, this->list, this->log);
            this->peers = this->owned.get();
            this->owned->setDriverReady(true);
            this->owned->start();
        }

        ~TestInstance()
        {
            this->owned->stop();
            this->server.stop();
        }

        SystemClock clock;
        NoList list;
        OneRecordLog log;
        Peers* peers { nullptr };
        std::unique_ptr<Peers> owned;
        rpc::ServerThread server;
    };

    bool eventually(const std::function<bool()>& holds)
    {
        std::mutex mutex;
        std::condition_variable never;
        std::unique_lock lock(mutex);
        for (int i = 0; i < 1000 && !holds(); ++i)
            never.wait_for(lock, milliseconds(10), [] { return false; });
        return holds();
    }

} // namespace

class PeersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeersTest);
    CPPUNIT_TEST(textReachesAnInstanceWithoutALog);
    CPPUNIT_TEST(leavingHandsTheDomainOver);
    CPPUNIT_TEST_SUITE_END();

public:
    // The log is out of reach for one instance. It must come to the text in
    // force through another, even of another domain.
    void textReachesAnInstanceWithoutALog()
    {
        const Json record = config::publishRecord({ .amends = 0, .yaml = testing::yamlNamed("one"), .author = "op", .id = "p" });
        TestInstance reader("e1", "a", record, {});
        TestInstance cut("e2", "b", std::nullopt, { reader.server.address() });
        CPPUNIT_ASSERT(eventually([&] { return cut.peers->textInForce().number == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::string("op"), cut.peers->textInForce().author);
        CPPUNIT_ASSERT(eventually([&] { return reader.peers->known().size() == 2 && reader.peers->known()[1].configVersion == 1; }));
    }

    // An instance is replaced. Callers must not wait for its silence to be
    // noticed: it says that it goes, and another takes the domain.
    void leavingHandsTheDomainOver()
    {
        TestInstance first("e1", "a", std::nullopt, {});
        CPPUNIT_ASSERT(eventually([&] { return first.peers->ownIsActive(); }));
        first.peers->setActive(true, 3);
        TestInstance second("e2", "a", std::nullopt, { first.server.address() });
        CPPUNIT_ASSERT(eventually([&] { return second.peers->activePlanner() == first.server.address(); }));
        CPPUNIT_ASSERT(eventually([&] { return first.peers->known().size() == 2; }));
        first.peers->leave();
        CPPUNIT_ASSERT(eventually([&] { return second.peers->ownIsActive() && first.peers->activePlanner() == second.server.address(); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeersTest);

} // namespace rattan::peers
