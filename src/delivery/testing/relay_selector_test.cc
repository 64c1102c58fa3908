#include "delivery/relay_offer.h"
#include "delivery/relay_selector.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>
#include <set>

using namespace rattan;
using namespace rattan::delivery;

namespace {

constexpr MachineCapacity smallMachine { 0.12, 2 };
constexpr MachineCapacity largeMachine { 0.5, 200 };
constexpr Millis begin = 1000;

class RelaySelectorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RelaySelectorTest);
    CPPUNIT_TEST(noRelaysIfPlannerServesAllWorkers);
    CPPUNIT_TEST(relaysAreUsedIfLinkIsTooSlow);
    CPPUNIT_TEST(workersUseRelaysOfTheirOwnDomain);
    CPPUNIT_TEST(domainWithoutRelaysUsesThoseOfOthers);
    CPPUNIT_TEST(largestInstancesAreUsedFirst);
    CPPUNIT_TEST(lostRelayMovesOnlyItsOwnWorkers);
    CPPUNIT_TEST(lostRelayIsUsedAgainLater);
    CPPUNIT_TEST(unresponsiveWorkerIsTriedDirectlyAndThroughRelay);
    CPPUNIT_TEST(offersExpire);
    CPPUNIT_TEST(offersAreEncodedAndParsed);
    CPPUNIT_TEST_SUITE_END();

