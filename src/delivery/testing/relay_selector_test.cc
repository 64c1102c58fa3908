#include "delivery/relay_offer.h"
#include "delivery/relay_selector.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>
#include <set>

using namespace rattan;
using namespace rattan::delivery;

namespace {

constexpr Strength weak { 0.12, 2 };
constexpr Strength strong { 0.5, 200 };
constexpr Millis begin = 1000;

class RelayRosterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RelayRosterTest);
    CPPUNIT_TEST(aPlannerThatCanServeAllPassesNothingOn);
    CPPUNIT_TEST(aNarrowLinkSharesOut);
    CPPUNIT_TEST(workersAreServedFromTheirOwnDomain);
    CPPUNIT_TEST(aDomainWithoutRelaysIsServedByOthers);
    CPPUNIT_TEST(strongInstancesComeFirst);
    CPPUNIT_TEST(aLostRelayMovesOnlyItsOwnWorkers);
    CPPUNIT_TEST(aLostRelayIsTriedAgain);
    CPPUNIT_TEST(aSilentWorkerIsTriedBothWays);
    CPPUNIT_TEST(offersEnd);
    CPPUNIT_TEST(offersAsDatagrams);
    CPPUNIT_TEST_SUITE_END();

public:
    // Through a relay each start is a hop longer, for nothing.
    void aPlannerThatCanServeAllPassesNothingOn()
    {
        RelayRoster roster(strong);
        this->offer(roster, 5, strong, begin);
        roster.setWorkers(this->places(400));
        for (const WorkerPlace& place : this->places(400))
            CPPUNIT_ASSERT(!roster.routeOf(place.id, begin));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), roster.relays());
    }

    // Polls and starts fill the planner's link, its renewals wait behind them, and it loses
    // term after term while its processor idles.
    void aNarrowLinkSharesOut()
    {
        RelayRoster roster({ 0.5, 2 });
        this->offer(roster, 15, weak, begin);
        roster.setWorkers(this->places(120));
        for (const WorkerPlace& place : this->places(120))
            CPPUNIT_ASSERT(roster.routeOf(place.id, begin));
    }

    void workersAreServedFromTheirOwnDomain()
    {
        RelayRoster roster(weak);
        this->offer(roster, 15, weak, begin);
        roster.setWorkers(this->places(120));
        for (const WorkerPlace& place : this->places(120))
            CPPUNIT_ASSERT_EQUAL(place.domain, this->domains.at(*roster.routeOf(place.id, begin)));
    }

    void aDomainWithoutRelaysIsServedByOthers()
    {
        RelayRoster roster(weak);
        this->offer(roster, 1, weak, begin);
        roster.setWorkers(this->places(120));
        for (const WorkerPlace& place : this->places(120))
            CPPUNIT_ASSERT(roster.routeOf(place.id, begin) == "10.0.0.0:7000");
    }

    // Each relay costs the planner a message for each batch, so few strong ones are better
    // than many weak ones.
    void strongInstancesComeFirst()
    {
        RelayRoster roster(strong);
        this->offer(roster, 100, weak, begin);
        for (int i = 0; i < 10; ++i)
            roster.offered({ fmt::format("strong{}", i), this->domainOf(i), strong }, begin);
        roster.setWorkers(this->places(1100));
        for (const WorkerPlace& place : this->places(1100))
            CPPUNIT_ASSERT(roster.routeOf(place.id, begin)->starts_with("strong"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), roster.relays());
    }

    void aLostRelayMovesOnlyItsOwnWorkers()
    {
        RelayRoster roster(weak);
        this->offer(roster, 2 * domainCount, weak, begin); // All of them are needed, so none steps in.
        const auto before = this->routes(roster, begin);
        const std::string lost = before.begin()->second;
        roster.relayLost(lost, begin + 10);
        std::size_t moved = 0;
        for (const auto& [worker, relay] : this->routes(roster, begin + 10)) {
            CPPUNIT_ASSERT(relay != lost);
            if (before.at(worker) == lost)
                ++moved;
            else
                CPPUNIT_ASSERT_EQUAL(before.at(worker), relay);
        }
        CPPUNIT_ASSERT(moved > 0);
    }

    void aLostRelayIsTriedAgain()
    {
        RelayRoster roster(weak);
        this->offer(roster, 5, weak, begin);
        const auto before = this->routes(roster, begin);
        roster.relayLost("10.0.0.0:7000", begin);
        CPPUNIT_ASSERT(this->routes(roster, begin) != before);
        for (Millis now = begin; now <= begin + 5000; now += 1000)
            this->offer(roster, 5, weak, now);
        CPPUNIT_ASSERT(this->routes(roster, begin + 5000) == before);
    }

    // A relay may be cut off from a worker that the planner reaches, and the other way round.
    void aSilentWorkerIsTriedBothWays()
    {
        RelayRoster roster(weak);
        this->offer(roster, 5, weak, begin);
        roster.setWorkers(this->places(120));
        const std::string worker = this->places(120).front().id;
        const auto relay = roster.routeOf(worker, begin);
        CPPUNIT_ASSERT(relay);
        roster.routeFailed(worker, begin);
        CPPUNIT_ASSERT(!roster.routeOf(worker, begin + 10));
        roster.routeFailed(worker, begin + 100);
        CPPUNIT_ASSERT(roster.routeOf(worker, begin + 110) == relay);
    }

    void offersEnd()
    {
        RelayRoster roster(weak);
        this->offer(roster, 5, weak, begin);
        CPPUNIT_ASSERT_EQUAL(std::size_t(120), this->routes(roster, begin).size());
        CPPUNIT_ASSERT(this->routes(roster, begin + 60000).empty());
    }

    void offersAsDatagrams()
    {
        const auto offer = parseOffer("10.0.0.1:7000", encodeOffer({ "", "here", { 0.125, 20 } }));
        CPPUNIT_ASSERT(offer && offer->peer == "10.0.0.1:7000" && offer->domain == "here");
        CPPUNIT_ASSERT_EQUAL(0.125, offer->strength.cores);
        CPPUNIT_ASSERT_EQUAL(20.0, offer->strength.megabits);
        for (const char* text : { "", "relay", "relay 1 2", "relay x 2 here", "relay 0 2 here", "beat 7", "relay nan 2 here" })
            CPPUNIT_ASSERT(!parseOffer("10.0.0.1:7000", text));
    }

private:
    static constexpr int domainCount = 5;

    std::string domainOf(int number) const { return fmt::format("domain-{}", number % domainCount); }

    std::vector<WorkerPlace> places(int count) const
    {
        std::vector<WorkerPlace> found;
        found.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            found.push_back({ fmt::format("w{}", i), this->domainOf(i) });
        return found;
    }

    void offer(RelayRoster& roster, int count, const Strength& strength, Millis now)
    {
        for (int i = 0; i < count; ++i) {
            const std::string peer = fmt::format("10.0.0.{}:7000", i);
            this->domains[peer] = this->domainOf(i);
            roster.offered({ peer, this->domainOf(i), strength }, now);
        }
    }

    std::map<std::string, std::string> routes(RelayRoster& roster, Millis now) const
    {
        roster.setWorkers(this->places(120));
        std::map<std::string, std::string> found;
        for (const WorkerPlace& place : this->places(120)) {
            if (const auto relay = roster.routeOf(place.id, now))
                found.emplace(place.id, *relay);
        }
        return found;
    }

    std::map<std::string, std::string> domains; // By peer.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayRosterTest);

} // namespace
