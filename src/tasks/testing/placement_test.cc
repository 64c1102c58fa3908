#include "tasks/placement.h"

#include "tasks/eviction.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <random>

using namespace rattan;
using namespace rattan::tasks;

namespace {

constexpr Resources fullCapacity { 128000, 512000, 8 };
const std::vector<std::string> labels { "k" };

SnapshotWorker worker(const std::string& id, const std::string& rack, std::int64_t freeAccelerators = 8, double speed = 1)
{
    SnapshotWorker result { .id = id, .rack = rack, .labels = &labels, .speed = speed, .capacity = fullCapacity, .free = fullCapacity, .freeAfterStops = fullCapacity };
    result.free.accelerators = freeAccelerators;
    result.freeAfterStops.accelerators = freeAccelerators;
    return result;
}

PlacementRequest makeRequest(std::int64_t members, std::int64_t accelerators)
{
    PlacementRequest result;
    result.members = members;
    result.perMember = { 1000, 1000, accelerators };
    result.expectedRunTime = 1000;
    return result;
}

std::vector<std::string> workerIdsOf(const Snapshot& snapshot, const std::optional<Placement>& placement)
{
    std::vector<std::string> ids;
    for (const std::size_t index : placement.value_or(Placement {}))
        ids.push_back(snapshot.workers[index].id);
    return ids;
}

using Ids = std::vector<std::string>;

class PlacementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(smallTasksLeaveWholeWorkersFree);
    CPPUNIT_TEST(gangsStayInOneRack);
    CPPUNIT_TEST(rackLabelAndLimitConstraintsAreRespected);
    CPPUNIT_TEST(committedResourcesAreNotReallocated);
    CPPUNIT_TEST(reservedResourcesAreUsedByRunsThatEndBefore);
    CPPUNIT_TEST(resourcesReservedForOthersAreNotCommitted);
    CPPUNIT_TEST(urgentUnitsPreferFastWorkers);
    CPPUNIT_TEST(gangMembersHaveSimilarSpeeds);
    CPPUNIT_TEST(workersReservedForUrgentUnitsAreExclusiveUnderLoad);
    CPPUNIT_TEST(failedRequestsDoNotCoverUrgentOnlyWorkers);
    CPPUNIT_TEST(evictionMinimizesLostWork);
    CPPUNIT_TEST(evictionComputesLostWorkOncePerRun);
    CPPUNIT_TEST(evictionCountsGangsOnce);
    CPPUNIT_TEST(evictionRespectsMaxLostWork);
    CPPUNIT_TEST(findsAPlacementWheneverOneExists);
    CPPUNIT_TEST(suspectTasksAreIsolated);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against tasks that wait although the rack of their data has free resources,
    // because a failed request of a unit that can't use that rack was taken to cover theirs.
    void failedRequestsDoNotCoverUrgentOnlyWorkers()
    {
        Snapshot snapshot;
        snapshot.workers = { worker("a", "r0", 0), worker("b", "r1", 4) };
        snapshot.reserveForUrgent(8);
        const PlacementRequest anywhere = makeRequest(1, 1);
        CPPUNIT_ASSERT(!snapshot.findFree(anywhere));
        FailedRequests failed;
        failed.add(anywhere);
        PlacementRequest nearData = anywhere;
        nearData.rack = "r1";
        CPPUNIT_ASSERT(workerIdsOf(snapshot, snapshot.findFree(nearData)) == Ids { "b" });
        CPPUNIT_ASSERT(!failed.covers(nearData));
        CPPUNIT_ASSERT(failed.covers(anywhere));
        nearData.urgent = true;
        failed.add(nearData);
        nearData.rack.clear();
        CPPUNIT_ASSERT(!failed.covers(nearData));
    }

