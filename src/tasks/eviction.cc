#include "tasks/eviction.h"

#include <algorithm>
#include <map>
#include <set>

namespace rattan::tasks {

namespace {

    // What each worker offers while the plan grows.
    class Draft {
    public:
        Draft(const Snapshot& snapshot, const PlacementRequest& request, const LostWork& lostWork)
            : snapshot(snapshot)
            , request(request)
            , lostWork(lostWork)
            , room(snapshot.workers.size())
            , placed(snapshot.workers.size(), 0)
        {
            for (std::size_t i = 0; i < snapshot.workers.size(); ++i)
                this->room[i] = snapshot.workers[i].afterStops;
        }

        // Places every member on workers that `allowed` admits, cheapest first.
        std::optional<EvictionPlan> fill(const std::string* rack)
        {
            for (std::int64_t member = 0; member < this->request.members; ++member) {
                if (!this->placeOne(rack))
                    return std::nullopt;
            }
            return std::move(this->plan);
        }

    private:
        struct Option {
            std::size_t index { 0 };
            double cost { 0 };
            std::vector<UnitKey> victims;
        };

        bool placeOne(const std::string* rack)
        {
            std::optional<Option> best;
            for (std::size_t i = 0; i < this->snapshot.workers.size(); ++i) {
                const SnapshotWorker& worker = this->snapshot.workers[i];
                if ((rack && worker.rack != *rack) || worker.oneMore || !this->snapshot.suits(worker, this->request) || !this->belowLimit(i))
                    continue;
                std::optional<Option> option = this->optionOn(i);
                if (option && (!best || option->cost < best->cost))
                    best = std::move(option);
            }
            if (!best)
                return false;
            for (const UnitKey& victim : best->victims)
                this->stop(victim);
            this->plan.lostWork += best->cost;
            this->plan.places.push_back(best->index);
            this->room[best->index] -= this->request.each;
            ++this->placed[best->index];
            return true;
        }

        bool belowLimit(std::size_t i) const
        {
            if (this->request.mostPerWorker <= 0)
                return true;
            std::int64_t already = this->placed[i];
            if (this->request.siblings)
                already += std::count(this->request.siblings->begin(), this->request.siblings->end(), this->snapshot.workers[i].id);
            return already < this->request.mostPerWorker;
        }

        std::optional<Option> optionOn(std::size_t i) const
        {
            Option option { i, 0, {} };
            Room room = this->room[i];
            if (this->request.each.within(room))
                return option;
            struct Candidate {
                const Allocation* allocation;
                double cost;
            };
            std::vector<Candidate> candidates;
            for (const Allocation& allocation : this->snapshot.workers[i].allocations) {
                if (allocation.ending || this->stopped.contains(allocation.unit))
                    continue;
                const double cost = this->lostWork(allocation.unit);
                if (cost >= 0)
                    candidates.push_back({ &allocation, cost });
            }
            std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
            std::set<UnitKey> chosen;
            for (const Candidate& candidate : candidates) {
                if (this->request.each.within(room))
                    break;
                room += candidate.allocation->room;
                if (chosen.insert(candidate.allocation->unit).second) {
                    option.cost += candidate.cost;
                    option.victims.push_back(candidate.allocation->unit);
                }
            }
            if (!this->request.each.within(room))
                return std::nullopt;
            return option;
        }

        void stop(const UnitKey& victim)
        {
            this->stopped.insert(victim);
            this->plan.victims.push_back(victim);
            for (std::size_t i = 0; i < this->snapshot.workers.size(); ++i) {
                for (const Allocation& allocation : this->snapshot.workers[i].allocations) {
                    if (allocation.unit == victim && !allocation.ending)
                        this->room[i] += allocation.room;
                }
            }
        }

        const Snapshot& snapshot;
        const PlacementRequest& request;
        const LostWork& lostWork;
        std::vector<Room> room;
        std::vector<std::int64_t> placed;
        std::set<UnitKey> stopped;
        EvictionPlan plan;
    };

} // namespace

std::optional<EvictionPlan> planEviction(const Snapshot& snapshot, const PlacementRequest& request, const LostWork& lostWork, double mostLost)
{
    std::set<std::string> racks;
    if (!request.rack.empty()) {
        racks.insert(request.rack);
    } else if (request.sameRack && request.members > 1) {
        for (const SnapshotWorker& worker : snapshot.workers)
            racks.insert(worker.rack);
    }
    std::optional<EvictionPlan> best;
    const auto consider = [&](const std::string* rack) {
        std::optional<EvictionPlan> plan = Draft(snapshot, request, lostWork).fill(rack);
        if (plan && plan->lostWork <= mostLost && (!best || plan->lostWork < best->lostWork))
            best = std::move(plan);
    };
    if (racks.empty())
        consider(nullptr);
    for (const std::string& rack : racks)
        consider(&rack);
    return best;
}

} // namespace rattan::tasks
