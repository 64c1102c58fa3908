#include "tasks/eviction.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace rattan::tasks {

namespace {

    // Workers by their place in the snapshot.
    using Workers = std::vector<std::size_t>;

    // What some workers offer while the plan grows. What a member would cost on a worker is
    // worked out again only after that worker has changed, so that a wide unit does not
    // look at all workers anew for each member.
    class Draft {
    public:
        Draft(const Snapshot& snapshot, const PlacementRequest& request, const LostWork& lostWork, const Workers& workers)
            : snapshot(snapshot)
            , request(request)
            , lostWork(lostWork)
        {
            for (const std::size_t index : workers) {
                const SnapshotWorker& worker = snapshot.workers[index];
                if (!worker.oneMore && snapshot.suits(worker, request) && snapshot.respectsIsolation(worker, request))
                    this->offers.push_back({ .index = index, .room = worker.afterStops });
            }
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
        struct Victim {
            const Allocation* run { nullptr };
            double cost { 0 };
        };

        // A worker, and what one more member there costs.
        struct Offer {
            std::size_t index { 0 }; // In the snapshot.
            Room room; // Once all victims so far have ended.
            std::int64_t placed { 0 };
            bool isListed { false }; // Of `victims`.
            std::vector<Victim> victims; // Runs that may be stopped, cheapest first.
            bool isCosted { false }; // Of what follows.
            bool fits { false };
            double cost { 0 };
            std::vector<const UnitKey*> stops;
        };

        bool placeOne()
        {
            Offer* best = nullptr;
            for (Offer& offer : this->offers) {
                if (!offer.isCosted)
                    this->work(offer);
                if (offer.fits && (!best || offer.cost < best->cost))
                    best = &offer;
            }
            if (!best)
                return false;
            this->plan.lostWork += best->cost;
            this->plan.places.push_back(best->index);
            for (const UnitKey* victim : best->stops)
                this->stop(victim);
            best->room -= this->request.each;
            best->isCosted = false;
            ++best->placed;
            return true;
        }

        void work(Offer& offer)
        {
            offer.isCosted = true;
            offer.cost = 0;
            offer.stops.clear();
            offer.fits = this->isBelowLimit(offer) && this->findStops(offer);
        }

        bool isBelowLimit(const Offer& offer) const
        {
            if (this->request.mostPerWorker <= 0)
                return true;
            std::int64_t already = offer.placed;
            if (this->request.siblings) {
                const auto siblings = this->request.siblings->find(this->snapshot.workers[offer.index].id);
                already += siblings == this->request.siblings->end() ? 0 : siblings->second;
            }
            return already < this->request.mostPerWorker;
        }

        bool findStops(Offer& offer)
        {
            Room room = offer.room;
            if (this->request.each.within(room))
                return true;
            if (!offer.isListed)
                this->listVictims(offer);
            for (const Victim& victim : offer.victims) {
                if (this->stopped.contains(victim.run->unit))
                    continue;
                room += victim.run->room;
                if (std::find(offer.stops.begin(), offer.stops.end(), victim.run->unit) == offer.stops.end()) {
                    offer.cost += victim.cost;
                    offer.stops.push_back(victim.run->unit);
                }
                if (this->request.each.within(room))
                    return true;
            }
            return false;
        }

        void listVictims(Offer& offer) const
        {
            offer.isListed = true;
            for (const Allocation& run : this->snapshot.workers[offer.index].allocations) {
                const double cost = run.ending || !run.unit ? -1 : this->lostWork(run);
                if (cost >= 0)
                    offer.victims.push_back({ &run, cost });
            }
            std::sort(offer.victims.begin(), offer.victims.end(), [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
        }

        void stop(const UnitKey* victim)
        {
            this->stopped.insert(victim);
            this->plan.victims.push_back(*victim);
            for (Offer& offer : this->offers) {
                for (const Allocation& run : this->snapshot.workers[offer.index].allocations) {
                    if (run.unit != victim || run.ending)
                        continue;
                    offer.room += run.room;
                    offer.isCosted = false;
                }
            }
        }

        const Snapshot& snapshot;
        const PlacementRequest& request;
        const LostWork& lostWork;
        std::vector<Offer> offers;
        std::set<const UnitKey*> stopped;
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