    // Guards against a suspect task, which may crash its worker, sharing a worker with
    // other tasks.
    void suspectTasksAreIsolated()
    {
        Snapshot snapshot;
        snapshot.workers = { worker("busy", "r", 4), worker("idle", "r"), worker("other", "r", 2) };
        PlacementRequest suspect = makeRequest(1, 1);
        suspect.isolatedJob = "j";
        const auto placement = snapshot.findFree(suspect);
        CPPUNIT_ASSERT(workerIdsOf(snapshot, placement) == Ids { "idle" });
        snapshot.allocate(suspect, *placement);
        CPPUNIT_ASSERT(workerIdsOf(snapshot, snapshot.findFree(makeRequest(1, 4))) == Ids { "busy" });
        CPPUNIT_ASSERT(!snapshot.findFree(makeRequest(1, 5)));
        CPPUNIT_ASSERT(!snapshot.findFree(suspect));
        const std::set<std::string> isolatedWorkers { "idle" };
        suspect.isolatedWorkers = &isolatedWorkers;
        CPPUNIT_ASSERT(workerIdsOf(snapshot, snapshot.findFree(suspect)) == Ids { "idle" });
    }

    void smallTasksLeaveWholeWorkersFree()
    {
        const Snapshot snapshot { .workers = { worker("a", "r1"), worker("b", "r1", 3), worker("c", "r1", 5) } };
        CPPUNIT_ASSERT(workerIdsOf(snapshot, snapshot.findFree(makeRequest(1, 2))) == Ids { "b" });
        CPPUNIT_ASSERT(workerIdsOf(snapshot, snapshot.findFree(makeRequest(1, 4))) == Ids { "c" });
        CPPUNIT_ASSERT(workerIdsOf(snapshot, snapshot.findFree(makeRequest(1, 8))) == Ids { "a" });
    }

    void gangsStayInOneRack()
    {
        const Snapshot snapshot { .workers = { worker("a", "r1"), worker("b", "r2"), worker("c", "r2"), worker("d", "r3"), worker("e", "r3"), worker("f", "r3") } };
        PlacementRequest gang = makeRequest(2, 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, workerIdsOf(snapshot, snapshot.findFree(gang)).size());
        gang.sameRack = true;
        // The gang fills this rack, so the larger rack stays free.
        CPPUNIT_ASSERT(workerIdsOf(snapshot, snapshot.findFree(gang)) == (Ids { "b", "c" }));
        gang.members = 4;
        CPPUNIT_ASSERT(!snapshot.findFree(gang));
        CPPUNIT_ASSERT(!snapshot.fitsWhenEmpty(gang));
    }

    void rackLabelAndLimitConstraintsAreRespected()
    {
        const Snapshot snapshot { .workers = { worker("a", "r1"), worker("b", "r2") } };
        PlacementRequest one = makeRequest(1, 1);
        one.rack = "r2";
        CPPUNIT_ASSERT(workerIdsOf(snapshot, snapshot.findFree(one)) == Ids { "b" });
        one.label = "other";
        CPPUNIT_ASSERT(!snapshot.findFree(one));
        PlacementRequest limited = makeRequest(4, 1);
        limited.maxPerWorker = 2;
        CPPUNIT_ASSERT(workerIdsOf(snapshot, snapshot.findFree(limited)) == (Ids { "a", "a", "b", "b" }));
        const WorkerCounts running { { "a", 1 } };
        limited.siblingCounts = &running;
        CPPUNIT_ASSERT(!snapshot.findFree(limited));
        PlacementRequest excluding = makeRequest(1, 1);
        const std::vector<std::string> failedOn { "a" };
        excluding.excludedWorkers = &failedOn;
        CPPUNIT_ASSERT(workerIdsOf(snapshot, snapshot.findFree(excluding)) == Ids { "b" });
    }

    // A task that isn't urgent arrives while a guaranteed job waits for runs to stop. If
    // the task got the resources of a run that has just ended, the job would wait again.
    void committedResourcesAreNotReallocated()
    {
        Snapshot snapshot { .workers = { worker("a", "r1", 2) } };
        snapshot.workers[0].freeAfterStops.accelerators = 8;
        const PlacementRequest urgent = makeRequest(1, 8);
        CPPUNIT_ASSERT(!snapshot.findFree(urgent));
        const auto placement = snapshot.findAfterStops(urgent);
        CPPUNIT_ASSERT(placement);
        snapshot.allocateAfterStops(urgent, *placement);
        CPPUNIT_ASSERT(!snapshot.findFree(makeRequest(1, 1)));
    }

