#include "driver/gang_keeper.h"

#include "driver/testing/virtual_domain.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan::driver {

using testing::VirtualDomain;

namespace {

    constexpr std::uint64_t epoch = 5;
    constexpr Millis longRun = 600000;

    // As docs/GANGS.md states it.
    Millis partialBound(const KeeperOptions& options) { return options.lease + options.period + options.reply; }

    // A domain with one gang over all its workers, running.
    VirtualDomain runningGang(std::size_t workers, std::size_t drivers = 1)
    {
        VirtualDomain domain(workers, drivers);
        std::vector<std::size_t> all(workers);
        for (std::size_t i = 0; i < workers; ++i)
            all[i] = i;
        CPPUNIT_ASSERT(domain.give(0, epoch, { domain.order(1, all, 8, longRun) }));
        CPPUNIT_ASSERT(domain.runUntil([&] { return domain.heard(0, GangEventKind::Started, 1) == 1; }, 1000));
        return domain;
    }

} // namespace

class GangKeeperTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GangKeeperTest);
    CPPUNIT_TEST(startsWithinTwoRoundTrips);
    CPPUNIT_TEST(refusalFreesEveryMember);
    CPPUNIT_TEST(halfReservedGangsDoNotDeadlock);
    CPPUNIT_TEST(failedStartStopsTheRest);
    CPPUNIT_TEST(keepsRunningThroughLostAnswers);
    CPPUNIT_TEST(cutMemberStopsTheRest);
    CPPUNIT_TEST(deadMemberStopsTheRest);
    CPPUNIT_TEST(frozenDriverLetsGangLapse);
    CPPUNIT_TEST(silentPlannerDoesNotStopGangs);
    CPPUNIT_TEST(higherEpochTakesOver);
    CPPUNIT_TEST(adoptionWaitsForEveryMember);
    CPPUNIT_TEST(finishedLeasesStayUntilAcknowledged);
    CPPUNIT_TEST(checkpointKeepsProgress);
    CPPUNIT_TEST(surveyIsCompleteWithoutSilentWorkers);
    CPPUNIT_TEST(strayLeaseIsReleased);
    CPPUNIT_TEST(refusesWhatItCannotTake);
    CPPUNIT_TEST_SUITE_END();

