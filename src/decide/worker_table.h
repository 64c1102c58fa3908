#pragma once

// The workers of the domain, what is taken on each, and the indices by which
// searches find room.
//
// Two accounts are kept of every worker. The first is what is really taken: by
// gangs (`used`) and by claims of jobs that wait for evictions (`held`). The
// second, in units, is what is promised: to the homes of guaranteed shapes
// (`planned`) and to gangs outside them that cannot be evicted (`firm`). A unit
// is one accelerator with its proportional share of the worker's cores and
// memory. While planned + firm stays within the accelerators of every worker,
// all promises can be kept at once by evicting borrowed gangs alone.

#include "decide/room_index.h"
#include "decide/types.h"

#include <vector>

namespace rattan::decide::detail {

inline constexpr WorkerId mostWorkers = 1U << 20;

Amounts operator+(const Amounts&, const Amounts&);
Amounts operator-(const Amounts&, const Amounts&);
Amounts operator*(const Amounts&, std::int64_t);
bool covers(const Amounts& room, const Amounts& need);

// How many times `need` goes into `room`; at most `limit`.
std::int64_t timesInto(const Amounts& room, const Amounts& need, std::int64_t limit);

inline Amounts amountsOf(const Placement& placement)
{
    return { placement.accelerators, placement.cores, placement.memoryMb };
}

inline Placement placementOn(WorkerId worker, const Amounts& amounts)
{
    return { worker, amounts.accelerators, amounts.cores, amounts.memoryMb };
}

struct WorkerRecord {
    bool known { false };
    bool present { false };
    bool leaving { false };
    bool quarantined { false };
    RackId rack { 0 };
    Amounts capacity;
    Amounts used;
    Amounts held;
    std::int64_t fixed { 0 }; // Accelerators of gangs that others may not evict.
    std::int64_t planned { 0 };
    std::int64_t firm { 0 };
    std::vector<JobId> gangs; // With a member here; each once.
    std::vector<JobId> claims; // That hold room here; each once.

    bool usable() const { return this->present && !this->leaving && !this->quarantined; }
    Amounts free() const { return this->capacity - this->used; }
    Amounts room() const { return this->capacity - this->used - this->held; }
    std::int64_t unpromised() const { return this->capacity.accelerators - this->planned - this->firm; }

    // Units that one such member takes here.
    std::int64_t unitsOf(const Amounts& member) const;
};

class WorkerTable {
public:
    bool knows(WorkerId worker) const { return worker < this->records.size() && this->records[worker].known; }
    const WorkerRecord& operator[](WorkerId worker) const { return this->records[worker]; }

    // For changes; call refresh afterwards.
    WorkerRecord& edit(WorkerId worker);
    void refresh(WorkerId);

    std::size_t size() const { return this->records.size(); }
    const std::vector<WorkerRecord>& all() const { return this->records; }
    std::int64_t capacity() const { return this->acceleratorsUsable; }

    const RoomIndex& room() const { return this->byRoom; } // Accelerators free and unclaimed.
    const RoomIndex& unpromised() const { return this->byUnpromised; } // Units.
    const RoomIndex& capacities() const { return this->byCapacity; } // Of all workers ever seen, also of lost ones.
    const RoomIndex& reclaimable() const { return this->byReclaimable; } // Free, or borrowed by others than urgent work.

private:
    std::vector<WorkerRecord> records; // By id; ids are small numbers.
    std::vector<std::int64_t> counted; // Accelerators of each in acceleratorsUsable.
    RoomIndex byRoom;
    RoomIndex byUnpromised;
    RoomIndex byReclaimable;
    RoomIndex byCapacity;
    std::int64_t acceleratorsUsable { 0 };
};

} // namespace rattan::decide::detail
