#include "tasks/placing.h"

#include "tasks/eviction.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <random>

using namespace rattan;
using namespace rattan::tasks;

namespace {

constexpr Room whole { 128000, 512000, 8 };
const std::vector<std::string> labels { "k" };

SnapshotWorker worker(const std::string& id, const std::string& rack, std::int64_t freeAccelerators = 8, double speed = 1)
{
    SnapshotWorker result { .id = id, .rack = rack, .labels = &labels, .speed = speed, .capacity = whole, .free = whole, .afterStops = whole };
    result.free.accelerators = freeAccelerators;
    result.afterStops.accelerators = freeAccelerators;
    return result;
}

PlacementRequest ask(std::int64_t members, std::int64_t accelerators)
{
    PlacementRequest result;
    result.members = members;
    result.each = { 1000, 1000, accelerators };
    result.expected = 1000;
    return result;
}

std::vector<std::string> idsOf(const Snapshot& snapshot, const std::optional<Places>& places)
{
    std::vector<std::string> ids;
    for (const std::size_t index : places.value_or(Places {}))
        ids.push_back(snapshot.workers[index].id);
    return ids;
}

using Ids = std::vector<std::string>;

class PlacingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlacingTest);
    CPPUNIT_TEST(smallTasksLeaveWholeWorkersFree);
    CPPUNIT_TEST(gangsStayInOneRack);
    CPPUNIT_TEST(dataLabelsAndLimitsAreKept);
    CPPUNIT_TEST(promisedRoomIsNotGivenAway);
    CPPUNIT_TEST(reservedRoomIsUsedByWhatEndsBefore);
    CPPUNIT_TEST(urgentUnitsGoWhereTheyEndFirst);
    CPPUNIT_TEST(gangsAreOfOnePace);
    CPPUNIT_TEST(keptWorkersAreClosedUnderLoad);
    CPPUNIT_TEST(whatFailedElsewhereSaysNothingOfClosedWorkers);
    CPPUNIT_TEST(evictionLosesLeast);
    CPPUNIT_TEST(evictionForAWideUnitAsksOnceAboutEachRun);
    CPPUNIT_TEST(evictionCountsGangsOnce);
    CPPUNIT_TEST(evictionRespectsItsBound);
    CPPUNIT_TEST(findsAPlaceWheneverThereIsOne);
    CPPUNIT_TEST(suspectTasksAndOthersAreKeptApart);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against tasks that wait beside free room in the rack of their data, since others,
    // to which that rack is closed, found none.
    void whatFailedElsewhereSaysNothingOfClosedWorkers()
    {
        Snapshot snapshot;
        snapshot.workers = { worker("a", "r0", 0), worker("b", "r1", 4) };
        snapshot.keep(8);
        const PlacementRequest anywhere = ask(1, 1);
        CPPUNIT_ASSERT(!snapshot.findFree(anywhere));
        FailedRequests failed;
        failed.add(anywhere);
        PlacementRequest beside = anywhere;
        beside.rack = "r1";
        CPPUNIT_ASSERT(idsOf(snapshot, snapshot.findFree(beside)) == Ids { "b" });
        CPPUNIT_ASSERT(!failed.cover(beside));
        CPPUNIT_ASSERT(failed.cover(anywhere));
        beside.urgent = true;
        failed.add(beside);
        beside.rack.clear();
        CPPUNIT_ASSERT(!failed.cover(beside));
    }

    // Guards against a task that crashes its workers being placed beside others.
    void suspectTasksAndOthersAreKeptApart()
    {
        Snapshot snapshot;
        snapshot.workers = { worker("busy", "r", 4), worker("idle", "r"), worker("other", "r", 2) };
        PlacementRequest suspect = ask(1, 1);
        suspect.isolatedFor = "j";
        const auto places = snapshot.findFree(suspect);
        CPPUNIT_ASSERT(idsOf(snapshot, places) == Ids { "idle" });
        snapshot.take(suspect, *places);
        CPPUNIT_ASSERT(idsOf(snapshot, snapshot.findFree(ask(1, 4))) == Ids { "busy" });
        CPPUNIT_ASSERT(!snapshot.findFree(ask(1, 5)));
        CPPUNIT_ASSERT(!snapshot.findFree(suspect));
        const std::set<std::string> isolation { "idle" };
        suspect.isolation = &isolation;
        CPPUNIT_ASSERT(idsOf(snapshot, snapshot.findFree(suspect)) == Ids { "idle" });
    }

    void smallTasksLeaveWholeWorkersFree()
    {
        const Snapshot snapshot { .workers = { worker("a", "r1"), worker("b", "r1", 3), worker("c", "r1", 5) } };
        CPPUNIT_ASSERT(idsOf(snapshot, snapshot.findFree(ask(1, 2))) == Ids { "b" });
        CPPUNIT_ASSERT(idsOf(snapshot, snapshot.findFree(ask(1, 4))) == Ids { "c" });
        CPPUNIT_ASSERT(idsOf(snapshot, snapshot.findFree(ask(1, 8))) == Ids { "a" });
    }

    void gangsStayInOneRack()
    {
        const Snapshot snapshot { .workers = { worker("a", "r1"), worker("b", "r2"), worker("c", "r2"), worker("d", "r3"), worker("e", "r3"), worker("f", "r3") } };
        PlacementRequest gang = ask(2, 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, idsOf(snapshot, snapshot.findFree(gang)).size());
        gang.sameRack = true;
        // The rack that it fills, so that the larger one stays whole.
        CPPUNIT_ASSERT(idsOf(snapshot, snapshot.findFree(gang)) == (Ids { "b", "c" }));
        gang.members = 4;
        CPPUNIT_ASSERT(!snapshot.findFree(gang));
        CPPUNIT_ASSERT(!snapshot.couldEverFit(gang));
    }

    void dataLabelsAndLimitsAreKept()
    {
        const Snapshot snapshot { .workers = { worker("a", "r1"), worker("b", "r2") } };
        PlacementRequest one = ask(1, 1);
        one.rack = "r2";
        CPPUNIT_ASSERT(idsOf(snapshot, snapshot.findFree(one)) == Ids { "b" });
        one.label = "other";
        CPPUNIT_ASSERT(!snapshot.findFree(one));
        PlacementRequest spread = ask(4, 1);
        spread.mostPerWorker = 2;
        CPPUNIT_ASSERT(idsOf(snapshot, snapshot.findFree(spread)) == (Ids { "a", "a", "b", "b" }));
        const WorkerCounts running { { "a", 1 } };
        spread.siblings = &running;
        CPPUNIT_ASSERT(!snapshot.findFree(spread));
        PlacementRequest avoiding = ask(1, 1);
        const std::vector<std::string> failedOn { "a" };
        avoiding.avoid = &failedOn;
        CPPUNIT_ASSERT(idsOf(snapshot, snapshot.findFree(avoiding)) == Ids { "b" });
    }

    // A patient task arrives while a guaranteed job waits for runs to stop. Were it
    // given the room that one of them has just left, the job would wait again.
    void promisedRoomIsNotGivenAway()
    {
        Snapshot snapshot { .workers = { worker("a", "r1", 2) } };
        snapshot.workers[0].afterStops.accelerators = 8;
        const PlacementRequest urgent = ask(1, 8);
        CPPUNIT_ASSERT(!snapshot.findFree(urgent));
        const auto places = snapshot.findAfterStops(urgent);
        CPPUNIT_ASSERT(places);
        snapshot.promise(urgent, *places);
        CPPUNIT_ASSERT(!snapshot.findFree(ask(1, 1)));
    }

    void reservedRoomIsUsedByWhatEndsBefore()
    {
        Snapshot snapshot { .workers = { worker("a", "r1", 4) } };
        snapshot.workers[0].allocations.push_back({ {}, { 1000, 1000, 4 }, 5000, false });
        snapshot.reserve(ask(1, 8));
        PlacementRequest brief = ask(1, 2);
        brief.expected = 4000;
        CPPUNIT_ASSERT(snapshot.findFree(brief));
        brief.expected = 6000;
        CPPUNIT_ASSERT(!snapshot.findFree(brief));
    }

    void urgentUnitsGoWhereTheyEndFirst()
    {
        const Snapshot snapshot { .workers = { worker("slow", "r1", 8, 0.8), worker("usual", "r1"), worker("fast", "r1", 8, 1.25) } };
        PlacementRequest urgent = ask(1, 1);
        urgent.urgent = true;
        CPPUNIT_ASSERT(idsOf(snapshot, snapshot.findFreeAtPace(urgent)) == Ids { "fast" });
        urgent.members = 12;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 12 }, idsOf(snapshot, snapshot.findFreeAtPace(urgent)).size());
    }

    // One slow member makes the others wait for it, and their room with them.
    void gangsAreOfOnePace()
    {
        const Snapshot snapshot { .workers = { worker("f1", "r1", 8, 1.25), worker("s1", "r1", 8, 0.8), worker("f2", "r1", 8, 1.25), worker("s2", "r1", 8, 0.8) } };
        CPPUNIT_ASSERT(idsOf(snapshot, snapshot.findFreeAtPace(ask(2, 8))) == (Ids { "s1", "s2" }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, idsOf(snapshot, snapshot.findFreeAtPace(ask(3, 8))).size());
    }

    void keptWorkersAreClosedUnderLoad()
    {
        Snapshot idle { .workers = { worker("a", "r1"), worker("b", "r2") } };
        idle.keep(8);
        CPPUNIT_ASSERT(idle.workers[1].kept && !idle.workers[1].closed);
        CPPUNIT_ASSERT(idsOf(idle, idle.findFree(ask(1, 1))) == Ids { "a" });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, idsOf(idle, idle.findFree(ask(2, 8))).size());
        Snapshot busy { .workers = { worker("a", "r1", 0), worker("b", "r2", 4) } };
        busy.keep(8);
        CPPUNIT_ASSERT(!busy.findFree(ask(1, 1)));
        PlacementRequest urgent = ask(1, 1);
        urgent.urgent = true;
        CPPUNIT_ASSERT(busy.findFree(urgent));
    }

    void evictionLosesLeast()
    {
        Snapshot snapshot { .workers = { worker("a", "r1", 0), worker("b", "r1", 0) } };
        const UnitKey dear { "dear", 0, 0, 0 };
        const UnitKey cheap { "cheap", 0, 0, 0 };
        snapshot.workers[0].allocations.push_back({ &dear, { 1000, 1000, 8 }, 0, false });
        snapshot.workers[1].allocations.push_back({ &cheap, { 1000, 1000, 8 }, 0, false });
        const auto lost = [&](const Allocation& run) { return run.unit->job == "dear" ? 100.0 : 3.0; };
        const auto plan = planEviction(snapshot, ask(1, 8), lost, 1000);
        CPPUNIT_ASSERT(plan);
        CPPUNIT_ASSERT(plan->victims == std::vector<UnitKey> { cheap });
        CPPUNIT_ASSERT_EQUAL(3.0, plan->lostWork);
    }

    // Guards against rounds that grow with the members of a unit times all runs there are.
    void evictionForAWideUnitAsksOnceAboutEachRun()
    {
        constexpr std::size_t workers = 40;
        Snapshot snapshot;
        std::vector<UnitKey> units;
        for (std::size_t i = 0; i < workers; ++i)
            units.push_back({ "job", 0, 0, static_cast<std::int64_t>(i) });
        for (std::size_t i = 0; i < workers; ++i) {
            snapshot.workers.push_back(worker(fmt::format("w{:02}", i), "r1", 0));
            snapshot.workers.back().allocations.push_back({ &units[i], { 1000, 1000, 8 }, 0, false });
        }
        std::size_t asked = 0;
        const auto plan = planEviction(
            snapshot, ask(workers / 2, 8), [&](const Allocation&) { return static_cast<double>(++asked); }, 1e9);
        CPPUNIT_ASSERT(plan);
        CPPUNIT_ASSERT_EQUAL(workers, asked);
    }

    void evictionCountsGangsOnce()
    {
        Snapshot snapshot { .workers = { worker("a", "r1", 0), worker("b", "r1", 0) } };
        const UnitKey gang { "gang", 0, 0, wholeGang };
        for (SnapshotWorker& place : snapshot.workers)
            place.allocations.push_back({ &gang, { 1000, 1000, 8 }, 0, false });
        const auto plan = planEviction(
            snapshot, ask(2, 8), [](const Allocation&) { return 10.0; }, 1000);
        CPPUNIT_ASSERT(plan);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, plan->victims.size());
        CPPUNIT_ASSERT_EQUAL(10.0, plan->lostWork);
    }

    void evictionRespectsItsBound()
    {
        Snapshot snapshot { .workers = { worker("a", "r1", 0) } };
        const UnitKey unit { "x", 0, 0, 0 };
        snapshot.workers[0].allocations.push_back({ &unit, { 1000, 1000, 8 }, 0, false });
        CPPUNIT_ASSERT(!planEviction(
            snapshot, ask(1, 8), [](const Allocation&) { return 10.0; }, 9));
        CPPUNIT_ASSERT(!planEviction(
            snapshot, ask(1, 8), [](const Allocation&) { return -1.0; }, 1000));
    }

    // Against the plain count of what fits on each worker.
    void findsAPlaceWheneverThereIsOne()
    {
        std::mt19937_64 random(5);
        for (int round = 0; round < 2000; ++round) {
            Snapshot snapshot;
            for (int i = 0; i < 6; ++i)
                snapshot.workers.push_back(worker(std::string(1, static_cast<char>('a' + i)), i < 3 ? "r1" : "r2", static_cast<std::int64_t>(random() % 9)));
            PlacementRequest wanted = ask(1 + static_cast<std::int64_t>(random() % 6), 1 + static_cast<std::int64_t>(random() % 8));
            wanted.sameRack = random() % 2 == 0;
            std::map<std::string, std::int64_t> fits;
            for (const SnapshotWorker& place : snapshot.workers)
                fits[wanted.sameRack && wanted.members > 1 ? place.rack : ""] += place.free.accelerators / wanted.each.accelerators;
            bool possible = false;
            for (const auto& [rack, count] : fits)
                possible = possible || count >= wanted.members;
            const auto places = snapshot.findFree(wanted);
            CPPUNIT_ASSERT_EQUAL(possible, places.has_value());
            if (!places)
                continue;
            snapshot.take(wanted, *places);
            for (const SnapshotWorker& place : snapshot.workers)
                CPPUNIT_ASSERT(place.free.accelerators >= 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacingTest);

} // namespace
