// For a piece of k accelerators that has to lie within one worker or rack, a
// place with f free ones can use floor(f/k)*k of them. If all free ones lay
// together, they would fill place after place, the largest first, and each could
// use its own in the same way. Fragmentation is one minus the ratio of the two;
// 0 when not even one piece could be gathered, for then nothing is scattered that
// could serve.
//
// A gang within the domain needs no gathering across workers, but each of its
// members does; it counts as pieces of one member within a worker.

#include "decide/fragmentation.h"

#include <algorithm>

namespace rattan::decide::detail {

namespace {

    struct Piece {
        std::int64_t accelerators { 0 };
        Adjacency within { Adjacency::Worker };
    };

    Piece pieceOf(const GangShape& shape)
    {
        if (shape.adjacency == Adjacency::Domain)
            return { shape.perMember.accelerators, Adjacency::Worker };
        return { shape.accelerators(), shape.adjacency };
    }

    void keepLarger(Piece& largest, const Piece& piece)
    {
        if (piece.accelerators > largest.accelerators)
            largest = piece;
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
                keepLarger(largest, { slot.units, slot.within });
        }
        return largest;
    }

    // Pieces times their size that fit into the places of this index.
    std::int64_t usable(const RoomIndex& room, const Piece& piece)
    {
        const std::int64_t size = piece.accelerators;
        std::int64_t sum = 0;
        if (piece.within == Adjacency::Worker) {
            for (const auto& [free, workers] : room.workers())
                sum += free / size * size * static_cast<std::int64_t>(workers.size());
        } else {
            for (const auto& [free, rack] : room.racks())
                sum += free / size * size;
        }
        return sum;
    }

    // The same if `free` accelerators lay together, filling place after place.
    std::int64_t gathered(const RoomIndex& capacities, const Piece& piece, std::int64_t free)
    {
        const std::int64_t size = piece.accelerators;
        std::int64_t sum = 0;
        const auto fill = [&](std::int64_t place) {
            sum += std::min(place, free) / size * size;
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

double fragmentationOf(const Engine& engine, GuaranteeView view)
{
    const RoomIndex* room = &engine.workers.room();
    Piece piece = largestWaiting(engine);
    if (piece.accelerators == 0) {
        piece = largestIdleGuarantee(engine);
        if (view == GuaranteeView::Reclaimable)
            room = &engine.workers.reclaimable();
    }
    if (piece.accelerators == 0)
        return 0;
    const std::int64_t best = gathered(engine.workers.capacities(), piece, room->total());
    return best == 0 ? 0 : std::max(0.0, 1 - static_cast<double>(usable(*room, piece)) / static_cast<double>(best));
}

} // namespace rattan::decide::detail
