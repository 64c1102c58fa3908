#include "peers/membership.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan::peers {

namespace {

    constexpr Millis start = 100000;

    InstanceReport report(const std::string& name, const std::string& domain = "a")
    {
        return { .instance = name, .incarnation = name + "-1", .domain = domain, .plannerAddress = name + ":1", .driverReady = true };
    }

    platform::Instance listed(const std::string& name, bool leaving = false)
    {
        platform::Instance instance { .id = name, .kind = platform::InstanceKind::Entry, .domain = "a", .leaving = leaving };
        instance.rpc = name + ":1";
        return instance;
    }

    std::string activeOf(const Membership& membership, Millis now)
    {
        const InstanceReport* active = membership.activePlanner(now);
        return active ? active->instance : "";
    }

} // namespace

class MembershipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(everybodyChoosesTheSame);
    CPPUNIT_TEST(holderKeepsTheDomain);
    CPPUNIT_TEST(freshInstanceListensFirst);
    CPPUNIT_TEST(leavingAndSilentInstancesDoNotDecide);
    CPPUNIT_TEST(higherEpochWinsAmongTwoHolders);
    CPPUNIT_TEST(oldHearsayDoesNotRevive);
    CPPUNIT_TEST(heartbeatCountsOverTheList);
    CPPUNIT_TEST(staysBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void everybodyChoosesTheSame()
    {
        const std::vector<std::string> names { "e1", "e2", "e3", "e4" };
        std::set<std::string> choices;
        for (const std::string& own : names) {
            Membership membership({}, report(own), {}, start);
            for (const std::string& other : names) {
                if (other != own)
                    membership.heard(report(other), start + 1600);
            }
            choices.insert(activeOf(membership, start + 1700));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, choices.size());
    }

    // An instance comes back after a replacement and has the higher hash. Each
    // change of the holder costs callers a pause, so it must not take over.
    void holderKeepsTheDomain()
    {
        for (const std::string holder : { "e1", "e2", "e3" }) {
            Membership membership({}, report("e4"), {}, start);
            for (const std::string other : { "e1", "e2", "e3" }) {
                InstanceReport said = report(other);
                said.activePlanner = other == holder;
                said.epoch = said.activePlanner ? 9 : 0;
                membership.heard(said, start + 5000);
            }
            CPPUNIT_ASSERT_EQUAL(holder, activeOf(membership, start + 5100));
        }
    }

    void freshInstanceListensFirst()
    {
        Membership alone({}, report("e1"), { "e2:1" }, start);
        CPPUNIT_ASSERT_EQUAL(std::string(), activeOf(alone, start + 200));
        CPPUNIT_ASSERT(alone.ownIsActive(start + 1500));
        Membership told({}, report("e1"), { "e2:1" }, start);
        told.unanswered("e2:1");
        CPPUNIT_ASSERT(told.ownIsActive(start + 200));
    }

    // The holder says that it goes, or its machine dies. Callers wait until
    // another decides, so it must not keep the domain.
    void leavingAndSilentInstancesDoNotDecide()
    {
        Membership membership({}, report("e1"), {}, start);
        InstanceReport holder = report("e2");
        holder.activePlanner = true;
        membership.heard(holder, start + 3000);
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), activeOf(membership, start + 4900));
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), activeOf(membership, start + 5100));
        holder.leaving = true;
        membership.heard(holder, start + 6000);
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), activeOf(membership, start + 6001));
    }

    // A cut heals and two instances hold the domain. They must agree at once on
    // which of them goes on.
    void higherEpochWinsAmongTwoHolders()
    {
        InstanceReport own = report("e1");
        Membership membership({}, own, {}, start);
        own.activePlanner = true;
        own.epoch = 4;
        membership.updateOwn(own);
        InstanceReport other = report("e2");
        other.activePlanner = true;
        other.epoch = 5;
        membership.heard(other, start + 2000);
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), activeOf(membership, start + 2100));
    }

    // A peer passes on what it heard of an instance before that was replaced.
    // Taking it would send callers to an address that nobody serves.
    void oldHearsayDoesNotRevive()
    {
        Membership membership({}, report("e1"), {}, start);
        InstanceReport fresh = report("e2");
        fresh.incarnation = "new";
        membership.heard(fresh, start + 5000);
        InstanceReport old = report("e2");
        old.age = 3000;
        old.leaving = true;
        membership.told({ old }, start + 6000);
        CPPUNIT_ASSERT_EQUAL(std::string("new"), membership.live(start + 6000).front().incarnation);
        CPPUNIT_ASSERT_EQUAL(Millis { 1000 }, membership.live(start + 6000).front().age);
    }

    // The list still misses an instance that serves, and still names one that
    // is gone. Only the heartbeats are current.
    void heartbeatCountsOverTheList()
    {
        Membership membership({}, report("e1"), {}, start);
        membership.list({ listed("e3") }, start + 1000);
        membership.heard(report("e2"), start + 3000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, membership.live(start + 3000).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, membership.neighbourAddresses().size());
        membership.list({ listed("e2", true) }, start + 3500);
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), activeOf(membership, start + 3600));
        // Replaced under the same name: its old address answers nobody.
        platform::Instance moved = listed("e2");
        moved.rpc = "e2:9";
        membership.list({ moved }, start + 4000);
        CPPUNIT_ASSERT_EQUAL(std::string("e2:1"), membership.neighbourAddresses().front());
        membership.list({ moved }, start + 6000);
        CPPUNIT_ASSERT_EQUAL(std::string("e2:9"), membership.neighbourAddresses().front());
    }

    void staysBounded()
    {
        Membership membership({ .mostInstances = 10 }, report("e0"), {}, start);
        for (int i = 1; i < 100; ++i)
            membership.heard(report("e" + std::to_string(i)), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 11 }, membership.known(start).size());
        membership.list({}, start + 70000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, membership.known(start + 70000).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace rattan::peers