public:
    // A relay would add a hop to each start without any benefit.
    void noRelaysIfPlannerServesAllWorkers()
    {
        RelaySelector selector(largeMachine);
        this->offer(selector, 5, largeMachine, begin);
        selector.setWorkers(this->locations(400));
        for (const WorkerLocation& location : this->locations(400))
            CPPUNIT_ASSERT(!selector.relayFor(location.id, begin));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), selector.activeRelayCount());
    }

    // Guards against a planner whose polls and starts saturate its link: its renewals wait behind
    // them, and it loses one term after another while its processor is idle.
    void relaysAreUsedIfLinkIsTooSlow()
    {
        RelaySelector selector({ 0.5, 2 });
        this->offer(selector, 15, smallMachine, begin);
        selector.setWorkers(this->locations(120));
        for (const WorkerLocation& location : this->locations(120))
            CPPUNIT_ASSERT(selector.relayFor(location.id, begin));
    }

    void workersUseRelaysOfTheirOwnDomain()
    {
        RelaySelector selector(smallMachine);
        this->offer(selector, 15, smallMachine, begin);
        selector.setWorkers(this->locations(120));
        for (const WorkerLocation& location : this->locations(120))
            CPPUNIT_ASSERT_EQUAL(location.domain, this->domains.at(*selector.relayFor(location.id, begin)));
    }

    void domainWithoutRelaysUsesThoseOfOthers()
    {
        RelaySelector selector(smallMachine);
        this->offer(selector, 1, smallMachine, begin);
        selector.setWorkers(this->locations(120));
        for (const WorkerLocation& location : this->locations(120))
            CPPUNIT_ASSERT(selector.relayFor(location.id, begin) == "10.0.0.0:7000");
    }

    // The planner sends one message per relay and batch, so few large relays are better than
    // many small ones.
    void largestInstancesAreUsedFirst()
    {
        RelaySelector selector(largeMachine);
        this->offer(selector, 100, smallMachine, begin);
        for (int i = 0; i < 10; ++i)
            selector.addOffer({ fmt::format("strong{}", i), this->domainOf(i), largeMachine }, begin);
        selector.setWorkers(this->locations(1100));
        for (const WorkerLocation& location : this->locations(1100))
            CPPUNIT_ASSERT(selector.relayFor(location.id, begin)->starts_with("strong"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), selector.activeRelayCount());
    }

    void lostRelayMovesOnlyItsOwnWorkers()
    {
        RelaySelector selector(smallMachine);
        this->offer(selector, 2 * domainCount, smallMachine, begin); // All of them are in use, so there is none to replace the lost one.
        const auto before = this->routes(selector, begin);
        const std::string lostRelay = before.begin()->second;
        selector.markRelayLost(lostRelay, begin + 10);
        std::size_t movedWorkers = 0;
        for (const auto& [worker, relay] : this->routes(selector, begin + 10)) {
            CPPUNIT_ASSERT(relay != lostRelay);
            if (before.at(worker) == lostRelay)
                ++movedWorkers;
            else
                CPPUNIT_ASSERT_EQUAL(before.at(worker), relay);
        }
        CPPUNIT_ASSERT(movedWorkers > 0);
    }

    void lostRelayIsUsedAgainLater()
    {
        RelaySelector selector(smallMachine);
        this->offer(selector, 5, smallMachine, begin);
        const auto before = this->routes(selector, begin);
        selector.markRelayLost("10.0.0.0:7000", begin);
        CPPUNIT_ASSERT(this->routes(selector, begin) != before);
        for (Millis now = begin; now <= begin + 5000; now += 1000)
            this->offer(selector, 5, smallMachine, now);
        CPPUNIT_ASSERT(this->routes(selector, begin + 5000) == before);
    }

    // A worker may be reachable from the planner but not from its relay, or the other way round.
    void unresponsiveWorkerIsTriedDirectlyAndThroughRelay()
    {
        RelaySelector selector(smallMachine);
        this->offer(selector, 5, smallMachine, begin);
        selector.setWorkers(this->locations(120));
        const std::string worker = this->locations(120).front().id;
        const auto relay = selector.relayFor(worker, begin);
        CPPUNIT_ASSERT(relay);
        selector.markRouteFailed(worker, begin);
        CPPUNIT_ASSERT(!selector.relayFor(worker, begin + 10));
        selector.markRouteFailed(worker, begin + 100);
        CPPUNIT_ASSERT(selector.relayFor(worker, begin + 110) == relay);
    }

    void offersExpire()
    {
        RelaySelector selector(smallMachine);
        this->offer(selector, 5, smallMachine, begin);
        CPPUNIT_ASSERT_EQUAL(std::size_t(120), this->routes(selector, begin).size());
        CPPUNIT_ASSERT(this->routes(selector, begin + 60000).empty());
    }

    void offersAreEncodedAndParsed()
    {
        const auto offer = parseOffer("10.0.0.1:7000", encodeOffer({ "", "here", { 0.125, 20 } }));
        CPPUNIT_ASSERT(offer && offer->peer == "10.0.0.1:7000" && offer->domain == "here");
        CPPUNIT_ASSERT_EQUAL(0.125, offer->capacity.cores);
        CPPUNIT_ASSERT_EQUAL(20.0, offer->capacity.megabitsPerSecond);
        for (const char* text : { "", "relay", "relay 1 2", "relay x 2 here", "relay 0 2 here", "beat 7", "relay nan 2 here" })
            CPPUNIT_ASSERT(!parseOffer("10.0.0.1:7000", text));
    }

private:
    static constexpr int domainCount = 5;

    std::string domainOf(int number) const { return fmt::format("domain-{}", number % domainCount); }

    std::vector<WorkerLocation> locations(int count) const
    {
        std::vector<WorkerLocation> found;
        found.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            found.push_back({ fmt::format("w{}", i), this->domainOf(i) });
        return found;
    }

    void offer(RelaySelector& selector, int count, const MachineCapacity& capacity, Millis now)
    {
        for (int i = 0; i < count; ++i) {
            const std::string peer = fmt::format("10.0.0.{}:7000", i);
            this->domains[peer] = this->domainOf(i);
            selector.addOffer({ peer, this->domainOf(i), capacity }, now);
        }
    }

    std::map<std::string, std::string> routes(RelaySelector& selector, Millis now) const
    {
        selector.setWorkers(this->locations(120));
        std::map<std::string, std::string> found;
        for (const WorkerLocation& location : this->locations(120)) {
            if (const auto relay = selector.relayFor(location.id, now))
                found.emplace(location.id, *relay);
        }
        return found;
    }

    std::map<std::string, std::string> domains; // By peer.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelaySelectorTest);

} // namespace
