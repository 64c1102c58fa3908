#include "decide/room_index.h"

namespace rattan::decide::detail {

void RoomIndex::set(WorkerId worker, RackId rack, std::int64_t room)
{
    if (worker >= this->entries.size())
        this->entries.resize(worker + 1);
    Entry& entry = this->entries[worker];
    if (entry.room == room && entry.rack == rack)
        return;
    this->remove(worker);
    entry = { rack, room };
    this->all[room].insert(worker);
    this->rackRecords[rack].buckets[room].insert(worker);
    this->changeRack(rack, room, 1);
    this->sum += room;
}

void RoomIndex::remove(WorkerId worker)
{
    if (worker >= this->entries.size() || this->entries[worker].room < 0)
        return;
    Entry& entry = this->entries[worker];
    drop(this->all, entry.room, worker);
    drop(this->rackRecords[entry.rack].buckets, entry.room, worker);
    this->sum -= entry.room;
    this->changeRack(entry.rack, -entry.room, -1);
    entry.room = -1;
}

const RoomIndex::Buckets& RoomIndex::workersOf(RackId rack) const
{
    static const Buckets none;
    const auto found = this->rackRecords.find(rack);
    return found == this->rackRecords.end() ? none : found->second.buckets;
}

std::int64_t RoomIndex::totalOf(RackId rack) const
{
    const auto found = this->rackRecords.find(rack);
    return found == this->rackRecords.end() ? 0 : found->second.sum;
}

void RoomIndex::drop(Buckets& buckets, std::int64_t room, WorkerId worker)
{
    const auto bucket = buckets.find(room);
    bucket->second.erase(worker);
    if (bucket->second.empty())
        buckets.erase(bucket);
}

void RoomIndex::changeRack(RackId rack, std::int64_t sumBy, int workersBy)
{
    Rack& record = this->rackRecords[rack];
    this->racksByRoom.erase({ record.sum, rack });
    record.sum += sumBy;
    record.workers += workersBy;
    if (record.workers > 0)
        this->racksByRoom.insert({ record.sum, rack });
    else
        this->rackRecords.erase(rack);
}

} // namespace rattan::decide::detail
