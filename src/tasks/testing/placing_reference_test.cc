// Searches that look at few workers, held against ones that look at all.

#include "tasks/eviction.h"
#include "tasks/placing.h"

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

// The cheapest plan within some workers: member by member, on the worker where that costs
// least, stopping its cheapest runs until there is room.
std::optional<EvictionPlan> planWithin(const Snapshot& snapshot, const PlacementRequest& request, const LostWork& lost, const std::string& rack)
{
    EvictionPlan plan;
    std::set<UnitKey> stopped;
    std::map<std::size_t, Room> room;
    for (std::size_t i = 0; i < snapshot.workers.size(); ++i)
        room[i] = snapshot.workers[i].afterStops;
    for (std::int64_t member = 0; member < request.members; ++member) {
        std::optional<EvictionPlan> best;
        for (std::size_t i = 0; i < snapshot.workers.size(); ++i) {
            if (!rack.empty() && snapshot.workers[i].rack != rack)
                continue;
            std::vector<Allocation> byCost;
            for (const Allocation& allocation : snapshot.workers[i].allocations) {
                if (!allocation.ending && !stopped.contains(*allocation.unit) && lost(allocation) >= 0)
                    byCost.push_back(allocation);
            }
            std::sort(byCost.begin(), byCost.end(), [&](const Allocation& a, const Allocation& b) { return lost(a) < lost(b); });
            EvictionPlan option { .places = { i }, .victims = {}, .lostWork = 0 };
            Room free = room[i];
            for (const Allocation& allocation : byCost) {
                if (request.each.within(free))
                    break;
                free += allocation.room;
                if (std::find(option.victims.begin(), option.victims.end(), *allocation.unit) != option.victims.end())
                    continue;
                option.victims.push_back(*allocation.unit);
                option.lostWork += lost(allocation);
            }
            if (request.each.within(free) && (!best || option.lostWork < best->lostWork))
                best = option;
        }
        if (!best)
            return std::nullopt;
        for (const UnitKey& victim : best->victims) {
            stopped.insert(victim);
            for (std::size_t i = 0; i < snapshot.workers.size(); ++i) {
                for (const Allocation& allocation : snapshot.workers[i].allocations) {
                    if (*allocation.unit == victim && !allocation.ending)
                        room[i] += allocation.room;
                }
            }
        }
        room[best->places[0]] -= request.each;
        plan.places.push_back(best->places[0]);
        plan.lostWork += best->lostWork;
    }
    return plan;
}

class PlacingReferenceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlacingReferenceTest);
    CPPUNIT_TEST(evictionsCostAsLittleAsByLookingAtAll);
    CPPUNIT_TEST(whatCouldEverFitIsWhatTheRacksHold);
    CPPUNIT_TEST(whatEndsIsMarkedOnItsWorkers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { this->random.seed(11); }

    void evictionsCostAsLittleAsByLookingAtAll()
    {
        constexpr int rounds = 300;
        int found = 0;
        for (int round = 0; round < rounds; ++round) {
            const Snapshot snapshot = this->draw();
            const PlacementRequest request = this->drawRequest();
            const LostWork lost = [](const Allocation& run) { return run.unit->index % 5 == 0 ? -1.0 : static_cast<double>(run.unit->index % 7) + 0.25 * static_cast<double>(run.unit->index % 3); };
            std::optional<EvictionPlan> reference;
            const bool oneRack = request.sameRack && request.members > 1;
            for (int rack = 0; rack < (oneRack ? racks : 1); ++rack) {
                const auto plan = planWithin(snapshot, request, lost, oneRack ? fmt::format("r{}", rack) : request.rack);
                if (plan && (!reference || plan->lostWork < reference->lostWork))
                    reference = plan;
            }
            const auto plan = planEviction(snapshot, request, lost, 1e9);
            CPPUNIT_ASSERT_EQUAL(reference.has_value(), plan.has_value());
            if (!plan)
                continue;
            ++found;
            CPPUNIT_ASSERT_DOUBLES_EQUAL(reference->lostWork, plan->lostWork, 1e-9);
            CPPUNIT_ASSERT(reference->places == plan->places);
        }
        CPPUNIT_ASSERT(found > rounds / 10 && found < rounds);
    }

    void whatCouldEverFitIsWhatTheRacksHold()
    {
        constexpr int rounds = 300;
        int fitting = 0;
        for (int round = 0; round < rounds; ++round) {
            const Snapshot snapshot = this->draw();
            PlacementRequest request = this->drawRequest();
            request.members = 1 + static_cast<std::int64_t>(this->random() % 60);
            std::map<std::string, std::int64_t> held;
            for (const SnapshotWorker& worker : snapshot.workers) {
                if (request.rack.empty() || worker.rack == request.rack)
                    held[request.sameRack && request.members > 1 ? worker.rack : ""] += worker.capacity.accelerators / request.each.accelerators;
            }
            const bool fits = std::any_of(held.begin(), held.end(), [&](const auto& row) { return row.second >= request.members; });
            CPPUNIT_ASSERT_EQUAL(fits, snapshot.couldEverFit(request));
            fitting += fits ? 1 : 0;
        }
        CPPUNIT_ASSERT(fitting > rounds / 10 && fitting < rounds);
    }

    void whatEndsIsMarkedOnItsWorkers()
    {
        Snapshot snapshot = this->draw();
        SnapshotWorker& worker = snapshot.workers[5];
        const UnitKey gang { "gang", 0, 0, 0 };
        const UnitKey other { "other", 0, 0, 0 };
        worker.allocations = { { &gang, { 0, 0, 2 }, 0, false }, { &other, { 0, 0, 1 }, 0, false } };
        const std::int64_t before = worker.afterStops.accelerators;
        const std::vector<Incarnation> incarnations { { worker.id, 1 }, { "gone", 1 }, { worker.id, 1 } };
        snapshot.markEnding(gang, incarnations);
        CPPUNIT_ASSERT(worker.allocations[0].ending && !worker.allocations[1].ending);
        CPPUNIT_ASSERT_EQUAL(before + 2, worker.afterStops.accelerators);
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

    Snapshot draw()
    {
        Snapshot snapshot;
        for (int i = 0; i < workerCount; ++i) {
            SnapshotWorker worker { .id = fmt::format("w{:02}", i), .rack = fmt::format("r{}", i % racks) };
            worker.capacity = worker.free = worker.afterStops = { 128000, 512000, 8 };
            while (worker.free.accelerators > 0 && this->random() % 5 != 0) {
                Allocation allocation { .unit = &this->units.at(this->random() % this->units.size()), .room = { 1000, 1000, 1 } };
                allocation.ending = this->random() % 10 == 0;
                worker.free -= allocation.room;
                if (!allocation.ending)
                    worker.afterStops -= allocation.room;
                worker.allocations.push_back(allocation);
            }
            snapshot.workers.push_back(worker);
        }
        return snapshot;
    }

    PlacementRequest drawRequest()
    {
        PlacementRequest request;
        request.members = 1 + static_cast<std::int64_t>(this->random() % 8);
        request.each = { 1000, 1000, 1 + static_cast<std::int64_t>(this->random() % 8) };
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

CPPUNIT_TEST_SUITE_REGISTRATION(PlacingReferenceTest);

} // namespace