public:
    void startsWithinTwoRoundTrips()
    {
        VirtualDomain domain(4, 1);
        domain.runFor(300);
        domain.give(0, epoch, {});
        domain.runFor(300);
        const Millis ordered = domain.now;
        CPPUNIT_ASSERT(domain.give(0, epoch, { domain.order(1, { 0, 1, 2, 3 }, 8, longRun) }));
        CPPUNIT_ASSERT(domain.runUntil([&] { return domain.running("1.1") == 4; }, 1000));
        CPPUNIT_ASSERT(domain.now - ordered <= 2 * (2 * 15 + 2 * VirtualDomain::step));
        CPPUNIT_ASSERT(domain.runUntil([&] { return domain.heard(0, GangEventKind::Started, 1) == 1; }, 100));
    }

    // One worker of a gang is already taken. Without stopping the others at
    // once, their accelerators would stand idle and another job would wait.
    void refusalFreesEveryMember()
    {
        VirtualDomain domain(3, 1);
        domain.give(0, epoch, { domain.order(1, { 2 }, 8, longRun) });
        domain.runFor(500);
        domain.give(0, epoch, { domain.order(2, { 0, 1, 2 }, 8, longRun) });
        CPPUNIT_ASSERT(domain.runUntil([&] { return domain.heard(0, GangEventKind::Failed, 2) == 1; }, 500));
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), domain.drivers[0].heard.back().worker);
        domain.runFor(500);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, domain.workers[0].taken() + domain.workers[1].taken());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, domain.running("1.1"));
    }

    // Two planners each get half of the same two workers. If both held on, both
    // jobs would wait for ever.
    void halfReservedGangsDoNotDeadlock()
    {
        VirtualDomain domain(2, 2);
        domain.give(0, epoch, { domain.order(1, { 0, 1 }, 8, longRun) });
        domain.give(1, epoch, { domain.order(2, { 1, 0 }, 8, longRun) });
        domain.runFor(3000);
        CPPUNIT_ASSERT(domain.running("1.1") + domain.running("2.1") != 1);
        if (domain.running("1.1") + domain.running("2.1") == 0)
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, domain.workers[0].taken() + domain.workers[1].taken());
        CPPUNIT_ASSERT(domain.faults.empty());
    }

    // A worker takes reservations and fails every start. The members that did
    // start would compute alone.
    void failedStartStopsTheRest()
    {
        VirtualDomain domain(3, 1);
        domain.workers[1].failsStarts = true;
        domain.give(0, epoch, { domain.order(1, { 0, 1, 2 }, 8, longRun) });
        CPPUNIT_ASSERT(domain.runUntil([&] { return domain.heard(0, GangEventKind::Failed, 1) == 1; }, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, domain.running("1.1"));
        CPPUNIT_ASSERT(domain.faults.empty());
    }

    // One answer in ten gets lost on the way; a job of minutes must not end by it.
    void keepsRunningThroughLostAnswers()
    {
        VirtualDomain domain = runningGang(4);
        domain.lossShare = 0.05;
        domain.runFor(60000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, domain.running("1.1"));
    }

    // The link to one member is cut while the gang runs. The user's render must
    // not go on with half its accelerators.
    void cutMemberStopsTheRest()
    {
        VirtualDomain domain = runningGang(4);
        domain.runFor(1234);
        const Millis cut = domain.now;
        domain.cutUntil[2] = cut + 60000;
        CPPUNIT_ASSERT(domain.runUntil([&] { return domain.heard(0, GangEventKind::Failed, 1) == 1; }, 20000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, domain.running("1.1"));
        CPPUNIT_ASSERT(domain.now - cut <= partialBound(domain.options) + domain.options.lease);
        CPPUNIT_ASSERT(domain.longestPartial <= partialBound(domain.options));
        CPPUNIT_ASSERT(domain.faults.empty());
    }

    // A member's machine dies with its task. The others would go on computing
    // what nobody can finish, on accelerators that others wait for.
    void deadMemberStopsTheRest()
    {
        VirtualDomain domain = runningGang(4);
        domain.runFor(1234);
        domain.workers[2].leases.clear();
        domain.cutUntil[2] = domain.now + 60000;
        CPPUNIT_ASSERT(domain.runUntil([&] { return domain.running("1.1") == 0; }, 20000));
        CPPUNIT_ASSERT(domain.longestPartial > 0 && domain.longestPartial <= partialBound(domain.options));
        CPPUNIT_ASSERT(domain.runUntil([&] { return domain.heard(0, GangEventKind::Failed, 1) == 1; }, 10000));
        CPPUNIT_ASSERT(domain.faults.empty());
    }

    // The driver's machine sleeps for longer than a lease. Nothing may run in
    // part, and on waking it must not renew or start from its old picture.
    void frozenDriverLetsGangLapse()
    {
        VirtualDomain domain = runningGang(4);
        domain.give(0, epoch, { domain.order(2, {}, 8, longRun) });
        domain.drivers[0].frozenUntil = domain.now + 9000;
        domain.runFor(8500);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, domain.running("1.1"));
        CPPUNIT_ASSERT(domain.longestPartial <= partialBound(domain.options));
        CPPUNIT_ASSERT(domain.runUntil([&] { return domain.heard(0, GangEventKind::Failed, 1) == 1; }, 3000));
        domain.runFor(3000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, domain.running("1.1"));
    }

    // The planner hangs. Jobs of hours go on; only new ones have to wait.
    void silentPlannerDoesNotStopGangs()
    {
        VirtualDomain domain = runningGang(2);
        domain.acknowledges = false;
        domain.runFor(120000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, domain.running("1.1"));
    }

    // The instance is replaced: another driver takes the gang over under a
    // higher epoch while the first still lives. The job must not notice.
    void higherEpochTakesOver()
    {
        VirtualDomain domain = runningGang(3, 2);
        CPPUNIT_ASSERT(attempt([&] { return domain.drivers[1].keeper.survey("other", epoch + 1, domain.now); }).value);
        domain.runFor(200);
        const auto survey = attempt([&] { return domain.drivers[1].keeper.survey("other", epoch + 1, domain.now); });
        CPPUNIT_ASSERT(survey->complete);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 3 }, survey->workers[0].leases[0].gangSize);
        domain.give(1, epoch + 1, { { .kind = OrderKind::AdoptGang, .id = { 1, 1 } } });
        domain.runFor(20000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, domain.heard(0, GangEventKind::EpochRefused, 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, domain.drivers[0].keeper.gangCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, domain.heard(1, GangEventKind::Started, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, domain.running("1.1"));
        CPPUNIT_ASSERT(!domain.give(0, epoch, { domain.order(3, { 0 }, 1, longRun) }));
    }

    // A driver dies, and one member is cut off before the next takes over. The
    // others must not be renewed on the strength of those that were seen.
    void adoptionWaitsForEveryMember()
    {
        VirtualDomain domain = runningGang(3, 2);
        domain.drivers[0].frozenUntil = domain.now + 100000;
        domain.cutUntil[1] = domain.now + 100000;
        const GangOrder adopt = [&] {
            GangOrder made = domain.order(1, { 0, 1, 2 }, 8, longRun);
            made.kind = OrderKind::AdoptGang;
            return made;
        }();
        CPPUNIT_ASSERT(domain.give(1, epoch + 1, { adopt }));
        CPPUNIT_ASSERT(domain.runUntil([&] { return domain.heard(1, GangEventKind::Failed, 1) == 1; }, 15000));
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), domain.drivers[1].heard.back().worker);
        CPPUNIT_ASSERT(domain.longestPartial <= partialBound(domain.options));
        CPPUNIT_ASSERT(domain.faults.empty());
    }

    // The planner dies between a gang's end and taking note of it. The result
    // must still be there for the next one.
    void finishedLeasesStayUntilAcknowledged()
    {
        VirtualDomain domain(2, 1);
        domain.acknowledges = false;
        domain.give(0, epoch, { domain.order(1, { 0, 1 }, 8, 3000) });
        CPPUNIT_ASSERT(domain.runUntil([&] { return domain.heard(0, GangEventKind::Finished, 1) == 1; }, 6000));
        CPPUNIT_ASSERT_EQUAL(std::string("made by w0"), domain.drivers[0].heard.back().result);
        domain.runFor(5000);
        CPPUNIT_ASSERT(domain.workers[0].isDone("1.1"));
        domain.acknowledges = true;
        domain.runFor(500);
        CPPUNIT_ASSERT(domain.workers[0].leases.empty() && domain.workers[1].leases.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, domain.drivers[0].keeper.gangCount());
    }

    void checkpointKeepsProgress()
    {
        VirtualDomain domain(2, 1);
        domain.give(0, epoch, { domain.order(1, { 0, 1 }, 8, 10000) });
        domain.runFor(5000);
        domain.give(0, epoch, { { .kind = OrderKind::CheckpointGang, .id = { 1, 1 }, .reason = "reclaimed" } });
        CPPUNIT_ASSERT(domain.runUntil([&] { return domain.heard(0, GangEventKind::Stopped, 1) == 1; }, 4000));
        const GangEvent& stopped = domain.drivers[0].heard.back();
        CPPUNIT_ASSERT(stopped.progress > 0.45 && stopped.progress < 0.75);
        CPPUNIT_ASSERT_EQUAL(std::string("reclaimed"), stopped.reason);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, domain.workers[0].taken());
    }

    // A worker is down when a planner starts. Waiting for it for ever would keep
    // the whole domain from serving.
    void surveyIsCompleteWithoutSilentWorkers()
    {
        VirtualDomain domain(3, 1);
        domain.cutUntil[0] = domain.now + 100000;
        const auto isComplete = [&] {
            const auto survey = attempt([&] { return domain.drivers[0].keeper.survey("planner", epoch, domain.now); });
            return survey->complete;
        };
        domain.runFor(1000);
        CPPUNIT_ASSERT(!isComplete());
        CPPUNIT_ASSERT(domain.runUntil(isComplete, domain.options.foreignSilence()));
        const auto survey = attempt([&] { return domain.drivers[0].keeper.survey("planner", epoch, domain.now); });
        CPPUNIT_ASSERT(!survey->workers[0].reachable && survey->workers[1].reachable);
        CPPUNIT_ASSERT_EQUAL(epoch, survey->workers[1].epoch);
    }

    void strayLeaseIsReleased()
    {
        VirtualDomain domain(1, 1);
        platform::WorkerExchange ask { .holder = "gone", .epoch = 1 };
        ask.ops.push_back({ .kind = platform::WorkerOpKind::Reserve, .lease = "9.1", .accelerators = 8, .ttl = longRun });
        CPPUNIT_ASSERT(attempt([&] { return domain.workers[0].exchange(ask, domain.now); }).value);
        GangOrder release { .kind = OrderKind::ReleaseOrphan, .lease = "9.1" };
        release.members.push_back({ "w0", "0" });
        CPPUNIT_ASSERT(domain.give(0, epoch, { release }));
        CPPUNIT_ASSERT(domain.runUntil([&] { return domain.workers[0].leases.empty(); }, 500));
    }

    void refusesWhatItCannotTake()
    {
        VirtualDomain domain(1, 1, 1, { .mostGangs = 1 });
        CPPUNIT_ASSERT(!domain.give(0, epoch, { domain.order(1, { 0 }, 1, 1000), domain.order(2, { 0 }, 1, 1000) }));
        CPPUNIT_ASSERT(domain.give(0, epoch, { domain.order(1, { 0 }, 1, 1000) }));
        CPPUNIT_ASSERT(!domain.give(0, epoch - 1, { domain.order(3, { 0 }, 1, 1000) }));
        CPPUNIT_ASSERT(!domain.give(0, 0, { domain.order(3, { 0 }, 1, 1000) }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangKeeperTest);

} // namespace rattan::driver
