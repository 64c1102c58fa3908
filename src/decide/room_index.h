#pragma once

// Workers sorted by how much of something they have left, in all and per rack,
// so that a search for room looks at a few workers and not at every one.
// Changing one worker's room costs the logarithm of the number of workers.

#include "decide/types.h"

#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rattan::decide::detail {

class RoomIndex {
public:
    using Buckets = std::map<std::int64_t, std::set<WorkerId>>; // By room.

    // Puts a worker in, or changes its room; room is at least zero.
    void set(WorkerId, RackId, std::int64_t room);
    void remove(WorkerId);

    std::int64_t total() const { return this->sum; }
    const Buckets& workers() const { return this->all; }
    const Buckets& workersOf(RackId) const;
    std::int64_t totalOf(RackId) const;

    // Racks by the sum of their workers' room.
    const std::set<std::pair<std::int64_t, RackId>>& racks() const { return this->racksByRoom; }

private:
    struct Entry {
        RackId rack { 0 };
        std::int64_t room { -1 }; // Below zero: not in the index.
    };

    struct Rack {
        Buckets buckets;
        std::int64_t sum { 0 };
        std::size_t workers { 0 };
    };

    static void drop(Buckets&, std::int64_t room, WorkerId);
    void changeRack(RackId, std::int64_t sumBy, int workersBy);

    std::vector<Entry> entries; // By worker.
    Buckets all;
    std::unordered_map<RackId, Rack> rackRecords;
    std::set<std::pair<std::int64_t, RackId>> racksByRoom;
    std::int64_t sum { 0 };
};

} // namespace rattan::decide::detail