    void reservedResourcesAreUsedByRunsThatEndBefore()
    {
        Snapshot snapshot { .workers = { worker("a", "r1", 4) } };
        snapshot.workers[0].allocations.push_back({ {}, { 1000, 1000, 4 }, 5000, false });
        snapshot.reserve(makeRequest(1, 8));
        PlacementRequest shortRun = makeRequest(1, 2);
        shortRun.expectedRunTime = 4000;
        CPPUNIT_ASSERT(snapshot.findFree(shortRun));
        shortRun.expectedRunTime = 6000;
        CPPUNIT_ASSERT(!snapshot.findFree(shortRun));
    }

    // Guards against units that keep resources from others by waiting for stops that are not needed:
    // what they wait for is free, but reserved, so they can't start there after the stops either.
    void resourcesReservedForOthersAreNotCommitted()
    {
        Snapshot snapshot { .workers = { worker("a", "r1", 4) } };
        snapshot.workers[0].allocations.push_back({ {}, { 1000, 1000, 4 }, 5000, false });
        snapshot.reserve(makeRequest(1, 8));
        PlacementRequest longRun = makeRequest(1, 2);
        longRun.expectedRunTime = 6000;
        CPPUNIT_ASSERT(!snapshot.findAfterStops(longRun));
        CPPUNIT_ASSERT(!planEviction(
            snapshot, longRun, [](const Allocation&) { return -1.0; }, 1e9));
        longRun.expectedRunTime = 4000;
        CPPUNIT_ASSERT(snapshot.findAfterStops(longRun));
    }

