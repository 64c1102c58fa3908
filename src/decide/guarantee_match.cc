#include "decide/guarantee_match.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace rattan::decide::detail {

namespace {

    constexpr std::size_t mostTradesTried = 64;

    struct HomeRoom {
        WorkerId worker { 0 };
        std::int64_t units { 0 }; // Idle.
    };

    using Group = std::vector<HomeRoom>; // That satisfies the gang's adjacency.

    // Which workers are adjacent to each other, by number.
    std::uint64_t groupOf(const WorkerTable& workers, WorkerId worker, Adjacency adjacency)
    {
        switch (adjacency) {
        case Adjacency::Worker:
            return worker;
        case Adjacency::Rack:
            return workers[worker].rack;
        case Adjacency::Domain:
            break;
        }
        return 0;
    }

    std::map<std::uint64_t, Group> idleHomes(
        const GuaranteeBook& book, const WorkerTable& workers, const std::vector<SlotId>& ids, Adjacency adjacency)
    {
        std::map<WorkerId, std::int64_t> idle;
        for (const SlotId id : ids) {
            for (const HomePiece& piece : book.all()[id].pieces) {
                if (piece.units > piece.taken && workers[piece.worker].usable())
                    idle[piece.worker] += piece.units - piece.taken;
            }
        }
        std::map<std::uint64_t, Group> groups;
        for (const auto& [worker, units] : idle)
            groups[groupOf(workers, worker, adjacency)].push_back({ worker, units });
        return groups;
    }

    // Members that the home holds on this worker.
    std::int64_t membersIn(const WorkerTable& workers, const HomeRoom& room, const GangShape& shape)
    {
        const std::int64_t each = workers[room.worker].unitsOf(shape.perMember);
        return each > 0 ? std::min(room.units / each, shape.members) : 0;
    }

    // The gang in this group, or nothing; `onlyFree` counts what is free now.
    std::optional<std::vector<Placement>> placeIn(
        const WorkerTable& workers, const Group& group, const GangShape& shape, bool onlyFree)
    {
        std::vector<Placement> places;
        std::int64_t missing = shape.members;
        for (const HomeRoom& room : group) {
            std::int64_t count = std::min(membersIn(workers, room, shape), missing);
            if (onlyFree)
                count = timesInto(workers[room.worker].room(), shape.perMember, count);
            places.insert(places.end(), count, placementOn(room.worker, shape.perMember));
            missing -= count;
            if (missing == 0)
                return places;
        }
        return std::nullopt;
    }

    std::vector<Grant> grantsFor(const GuaranteeBook& book, const WorkerTable& workers, const std::vector<SlotId>& ids,
        const std::vector<Placement>& placements)
    {
        std::map<WorkerId, std::int64_t> need;
        for (const Placement& placement : placements)
            need[placement.worker] += workers[placement.worker].unitsOf(amountsOf(placement));
        std::vector<Grant> grants;
        for (const SlotId id : ids) {
            for (const HomePiece& piece : book.all()[id].pieces) {
                const auto wanted = need.find(piece.worker);
                if (wanted == need.end() || wanted->second == 0)
                    continue;
                const std::int64_t units = std::min(piece.units - piece.taken, wanted->second);
                if (units > 0)
                    grants.push_back({ id, piece.worker, units });
                wanted->second -= std::max<std::int64_t>(units, 0);
            }
        }
        return grants;
    }

    std::int64_t sizeOf(const Group& group)
    {
        std::int64_t units = 0;
        for (const HomeRoom& room : group)
            units += room.units;
        return units;
    }

    // The gang in one of these homes that are adjacent to each other.
    std::optional<HomeMatch> matchIn(const GuaranteeBook& book, const WorkerTable& workers, const std::vector<SlotId>& ids,
        const GangShape& shape)
    {
        std::optional<HomeMatch> best;
        std::int64_t bestSize = 0;
        for (const auto& [key, group] : idleHomes(book, workers, ids, shape.adjacency)) {
            const std::int64_t size = sizeOf(group);
            for (const bool free : { true, false }) {
                if (best && (best->free > free || (best->free == free && bestSize <= size)))
                    continue;
                if (auto places = placeIn(workers, group, shape, free)) {
                    best = HomeMatch { std::move(*places), {}, free, std::nullopt };
                    bestSize = size;
                }
            }
        }
        return best;
    }

    // Smaller is better.
    struct SlotRank {
        std::int64_t units { 0 };
        int tightness { 0 };
        bool busy { false };
        bool idle { false };
        bool operator<(const SlotRank& other) const
        {
            return std::tie(this->units, this->tightness, this->busy, this->idle)
                < std::tie(other.units, other.tightness, other.busy, other.idle);
        }
    };

} // namespace

std::optional<HomeMatch> matchHomes(
    const GuaranteeBook& book, const WorkerTable& workers, WorkspaceId workspace, const GangShape& shape)
{
    const std::vector<SlotId>& ids = book.of(workspace);
    if (ids.empty() || shape.perMember.accelerators == 0)
        return std::nullopt;
    std::optional<HomeMatch> best;
    SlotRank bestRank;
    for (const SlotId id : ids) {
        const Slot& slot = book.all()[id];
        if (slot.units < shape.accelerators() || (best && slot.units > bestRank.units))
            continue;
        auto match = matchIn(book, workers, { id }, shape);
        if (!match)
            continue;
        const SlotRank rank { slot.units, -static_cast<int>(slot.within), !match->free, slot.taken() == 0 };
        if (best && !(rank < bestRank))
            continue;
        best = std::move(match);
        best->slot = id;
        bestRank = rank;
    }
    if (!best)
        best = matchIn(book, workers, ids, shape);
    if (best)
        best->grants = grantsFor(book, workers, best->slot ? std::vector<SlotId> { *best->slot } : ids, best->placements);
    return best;
}

bool tradeForFree(
    GuaranteeBook& book, const WorkerTable& workers, SlotId mine, const GangShape& shape, std::uint64_t turn)
{
    const auto tradable = [&](SlotId id) { return book.all()[id].met() && book.all()[id].taken() == 0; };
    if (!tradable(mine))
        return false;
    const std::vector<SlotId>& others = book.alike(mine);
    for (std::size_t i = 0; i < std::min(others.size(), mostTradesTried); ++i) {
        const SlotId other = others[(turn + i) % others.size()];
        if (other == mine || !tradable(other))
            continue;
        const auto match = matchIn(book, workers, { other }, shape);
        if (match && match->free) {
            book.trade(mine, other);
            return true;
        }
    }
    return false;
}

std::optional<std::vector<Grant>> bindHomes(
    GuaranteeBook& book, const WorkerTable& workers, WorkspaceId workspace, const std::vector<Placement>& placements)
{
    std::vector<Placement> left = placements;
    std::vector<Grant> grants;
    for (const SlotId id : std::vector<SlotId>(book.of(workspace))) {
        const Slot& slot = book.all()[id];
        if (left.empty() || slot.taken() > 0)
            continue;
        const std::uint64_t group = groupOf(workers, left.front().worker, slot.within);
        std::vector<HomePiece> pieces;
        std::vector<Placement> rest;
        std::int64_t units = 0;
        for (const Placement& placement : left) {
            const std::int64_t each = workers[placement.worker].unitsOf(amountsOf(placement));
            if (units + each > slot.units || groupOf(workers, placement.worker, slot.within) != group) {
                rest.push_back(placement);
                continue;
            }
            units += each;
            const auto same = std::find_if(pieces.begin(), pieces.end(),
                [&](const HomePiece& piece) { return piece.worker == placement.worker; });
            if (same == pieces.end())
                pieces.push_back({ placement.worker, each, 0 });
            else
                same->units += each;
        }
        if (pieces.empty() || !book.bind(id, pieces))
            continue;
        std::vector<Grant> added;
        added.reserve(pieces.size());
        for (const HomePiece& piece : pieces)
            added.push_back({ id, piece.worker, piece.units });
        book.take(added);
        grants.insert(grants.end(), added.begin(), added.end());
        left = std::move(rest);
    }
    if (left.empty())
        return grants;
    book.release(grants);
    return std::nullopt;
}

} // namespace rattan::decide::detail
