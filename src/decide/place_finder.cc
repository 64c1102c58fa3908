// Best fit: the search starts at the least room that can do and goes up. A
// worker of the least sufficient room leaves the smallest remainder, and larger
// holes stay whole for larger gangs. The index knows accelerators only; cores
// and memory are asked of `fits` for the few workers that come up.

#include "decide/place_finder.h"

#include <algorithm>

namespace rattan::decide::detail {

namespace {

    constexpr std::size_t mostMisses = 64; // Workers of one bucket that turn out not to fit.
    constexpr std::size_t mostRacks = 64;
    constexpr std::size_t mostRoomiestRacks = 8;

    // Calls `visit` for the workers of a bucket until it returns false or too
    // many in a row were of no use; a large bucket is entered at `turn`.
    template <typename Visit>
    void visitBucket(const std::set<WorkerId>& bucket, std::uint64_t turn, const Visit& visit)
    {
        auto at = bucket.begin();
        if (bucket.size() > mostMisses) {
            const std::uint64_t span = *bucket.rbegin() - *bucket.begin() + 1;
            at = bucket.lower_bound(static_cast<WorkerId>(*bucket.begin() + turn % span));
        }
        std::size_t misses = 0;
        for (std::size_t seen = 0; seen < bucket.size() && misses < mostMisses; ++seen) {
            if (at == bucket.end())
                at = bucket.begin();
            bool useful = false;
            if (!visit(*at, useful))
                return;
            misses += useful ? 0 : 1;
            ++at;
        }
    }

    class Search {
    public:
        Search(const GangShape& shape, const FitsOn& fits, std::uint64_t turn)
            : shape(shape)
            , fits(fits)
            , turn(turn)
        {
        }

        // All members on one worker.
        std::optional<std::vector<Placement>> onOneWorker(const RoomIndex::Buckets& buckets) const
        {
            std::optional<WorkerId> found;
            const std::int64_t members = this->shape.members;
            for (auto at = buckets.lower_bound(this->shape.accelerators()); at != buckets.end() && !found; ++at) {
                visitBucket(at->second, this->turn, [&](WorkerId worker, bool&) {
                    if (this->fits(worker, members) >= members)
                        found = worker;
                    return !found;
                });
            }
            if (!found)
                return std::nullopt;
            return std::vector<Placement>(members, placementOn(*found, this->shape.perMember));
        }

        // Members wherever they fit among these workers.
        std::optional<std::vector<Placement>> among(const RoomIndex::Buckets& buckets) const
        {
            std::vector<Placement> places;
            std::int64_t missing = this->shape.members;
            places.reserve(missing);
            for (auto at = buckets.lower_bound(this->shape.perMember.accelerators); at != buckets.end() && missing > 0; ++at) {
                visitBucket(at->second, this->turn, [&](WorkerId worker, bool& useful) {
                    const std::int64_t count = this->fits(worker, missing);
                    useful = count > 0;
                    places.insert(places.end(), count, placementOn(worker, this->shape.perMember));
                    missing -= count;
                    return missing > 0;
                });
            }
            if (missing > 0)
                return std::nullopt;
            return places;
        }

        std::optional<std::vector<Placement>> withinOneRack(const RoomIndex& index) const
        {
            std::size_t seen = 0;
            const auto& racks = index.racks();
            for (auto at = racks.lower_bound({ this->shape.accelerators(), 0 }); at != racks.end() && seen < mostRacks;
                 ++at) {
                const RoomIndex::Buckets& buckets = index.workersOf(at->second);
                if (!this->mayFit(buckets))
                    continue;
                ++seen;
                if (auto places = this->among(buckets))
                    return places;
            }
            return std::nullopt;
        }

        std::optional<std::vector<Placement>> amongRoomiest(const RoomIndex::Buckets& buckets) const
        {
            std::vector<Placement> places;
            std::int64_t missing = this->shape.members;
            for (auto at = buckets.rbegin(); at != buckets.rend() && missing > 0; ++at) {
                visitBucket(at->second, this->turn, [&](WorkerId worker, bool& useful) {
                    const std::int64_t count = this->fits(worker, missing);
                    useful = count > 0;
                    places.insert(places.end(), count, placementOn(worker, this->shape.perMember));
                    missing -= count;
                    return missing > 0;
                });
            }
            if (missing > 0)
                return std::nullopt;
            return places;
        }

        std::optional<std::vector<Placement>> onRoomiestWorker(const RoomIndex::Buckets& buckets) const
        {
            std::optional<WorkerId> found;
            std::size_t seen = 0;
            const std::int64_t members = this->shape.members;
            for (auto at = buckets.rbegin(); at != buckets.rend() && !found && seen < mostMisses; ++at) {
                visitBucket(at->second, this->turn, [&](WorkerId worker, bool&) {
                    if (this->fits(worker, members) >= members)
                        found = worker;
                    return !found && ++seen < mostMisses;
                });
            }
            if (!found)
                return std::nullopt;
            return std::vector<Placement>(members, placementOn(*found, this->shape.perMember));
        }

        std::optional<std::vector<Placement>> inRoomiestRack(const RoomIndex& index) const
        {
            std::size_t seen = 0;
            const auto& racks = index.racks();
            for (auto at = racks.rbegin(); at != racks.rend() && seen < mostRoomiestRacks; ++at, ++seen) {
                if (auto places = this->amongRoomiest(index.workersOf(at->second)))
                    return places;
            }
            return std::nullopt;
        }

    private:
        // By accelerators alone.
        bool mayFit(const RoomIndex::Buckets& buckets) const
        {
            const std::int64_t each = this->shape.perMember.accelerators;
            if (each == 0)
                return true;
            std::int64_t members = 0;
            for (auto at = buckets.lower_bound(each); at != buckets.end(); ++at)
                members += at->first / each * static_cast<std::int64_t>(at->second.size());
            return members >= this->shape.members;
        }

        const GangShape& shape;
        const FitsOn& fits;
        std::uint64_t turn;
    };

} // namespace

std::optional<std::vector<Placement>> findPlaces(
    const RoomIndex& index, const GangShape& shape, const FitsOn& fits, std::uint64_t turn)
{
    if (index.total() < shape.accelerators())
        return std::nullopt;
    const Search search(shape, fits, turn);
    switch (shape.adjacency) {
    case Adjacency::Worker:
        return search.onOneWorker(index.workers());
    case Adjacency::Rack:
        return search.withinOneRack(index);
    case Adjacency::Domain:
        break;
    }
    return search.among(index.workers());
}

std::optional<std::vector<Placement>> findRoomiest(
    const RoomIndex& index, const GangShape& shape, const FitsOn& fits, std::uint64_t turn)
{
    const Search search(shape, fits, turn);
    switch (shape.adjacency) {
    case Adjacency::Worker:
        return search.onRoomiestWorker(index.workers());
    case Adjacency::Rack:
        return search.inRoomiestRack(index);
    case Adjacency::Domain:
        break;
    }
    return search.amongRoomiest(index.workers());
}

} // namespace rattan::decide::detail
