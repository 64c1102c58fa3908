#pragma once

// Searches for places for a gang, best fit, in a RoomIndex.

#include "decide/worker_table.h"

#include <functional>
#include <optional>
#include <vector>

namespace rattan::decide::detail {

struct GangShape {
    std::int64_t members { 1 };
    Amounts perMember;
    Adjacency adjacency { Adjacency::Domain };

    std::int64_t accelerators() const { return this->members * this->perMember.accelerators; }
};

// How many members of the shape, at most `limit`, fit on this worker.
using FitsOn = std::function<std::int64_t(WorkerId, std::int64_t limit)>;

// One placement a member, or nothing. `turn` varies where a search begins among
// workers that look alike, so that repeated bounded searches see all of them.
// Looks at a bounded number of racks, and of workers for each member.
std::optional<std::vector<Placement>> findPlaces(const RoomIndex&, const GangShape&, const FitsOn&, std::uint64_t turn);

// The same, beginning at the most room: for claims, where what is free already
// need not be evicted. `fits` says what would fit if gangs were evicted.
std::optional<std::vector<Placement>> findRoomiest(
    const RoomIndex&, const GangShape&, const FitsOn&, std::uint64_t turn);

} // namespace rattan::decide::detail
