#include "entry/claim_log.h"

#include "entry/claim_key.h"
#include "entry/testing/fake_log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <future>

namespace rattan::entry {

namespace {

    constexpr Millis patience = 10000;

} // namespace

class ClaimLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClaimLogTest);
    CPPUNIT_TEST(oneOfManyClaimantsWins);
    CPPUNIT_TEST(waitingClaimsShareAnAppend);
    CPPUNIT_TEST(lateClaimIsNotDispatched);
    CPPUNIT_TEST(trimmedAndRestartedRefusesOldKeys);
    CPPUNIT_TEST(killedClaimantLeavesUnknown);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->first = this->newEntry("e1");
        this->second = this->newEntry("e2");
    }

    void tearDown() override
    {
        this->first.reset();
        this->second.reset();
    }

    // A nervous client sends the same hold through both entries eight times at
    // once. Exactly one of the sixteen may be dispatched.
    void oneOfManyClaimantsWins()
    {
        for (int round = 0; round < 5; ++round) {
            const std::string key = this->newKey();
            std::vector<std::future<Attempt<Claim>>> claims;
            for (int i = 0; i < 16; ++i) {
                ClaimLog& entry = i % 2 == 0 ? *this->first : *this->second;
                claims.push_back(std::async(std::launch::async, [&entry, &key, this] { return this->claim(entry, key); }));
            }
            int mine = 0;
            for (auto& claim : claims) {
                const Attempt<Claim> result = claim.get();
                CPPUNIT_ASSERT(result);
                mine += result->mine ? 1 : 0;
            }
            CPPUNIT_ASSERT_EQUAL(1, mine);
        }
    }

    // Many holds come while one append is under way. An append for each would be
    // more than the log takes in a second.
    void waitingClaimsShareAnAppend()
    {
        constexpr int holds = 200;
        std::vector<std::future<Attempt<Claim>>> claims;
        claims.reserve(holds);
        for (int i = 0; i < holds; ++i)
            claims.push_back(std::async(std::launch::async, [this] { return this->claim(*this->first, this->newKey()); }));
        for (auto& claim : claims)
            CPPUNIT_ASSERT(claim.get()->mine);
        CPPUNIT_ASSERT(this->log.appends() < holds);
    }

    // The append hangs and takes effect after the request was given up. The
    // entry must not dispatch it then, and the caller's next try must get through.
    void lateClaimIsNotDispatched()
    {
        const std::string key = this->newKey();
        this->log.delayAppends(1);
        const Attempt<Claim> late = attempt([&] { return this->first->claim({ "tours", key, "booking/hold", "", this->clock.now() + 300 }); });
        CPPUNIT_ASSERT(!late);
        CPPUNIT_ASSERT(late.error.code == ErrorCode::Timeout);
        this->waitForRecords(1);
        this->log.land();
        this->waitForRecords(2);
        Attempt<Claim> next = this->claim(*this->second, key);
        CPPUNIT_ASSERT(next);
        CPPUNIT_ASSERT(next->mine);
    }

    // Both entries are replaced, and the log has dropped the claims meanwhile. A
    // hold that ran may be asked for again with its old key; it must not run.
    void trimmedAndRestartedRefusesOldKeys()
    {
        const std::string key = this->newKey();
        CPPUNIT_ASSERT(this->claim(*this->first, key)->mine);
        this->first.reset();
        this->log.trim("claims", this->log.records("claims").size());
        this->first = this->newEntry("e1");
        const Attempt<Claim> again = this->claim(*this->first, key);
        CPPUNIT_ASSERT(!again || !again->mine);
    }

    // An entry dies between its claim and the outcome. Whether it dispatched
    // nobody can know, so nobody may dispatch again or say "not run".
    void killedClaimantLeavesUnknown()
    {
        const std::string key = this->newKey();
        CPPUNIT_ASSERT(this->claim(*this->first, key)->mine);
        this->first.reset();
        const Attempt<Claim> again = this->claim(*this->second, key);
        CPPUNIT_ASSERT(again);
        CPPUNIT_ASSERT(!again->mine);
        CPPUNIT_ASSERT(again->view.stage == KeyStage::Claimed);
    }

private:
    std::unique_ptr<ClaimLog> newEntry(const std::string& name)
    {
        auto entry = std::make_unique<ClaimLog>(this->log, name, ClaimLimits {}, this->clock);
        entry->start();
        while (!entry->caughtUp())
            std::this_thread::yield();
        return entry;
    }

    std::string newKey() const { return mintKey(this->clock.wall()); }

    Attempt<Claim> claim(ClaimLog& entry, const std::string& key) const
    {
        return attempt([&] { return entry.claim({ "tours", key, "booking/hold", "", this->clock.now() + patience }); });
    }

    // Records other than the marks that keep the stream alive.
    void waitForRecords(std::size_t count)
    {
        const Millis limit = this->clock.now() + patience;
        const auto isOfAKey = [](const Json& record) { return record["kind"] != "mark"; };
        while (this->clock.now() < limit) {
            const std::vector<Json> records = this->log.records("claims");
            if (static_cast<std::size_t>(std::count_if(records.begin(), records.end(), isOfAKey)) >= count)
                return;
            std::this_thread::yield();
        }
        CPPUNIT_FAIL("the records did not come");
    }

    SystemClock clock;
    testing::FakeLog log { this->clock };
    std::unique_ptr<ClaimLog> first;
    std::unique_ptr<ClaimLog> second;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimLogTest);

} // namespace rattan::entry
