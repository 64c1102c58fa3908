// Compares the optimized searches with simple reference searches over all workers and runs.

#include "tasks/eviction.h"
#include "tasks/placement.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>
#include <random>
#include <set>

using namespace rattan;
using namespace rattan::tasks;

namespace {

constexpr int workerCount = 24;
constexpr int racks = 4;

// The greedy reference plan for a rack, or for all workers: places each member on the worker
// where it costs least, and stops the cheapest runs there until the member fits.
std::optional<EvictionPlan> planWithin(const Snapshot& snapshot, const PlacementRequest& request, const LostWorkFunction& lostWorkOf, const std::string& rack)
{
    EvictionPlan plan;
    std::set<UnitKey> stopped;
    std::map<std::size_t, Resources> available;
    for (std::size_t i = 0; i < snapshot.workers.size(); ++i)
        available[i] = snapshot.workers[i].freeAfterStops;
    for (std::int64_t member = 0; member < request.members; ++member) {
        std::optional<EvictionPlan> best;
        for (std::size_t i = 0; i < snapshot.workers.size(); ++i) {
            if (!rack.empty() && snapshot.workers[i].rack != rack)
                continue;
            std::vector<Allocation> byCost;
            for (const Allocation& allocation : snapshot.workers[i].allocations) {
                if (!allocation.stopping && !stopped.contains(*allocation.unit) && lostWorkOf(allocation) >= 0)
                    byCost.push_back(allocation);
            }
            std::sort(byCost.begin(), byCost.end(), [&](const Allocation& a, const Allocation& b) { return lostWorkOf(a) < lostWorkOf(b); });
            EvictionPlan option { .placement = { i }, .victims = {}, .lostWork = 0 };
            Resources free = available[i];
            for (const Allocation& allocation : byCost) {
                if (request.perMember.fitsIn(free))
                    break;
                free += allocation.resources;
                if (std::find(option.victims.begin(), option.victims.end(), *allocation.unit) != option.victims.end())
                    continue;
                option.victims.push_back(*allocation.unit);
                option.lostWork += lostWorkOf(allocation);
            }
            if (request.perMember.fitsIn(free) && (!best || option.lostWork < best->lostWork))
                best = option;
        }
        if (!best)
            return std::nullopt;
        for (const UnitKey& victim : best->victims) {
            stopped.insert(victim);
            for (std::size_t i = 0; i < snapshot.workers.size(); ++i) {
                for (const Allocation& allocation : snapshot.workers[i].allocations) {
                    if (*allocation.unit == victim && !allocation.stopping)
                        available[i] += allocation.resources;
                }
            }
        }
        available[best->placement[0]] -= request.perMember;
        plan.placement.push_back(best->placement[0]);
        plan.lostWork += best->lostWork;
    }
    return plan;
}

class PlacementReferenceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlacementReferenceTest);
    CPPUNIT_TEST(evictionMatchesExhaustiveSearch);
    CPPUNIT_TEST(fitsWhenEmptyMatchesRackCapacities);
    CPPUNIT_TEST(stoppingRunsAreMarkedOnTheirWorkers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { this->random.seed(11); }

    void evictionMatchesExhaustiveSearch()
    {
        constexpr int rounds = 300;
        int found = 0;
        for (int round = 0; round < rounds; ++round) {
            const Snapshot snapshot = this->randomSnapshot();
            const PlacementRequest request = this->randomRequest();
            const LostWorkFunction lostWorkOf = [](const Allocation& run) { return run.unit->index % 5 == 0 ? -1.0 : static_cast<double>(run.unit->index % 7) + 0.25 * static_cast<double>(run.unit->index % 3); };
            std::optional<EvictionPlan> reference;
            const bool oneRack = request.sameRack && request.members > 1;
            for (int rack = 0; rack < (oneRack ? racks : 1); ++rack) {
                const auto plan = planWithin(snapshot, request, lostWorkOf, oneRack ? fmt::format("r{}", rack) : request.rack);
                if (plan && (!reference || plan->lostWork < reference->lostWork))
                    reference = plan;
            }
            const auto plan = planEviction(snapshot, request, lostWorkOf, 1e9);
            CPPUNIT_ASSERT_EQUAL(reference.has_value(), plan.has_value());
            if (!plan)
                continue;
            ++found;
            CPPUNIT_ASSERT_DOUBLES_EQUAL(reference->lostWork, plan->lostWork, 1e-9);
            CPPUNIT_ASSERT(reference->placement == plan->placement);
        }
        CPPUNIT_ASSERT(found > rounds / 10 && found < rounds);
    }

    void fitsWhenEmptyMatchesRackCapacities()
    {
        constexpr int rounds = 300;
        int fitting = 0;
        for (int round = 0; round < rounds; ++round) {
            const Snapshot snapshot = this->randomSnapshot();
            PlacementRequest request = this->randomRequest();
            request.members = 1 + static_cast<std::int64_t>(this->random() % 60);
            std::map<std::string, std::int64_t> capacityByRack;
            for (const SnapshotWorker& worker : snapshot.workers) {
                if (request.rack.empty() || worker.rack == request.rack)
                    capacityByRack[request.sameRack && request.members > 1 ? worker.rack : ""] += worker.capacity.accelerators / request.perMember.accelerators;
            }
            const bool fits = std::any_of(capacityByRack.begin(), capacityByRack.end(), [&](const auto& row) { return row.second >= request.members; });
            CPPUNIT_ASSERT_EQUAL(fits, snapshot.fitsWhenEmpty(request));
            fitting += fits ? 1 : 0;
        }
        CPPUNIT_ASSERT(fitting > rounds / 10 && fitting < rounds);
    }

    void stoppingRunsAreMarkedOnTheirWorkers()
    {
        Snapshot snapshot = this->randomSnapshot();
        SnapshotWorker& worker = snapshot.workers[5];
        const UnitKey gang { "gang", 0, 0, 0 };
        const UnitKey other { "other", 0, 0, 0 };
        worker.allocations = { { &gang, { 0, 0, 2 }, 0, false }, { &other, { 0, 0, 1 }, 0, false } };
        const std::int64_t before = worker.freeAfterStops.accelerators;
        const std::vector<Incarnation> incarnations { { worker.id, 1 }, { "gone", 1 }, { worker.id, 1 } };
        snapshot.markStopping(gang, incarnations);
        CPPUNIT_ASSERT(worker.allocations[0].stopping && !worker.allocations[1].stopping);
        CPPUNIT_ASSERT_EQUAL(before + 2, worker.freeAfterStops.accelerators);
    }

private:
    static std::vector<UnitKey> makeUnits()
    {
        constexpr std::int64_t count = 40;
        std::vector<UnitKey> units;
        for (std::int64_t i = 0; i < count; ++i)
            units.push_back({ "job", 0, 0, i });
        return units;
    }

    Snapshot randomSnapshot()
    {
        Snapshot snapshot;
        for (int i = 0; i < workerCount; ++i) {
            SnapshotWorker worker { .id = fmt::format("w{:02}", i), .rack = fmt::format("r{}", i % racks) };
            worker.capacity = worker.free = worker.freeAfterStops = { 128000, 512000, 8 };
            while (worker.free.accelerators > 0 && this->random() % 5 != 0) {
                Allocation allocation { .unit = &this->units.at(this->random() % this->units.size()), .resources = { 1000, 1000, 1 } };
                allocation.stopping = this->random() % 10 == 0;
                worker.free -= allocation.resources;
                if (!allocation.stopping)
                    worker.freeAfterStops -= allocation.resources;
                worker.allocations.push_back(allocation);
            }
            snapshot.workers.push_back(worker);
        }
        return snapshot;
    }

    PlacementRequest randomRequest()
    {
        PlacementRequest request;
        request.members = 1 + static_cast<std::int64_t>(this->random() % 8);
        request.perMember = { 1000, 1000, 1 + static_cast<std::int64_t>(this->random() % 8) };
        request.sameRack = this->random() % 2 == 0;
        if (this->random() % 4 == 0)
            request.rack = fmt::format("r{}", this->random() % racks);
        if (!request.rack.empty())
            request.sameRack = false;
        return request;
    }

    std::mt19937 random;
    const std::vector<UnitKey> units { makeUnits() };
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementReferenceTest);

} // namespace