    void urgentUnitsPreferFastWorkers()
    {
        const Snapshot snapshot { .workers = { worker("slow", "r1", 8, 0.8), worker("usual", "r1"), worker("fast", "r1", 8, 1.25) } };
        PlacementRequest urgent = makeRequest(1, 1);
        urgent.urgent = true;
        CPPUNIT_ASSERT(workerIdsOf(snapshot, snapshot.findFreeBySpeed(urgent)) == Ids { "fast" });
        urgent.members = 12;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 12 }, workerIdsOf(snapshot, snapshot.findFreeBySpeed(urgent)).size());
    }

    // The other members of a gang wait for the slowest one and occupy resources meanwhile.
    void gangMembersHaveSimilarSpeeds()
    {
        const Snapshot snapshot { .workers = { worker("f1", "r1", 8, 1.25), worker("s1", "r1", 8, 0.8), worker("f2", "r1", 8, 1.25), worker("s2", "r1", 8, 0.8) } };
        CPPUNIT_ASSERT(workerIdsOf(snapshot, snapshot.findFreeBySpeed(makeRequest(2, 8))) == (Ids { "s1", "s2" }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, workerIdsOf(snapshot, snapshot.findFreeBySpeed(makeRequest(3, 8))).size());
    }

    void workersReservedForUrgentUnitsAreExclusiveUnderLoad()
    {
        Snapshot idle { .workers = { worker("a", "r1"), worker("b", "r2") } };
        idle.reserveForUrgent(8);
        CPPUNIT_ASSERT(idle.workers[1].reservedForUrgent && !idle.workers[1].urgentOnly);
        CPPUNIT_ASSERT(workerIdsOf(idle, idle.findFree(makeRequest(1, 1))) == Ids { "a" });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, workerIdsOf(idle, idle.findFree(makeRequest(2, 8))).size());
        Snapshot busy { .workers = { worker("a", "r1", 0), worker("b", "r2", 4) } };
        busy.reserveForUrgent(8);
        CPPUNIT_ASSERT(!busy.findFree(makeRequest(1, 1)));
        PlacementRequest urgent = makeRequest(1, 1);
        urgent.urgent = true;
        CPPUNIT_ASSERT(busy.findFree(urgent));
    }

    void evictionMinimizesLostWork()
    {
        Snapshot snapshot { .workers = { worker("a", "r1", 0), worker("b", "r1", 0) } };
        const UnitKey expensive { "expensive", 0, 0, 0 };
        const UnitKey cheap { "cheap", 0, 0, 0 };
        snapshot.workers[0].allocations.push_back({ &expensive, { 1000, 1000, 8 }, 0, false });
        snapshot.workers[1].allocations.push_back({ &cheap, { 1000, 1000, 8 }, 0, false });
        const auto lostWorkOf = [&](const Allocation& run) { return run.unit->job == "expensive" ? 100.0 : 3.0; };
        const auto plan = planEviction(snapshot, makeRequest(1, 8), lostWorkOf, 1000);
        CPPUNIT_ASSERT(plan);
        CPPUNIT_ASSERT(plan->victims == std::vector<UnitKey> { cheap });
        CPPUNIT_ASSERT_EQUAL(3.0, plan->lostWork);
    }

    // Guards against a cost proportional to the members of a unit times the number of runs.
    void evictionComputesLostWorkOncePerRun()
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
        std::size_t calls = 0;
        const auto plan = planEviction(
            snapshot, makeRequest(workers / 2, 8), [&](const Allocation&) { return static_cast<double>(++calls); }, 1e9);
        CPPUNIT_ASSERT(plan);
        CPPUNIT_ASSERT_EQUAL(workers, calls);
    }

    void evictionCountsGangsOnce()
    {
        Snapshot snapshot { .workers = { worker("a", "r1", 0), worker("b", "r1", 0) } };
        const UnitKey gang { "gang", 0, 0, wholeGang };
        for (SnapshotWorker& snapshotWorker : snapshot.workers)
            snapshotWorker.allocations.push_back({ &gang, { 1000, 1000, 8 }, 0, false });
        const auto plan = planEviction(
            snapshot, makeRequest(2, 8), [](const Allocation&) { return 10.0; }, 1000);
        CPPUNIT_ASSERT(plan);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, plan->victims.size());
        CPPUNIT_ASSERT_EQUAL(10.0, plan->lostWork);
    }

    void evictionRespectsMaxLostWork()
    {
        Snapshot snapshot { .workers = { worker("a", "r1", 0) } };
        const UnitKey unit { "x", 0, 0, 0 };
        snapshot.workers[0].allocations.push_back({ &unit, { 1000, 1000, 8 }, 0, false });
        CPPUNIT_ASSERT(!planEviction(
            snapshot, makeRequest(1, 8), [](const Allocation&) { return 10.0; }, 9));
        CPPUNIT_ASSERT(!planEviction(
            snapshot, makeRequest(1, 8), [](const Allocation&) { return -1.0; }, 1000));
    }

    // Compares the result with a count of the members that fit on each worker.
    void findsAPlacementWheneverOneExists()
    {
        std::mt19937_64 random(5);
        for (int round = 0; round < 2000; ++round) {
            Snapshot snapshot;
            for (int i = 0; i < 6; ++i)
                snapshot.workers.push_back(worker(std::string(1, static_cast<char>('a' + i)), i < 3 ? "r1" : "r2", static_cast<std::int64_t>(random() % 9)));
            const auto members = static_cast<std::int64_t>(1 + random() % 6);
            PlacementRequest request = makeRequest(members, static_cast<std::int64_t>(1 + random() % 8));
            request.sameRack = random() % 2 == 0;
            std::map<std::string, std::int64_t> fittingMembers;
            for (const SnapshotWorker& snapshotWorker : snapshot.workers)
                fittingMembers[request.sameRack && request.members > 1 ? snapshotWorker.rack : ""] += snapshotWorker.free.accelerators / request.perMember.accelerators;
            bool expectedToFit = false;
            for (const auto& [rack, count] : fittingMembers)
                expectedToFit = expectedToFit || count >= request.members;
            const auto placement = snapshot.findFree(request);
            CPPUNIT_ASSERT_EQUAL(expectedToFit, placement.has_value());
            if (!placement)
                continue;
            snapshot.allocate(request, *placement);
            for (const SnapshotWorker& snapshotWorker : snapshot.workers)
                CPPUNIT_ASSERT(snapshotWorker.free.accelerators >= 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace
