// The wanted pieces are those of the largest waiting shape for which enough is
// free at all: where too little is free, gathering it would not help. While no
// such shape waits they are the largest idle guaranteed shapes, which may use
// what is borrowed. A gang within the domain needs no gathering across workers,
// but each of its members does; it counts as pieces of one member on a worker.
//
// A place (a worker, or a rack) with f free accelerators holds floor(f/k) pieces
// of k. If all free ones lay together, they would fill place after place, the
// largest first. Fragmentation is the share of the pieces which are wanted and
// could be had in the second way that cannot be had in the first; 0 when none
// could be, for then nothing is scattered that could serve. The strict view
// counts as many pieces as there could be instead of those that are wanted, and
// lets guarantees use only what is free.

#include "decide/fragmentation.h"

#include <algorithm>
#include <limits>

namespace rattan::decide::detail {

namespace {

    struct Piece {
        std::int64_t accelerators { 0 };
        Adjacency within { Adjacency::Worker };
        std::int64_t wanted { 0 }; // How many of them.
    };

    Piece pieceOf(const GangShape& shape)
    {
        if (shape.adjacency == Adjacency::Domain)
            return { shape.perMember.accelerators, Adjacency::Worker, shape.members };
        return { shape.accelerators(), shape.adjacency, 1 };
    }

    void keepLarger(Piece& largest, const Piece& piece)
    {
        if (piece.accelerators > largest.accelerators)
            largest = piece;
        else if (piece.accelerators == largest.accelerators && piece.within == largest.within)
            largest.wanted += piece.wanted;
    }

    // The largest shape that could run if all that is free lay together. Looks at
    // the first jobs of each line, which go next.
    Piece largestWaiting(const Engine& engine)
    {
        constexpr int perLine = 16;
        const std::int64_t free = engine.workers.room().total();
        Piece largest;
        for (const Urgency rank : { Urgency::Urgent, Urgency::Ordinary, Urgency::Patient }) {
            for (const auto& [workspace, line] : engine.queue.linesOf(rank)) {
                auto entry = line.begin();
                for (int i = 0; i < perLine && entry != line.end(); ++i, ++entry) {
                    const GangShape shape = engine.find(entry->job)->shape();
                    if (shape.accelerators() <= free)
                        keepLarger(largest, pieceOf(shape));
                }
            }
        }
        return largest;
    }

    Piece largestIdleGuarantee(const Engine& engine)
    {
        Piece largest;
        for (const Slot& slot : engine.book.all()) {
            if (!slot.retired && slot.taken() == 0 && slot.within != Adjacency::Domain)
                keepLarger(largest, { slot.units, slot.within, 1 });
        }
        return largest;
    }

    // Pieces that fit into the places of this index.
    std::int64_t fitting(const RoomIndex& room, const Piece& piece)
    {
        const std::int64_t size = piece.accelerators;
        std::int64_t sum = 0;
        if (piece.within == Adjacency::Worker) {
            for (const auto& [free, workers] : room.workers())
                sum += free / size * static_cast<std::int64_t>(workers.size());
        } else {
            for (const auto& [free, rack] : room.racks())
                sum += free / size;
        }
        return sum;
    }

    // The same if `free` accelerators lay together, filling place after place.
    std::int64_t fittingGathered(const RoomIndex& capacities, const Piece& piece, std::int64_t free)
    {
        const std::int64_t size = piece.accelerators;
        std::int64_t sum = 0;
        const auto fill = [&](std::int64_t place) {
            sum += std::min(place, free) / size;
            free -= std::min(place, free);
        };
        if (piece.within == Adjacency::Worker) {
            for (auto bucket = capacities.workers().rbegin(); bucket != capacities.workers().rend(); ++bucket) {
                for (std::size_t i = 0; i < bucket->second.size() && free > 0; ++i)
                    fill(bucket->first);
            }
        } else {
            for (auto rack = capacities.racks().rbegin(); rack != capacities.racks().rend() && free > 0; ++rack)
                fill(rack->first);
        }
        return sum;
    }

} // namespace

double fragmentationOf(const Engine& engine, FragmentationView view)
{
    const bool strict = view == FragmentationView::Strict;
    const RoomIndex* room = &engine.workers.room();
    Piece piece = largestWaiting(engine);
    if (piece.accelerators == 0) {
        piece = largestIdleGuarantee(engine);
        if (!strict)
            room = &engine.workers.reclaimable();
    }
    if (piece.accelerators == 0)
        return 0;
    const std::int64_t most = strict ? std::numeric_limits<std::int64_t>::max() : piece.wanted;
    const std::int64_t best = std::min(most, fittingGathered(engine.workers.capacities(), piece, room->total()));
    const std::int64_t have = std::min(most, fitting(*room, piece));
    return best == 0 ? 0 : std::max(0.0, 1 - static_cast<double>(have) / static_cast<double>(best));
}

} // namespace rattan::decide::detail
