#include "tasks/eviction.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace rattan::tasks {

namespace {

    // Workers as indices into Snapshot::workers.
    using WorkerIndices = std::vector<std::size_t>;

    // Builds an eviction plan on a set of workers, one member at a time. The cost of a
    // member on a worker is cached until that worker changes, so that a unit with many
    // members does not recompute all workers for each of them.
    class EvictionSearch {
    public:
        EvictionSearch(const Snapshot& snapshot, const PlacementRequest& request, const LostWorkFunction& lostWork, const WorkerIndices& workers)
            : snapshot(snapshot)
            , request(request)
            , lostWork(lostWork)
        {
            for (const std::size_t index : workers) {
                const SnapshotWorker& worker = snapshot.workers[index];
                if (!worker.isProbing && snapshot.isEligible(worker, request) && !Snapshot::isKeptForOthers(worker, request) && snapshot.respectsIsolation(worker, request))
                    this->options.push_back({ .index = index, .available = snapshot.availableAfterStops(worker, request) });
            }
        }

        // Places each member where it costs least; returns no plan if one can't be placed.
        std::optional<EvictionPlan> placeAll()
        {
            for (std::int64_t member = 0; member < this->request.members; ++member) {
                if (!this->placeOne())
                    return std::nullopt;
            }
            return std::move(this->plan);
        }

    private:
        struct Victim {
            const Allocation* run { nullptr };
            double cost { 0 };
        };

        // A worker, with the cached cost of placing one more member there.
        struct WorkerOption {
            std::size_t index { 0 }; // In Snapshot::workers.
            Resources available; // Free once all victims so far have ended, less the members placed here.
            std::int64_t placed { 0 };
            bool hasVictims { false }; // Whether `victims` is filled in.
            std::vector<Victim> victims; // The runs that may be stopped, in ascending order of cost.
            bool isCostCurrent { false }; // Whether the fields below are up to date.
            bool isFeasible { false };
            double cost { 0 };
            std::vector<const UnitKey*> unitsToStop;
        };

        bool placeOne()
        {
            WorkerOption* best = nullptr;
            for (WorkerOption& option : this->options) {
                if (!option.isCostCurrent)
                    this->updateCost(option);
                if (option.isFeasible && (!best || option.cost < best->cost))
                    best = &option;
            }
            if (!best)
                return false;
            this->plan.lostWork += best->cost;
            this->plan.placement.push_back(best->index);
            for (const UnitKey* victim : best->unitsToStop)
                this->addVictim(victim);
            best->available -= this->request.perMember;
            best->isCostCurrent = false;
            ++best->placed;
            return true;
        }

        void updateCost(WorkerOption& option)
        {
            option.isCostCurrent = true;
            option.cost = 0;
            option.unitsToStop.clear();
            option.isFeasible = this->isBelowLimit(option) && this->chooseVictims(option);
        }

        bool isBelowLimit(const WorkerOption& option) const
        {
            if (this->request.maxPerWorker <= 0)
                return true;
            std::int64_t occupied = option.placed;
            if (this->request.siblingCounts) {
                const auto siblings = this->request.siblingCounts->find(this->snapshot.workers[option.index].id);
                occupied += siblings == this->request.siblingCounts->end() ? 0 : siblings->second;
            }
            return occupied < this->request.maxPerWorker;
        }

        bool chooseVictims(WorkerOption& option)
        {
            Resources available = option.available;
            if (this->request.perMember.fitsIn(available))
                return true;
            if (!option.hasVictims)
                this->listVictims(option);
            for (const Victim& victim : option.victims) {
                if (this->stopped.contains(victim.run->unit))
                    continue;
                available += victim.run->resources;
                if (std::find(option.unitsToStop.begin(), option.unitsToStop.end(), victim.run->unit) == option.unitsToStop.end()) {
                    option.cost += victim.cost;
                    option.unitsToStop.push_back(victim.run->unit);
                }
                if (this->request.perMember.fitsIn(available))
                    return true;
            }
            return false;
        }

        void listVictims(WorkerOption& option) const
        {
            option.hasVictims = true;
            for (const Allocation& run : this->snapshot.workers[option.index].allocations) {
                const double cost = run.stopping || !run.unit ? -1 : this->lostWork(run);
                if (cost >= 0)
                    option.victims.push_back({ &run, cost });
            }
            std::sort(option.victims.begin(), option.victims.end(), [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
        }

        void addVictim(const UnitKey* victim)
        {
            this->stopped.insert(victim);
            this->plan.victims.push_back(*victim);
            for (WorkerOption& option : this->options) {
                for (const Allocation& run : this->snapshot.workers[option.index].allocations) {
                    if (run.unit != victim || run.stopping)
                        continue;
                    option.available += run.resources;
                    option.isCostCurrent = false;
                }
            }
        }

        const Snapshot& snapshot;
        const PlacementRequest& request;
        const LostWorkFunction& lostWork;
        std::vector<WorkerOption> options;
        std::set<const UnitKey*> stopped;
        EvictionPlan plan;
    };

    // The sets of workers to search. A plan places the whole unit within one of them: there is
    // one set per rack if the unit needs a single rack, else one with all workers.
    std::vector<WorkerIndices> workerSetsFor(const Snapshot& snapshot, const PlacementRequest& request)
    {
        const bool oneRack = request.rack.empty() && request.sameRack && request.members > 1;
        std::map<std::string_view, WorkerIndices> groups;
        for (std::size_t i = 0; i < snapshot.workers.size(); ++i) {
            const std::string& rack = snapshot.workers[i].rack;
            if (request.rack.empty() || rack == request.rack)
                groups[oneRack ? std::string_view(rack) : std::string_view()].push_back(i);
        }
        std::vector<WorkerIndices> sets;
        sets.reserve(groups.size());
        for (auto& [rack, workers] : groups)
            sets.push_back(std::move(workers));
        return sets;
    }

} // namespace

std::optional<EvictionPlan> planEviction(const Snapshot& snapshot, const PlacementRequest& request, const LostWorkFunction& lostWork, double maxLostWork)
{
    std::optional<EvictionPlan> best;
    for (const WorkerIndices& workers : workerSetsFor(snapshot, request)) {
        std::optional<EvictionPlan> plan = EvictionSearch(snapshot, request, lostWork, workers).placeAll();
        if (plan && plan->lostWork <= maxLostWork && (!best || plan->lostWork < best->lostWork))
            best = std::move(plan);
    }
    return best;
}

} // namespace rattan::tasks
