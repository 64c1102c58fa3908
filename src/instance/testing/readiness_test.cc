#include "instance/readiness.h"

#include "instance/store_contact.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

using namespace rattan;
using namespace rattan::instance;

namespace {

constexpr Millis startTime = 100000;
constexpr Readiness::Condition served { .isLoaded = true, .isStopping = false, .reachesStore = true, .hasCurrentConfiguration = true };
constexpr Readiness::Condition cutOff { .isLoaded = true, .isStopping = false, .reachesStore = false, .hasCurrentConfiguration = true };

class ReadinessTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ReadinessTest);
    CPPUNIT_TEST(instanceIsNotReadyBeforeItHasLoadedOrWhileItStops);
    CPPUNIT_TEST(cutInstanceLeavesAndReturnsAtOnce);
    CPPUNIT_TEST(instanceRejectedByStoreLeavesWhilePeersReachIt);
    CPPUNIT_TEST(domainStaysWhileStoreIsAwayForAll);
    CPPUNIT_TEST(peersOfOwnDomainDoNotKeepCutDomainReady);
    CPPUNIT_TEST(oldAnswersOfPeersDoNotCount);
    CPPUNIT_TEST(flappingLinkKeepsInstanceOut);
    CPPUNIT_TEST(outdatedConfigurationIsNotReady);
    CPPUNIT_TEST(storeContactIsLostWithinASecond);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against callers that are sent to an instance which can't know their jobs yet.
    void instanceIsNotReadyBeforeItHasLoadedOrWhileItStops()
    {
        Readiness readiness("east-a");
        readiness.step({ .isLoaded = false, .reachesStore = true, .hasCurrentConfiguration = true }, startTime);
        this->expect(ReadinessState::Starting, false, readiness);
        readiness.step(served, startTime + 1);
        this->expect(ReadinessState::Ready, true, readiness);
        readiness.step({ .isLoaded = true, .isStopping = true, .reachesStore = true, .hasCurrentConfiguration = true }, startTime + 2);
        this->expect(ReadinessState::Stopping, false, readiness);
    }

    // Guards against a cut instance that answers callers with refusals until the cut ends, and against
    // one that stays away after it.
    void cutInstanceLeavesAndReturnsAtOnce()
    {
        Readiness readiness = readyInstance();
        CPPUNIT_ASSERT(readiness.step(cutOff, startTime + 1000));
        this->expect(ReadinessState::StoreUnreachable, false, readiness);
        CPPUNIT_ASSERT(!readiness.step(cutOff, startTime + 5000));
        CPPUNIT_ASSERT(readiness.step(served, startTime + 5700));
        this->expect(ReadinessState::Ready, true, readiness);
    }

    // Guards against an instance that the store rejects and that keeps callers whom its peers could
    // serve.
    void instanceRejectedByStoreLeavesWhilePeersReachIt()
    {
        Readiness readiness = readyInstance();
        readiness.peerAnswered("east-b", false, startTime + 900);
        readiness.peerAnswered("east-c", true, startTime + 950);
        readiness.step(cutOff, startTime + 1000);
        this->expect(ReadinessState::StoreUnreachable, false, readiness);
    }

    // Guards against a whole domain that leaves when its callers could only be sent to instances as
    // blind as it.
    void domainStaysWhileStoreIsAwayForAll()
    {
        Readiness readiness = readyInstance();
        readiness.peerAnswered("east-b", false, startTime + 950);
        readiness.step(cutOff, startTime + 1000);
        this->expect(ReadinessState::StoreAway, true, readiness);
        readiness.step(served, startTime + 1100);
        this->expect(ReadinessState::Ready, true, readiness);
    }

    // Guards against a cut domain whose instances keep each other in rotation.
    void peersOfOwnDomainDoNotKeepCutDomainReady()
    {
        Readiness readiness = readyInstance();
        readiness.peerAnswered("east-a", false, startTime + 950);
        readiness.peerAnswered("", false, startTime + 950);
        readiness.step(cutOff, startTime + 1000);
        this->expect(ReadinessState::StoreUnreachable, false, readiness);
    }

    // Guards against an answer from before a cut that keeps the cut instance in rotation.
    void oldAnswersOfPeersDoNotCount()
    {
        Readiness readiness = readyInstance();
        readiness.peerAnswered("east-b", false, startTime);
        readiness.step(cutOff, startTime + 3000);
        this->expect(ReadinessState::StoreAway, true, readiness);
        readiness.step(cutOff, startTime + 3001);
        this->expect(ReadinessState::StoreUnreachable, false, readiness);
    }

    // Guards against an instance that leaves and returns by turns, so that every second attempt of a
    // caller meets a refusal.
    void flappingLinkKeepsInstanceOut()
    {
        constexpr Millis period = 3000;
        constexpr int periods = 10;
        Readiness readiness = readyInstance();
        int returns = 0;
        for (int i = 0; i < periods; ++i) {
            const Millis at = startTime + i * period;
            readiness.step(cutOff, at);
            for (Millis since = period / 2; since < period; since += 100) {
                const bool changed = readiness.step(served, at + since);
                returns += changed && readiness.isReady() ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT(returns <= 2);
        readiness.step(served, startTime + periods * period + 8000);
        this->expect(ReadinessState::Ready, true, readiness);
    }

    // Guards against callers whose keys can't be checked here but elsewhere.
    void outdatedConfigurationIsNotReady()
    {
        Readiness readiness = readyInstance();
        readiness.step({ .isLoaded = true, .reachesStore = true, .hasCurrentConfiguration = false }, startTime + 1000);
        this->expect(ReadinessState::ConfigurationOutdated, false, readiness);
        readiness.step(served, startTime + 1100);
        this->expect(ReadinessState::Ready, true, readiness);
    }

    // Guards against a silent link that is noticed only when waiting reads time out.
    void storeContactIsLostWithinASecond()
    {
        StoreContact contact;
        contact.storeAnswered(startTime);
        CPPUNIT_ASSERT(!contact.shouldProbe(startTime + 500));
        CPPUNIT_ASSERT(contact.shouldProbe(startTime + 501));
        CPPUNIT_ASSERT(contact.isReachable(startTime + 501));
        CPPUNIT_ASSERT(!contact.isReachable(startTime + 1000));
        contact.storeAnswered(startTime + 1001);
        contact.storeAnswered(startTime);
        CPPUNIT_ASSERT(contact.isReachable(startTime + 1001));
    }

private:
    static Readiness readyInstance()
    {
        Readiness readiness("east-a");
        readiness.step(served, startTime);
        return readiness;
    }

    void expect(ReadinessState state, bool isReady, const Readiness& readiness) const
    {
        CPPUNIT_ASSERT_EQUAL(std::string(nameOf(state)), std::string(nameOf(readiness.state())));
        CPPUNIT_ASSERT_EQUAL(isReady, readiness.isReady());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadinessTest);

} // namespace
