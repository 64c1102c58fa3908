#include "tasks/eviction.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace rattan::tasks {

namespace {

    // Workers by their place in the snapshot.
    using Workers = std::vector<std::size_t>;

    // What some workers offer while the plan grows.
    class Draft {
    public:
        Draft(const Snapshot& snapshot, const PlacementRequest& request, const LostWork& lostWork, const Workers& workers)
            : snapshot(snapshot)
            , request(request)
            , lostWork(lostWork)
            , workers(workers)
            , placed(workers.size(), 0)
        {
            for (const std::size_t index : workers)
                this->room.push_back(snapshot.workers[index].afterStops);
        }

        // Places every member, cheapest first.
        std::optional<EvictionPlan> fill()
        {
            for (std::int64_t member = 0; member < this->request.members; ++member) {
                if (!this->placeOne())
                    return std::nullopt;
            }
            return std::move(this->plan);
        }

    private:
        struct Option {
            std::size_t index { 0 }; // Among the workers of this draft.
            double cost { 0 };
            std::vector<UnitKey> victims;
        };

        const SnapshotWorker& workerAt(std::size_t i) const { return this->snapshot.workers[this->workers[i]]; }

        bool placeOne()
        {
            std::optional<Option> best;
            for (std::size_t i = 0; i < this->workers.size(); ++i) {
                const SnapshotWorker& worker = this->workerAt(i);
                if (worker.oneMore || !this->snapshot.suits(worker, this->request) || !this->snapshot.respectsIsolation(worker, this->request) || !this->belowLimit(i))
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
            this->plan.places.push_back(this->workers[best->index]);
            this->room[best->index] -= this->request.each;
            ++this->placed[best->index];
            return true;
        }

        bool belowLimit(std::size_t i) const
        {
            if (this->request.mostPerWorker <= 0)
                return true;
            std::int64_t already = this->placed[i];
            if (this->request.siblings) {
                const auto siblings = this->request.siblings->find(this->workerAt(i).id);
                already += siblings == this->request.siblings->end() ? 0 : siblings->second;
            }
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
            for (const Allocation& allocation : this->workerAt(i).allocations) {
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
            for (std::size_t i = 0; i < this->workers.size(); ++i) {
                for (const Allocation& allocation : this->workerAt(i).allocations) {
                    if (allocation.unit == victim && !allocation.ending)
                        this->room[i] += allocation.room;
                }
            }
        }

        const Snapshot& snapshot;
        const PlacementRequest& request;
        const LostWork& lostWork;
        const Workers& workers;
        std::vector<Room> room;
        std::vector<std::int64_t> placed;
        std::set<UnitKey> stopped;
        EvictionPlan plan;
    };

    // The workers among which a plan may choose freely: those of one rack, or all.
    std::vector<Workers> choicesFor(const Snapshot& snapshot, const PlacementRequest& request)
    {
        const bool oneRack = request.rack.empty() && request.sameRack && request.members > 1;
        std::map<std::string_view, Workers> groups;
        for (std::size_t i = 0; i < snapshot.workers.size(); ++i) {
            const std::string& rack = snapshot.workers[i].rack;
            if (request.rack.empty() || rack == request.rack)
                groups[oneRack ? std::string_view(rack) : std::string_view()].push_back(i);
        }
        std::vector<Workers> choices;
        choices.reserve(groups.size());
        for (auto& [rack, workers] : groups)
            choices.push_back(std::move(workers));
        return choices;
    }

} // namespace

std::optional<EvictionPlan> planEviction(const Snapshot& snapshot, const PlacementRequest& request, const LostWork& lostWork, double mostLost)
{
    std::optional<EvictionPlan> best;
    for (const Workers& workers : choicesFor(snapshot, request)) {
        std::optional<EvictionPlan> plan = Draft(snapshot, request, lostWork, workers).fill();
        if (plan && plan->lostWork <= mostLost && (!best || plan->lostWork < best->lostWork))
            best = std::move(plan);
    }
    return best;
}

} // namespace rattan::tasks
