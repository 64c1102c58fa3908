#include "decide/worker_table.h"

#include <algorithm>

namespace rattan::decide::detail {

Amounts operator+(const Amounts& a, const Amounts& b)
{
    return { a.accelerators + b.accelerators, a.cores + b.cores, a.memoryMb + b.memoryMb };
}

Amounts operator-(const Amounts& a, const Amounts& b)
{
    return { a.accelerators - b.accelerators, a.cores - b.cores, a.memoryMb - b.memoryMb };
}

Amounts operator*(const Amounts& a, std::int64_t times)
{
    return { a.accelerators * times, a.cores * times, a.memoryMb * times };
}

bool covers(const Amounts& room, const Amounts& need)
{
    return room.accelerators >= need.accelerators && room.cores >= need.cores && room.memoryMb >= need.memoryMb;
}

std::int64_t timesInto(const Amounts& room, const Amounts& need, std::int64_t limit)
{
    const auto bound = [&](std::int64_t have, std::int64_t want) {
        if (want > 0)
            limit = std::min(limit, std::max<std::int64_t>(have, 0) / want);
    };
    bound(room.accelerators, need.accelerators);
    bound(room.cores, need.cores);
    bound(room.memoryMb, need.memoryMb);
    return limit;
}

std::int64_t WorkerRecord::unitsOf(const Amounts& member) const
{
    const std::int64_t all = this->capacity.accelerators;
    const auto share = [all](std::int64_t want, std::int64_t have) {
        return have > 0 ? (want * all + have - 1) / have : all;
    };
    if (all == 0)
        return 0;
    return std::max(
        { member.accelerators, share(member.cores, this->capacity.cores), share(member.memoryMb, this->capacity.memoryMb) });
}

WorkerRecord& WorkerTable::edit(WorkerId worker)
{
    if (worker >= this->records.size()) {
        this->records.resize(worker + 1);
        this->counted.resize(worker + 1);
    }
    return this->records[worker];
}

void WorkerTable::refresh(WorkerId worker)
{
    const WorkerRecord& record = this->records[worker];
    const std::int64_t counts = record.usable() ? record.capacity.accelerators : 0;
    this->acceleratorsUsable += counts - this->counted[worker];
    this->counted[worker] = counts;
    this->byCapacity.set(worker, record.rack, record.capacity.accelerators);
    if (!record.usable()) {
        this->byRoom.remove(worker);
        this->byUnpromised.remove(worker);
        this->byReclaimable.remove(worker);
        return;
    }
    const auto atLeastZero = [](std::int64_t value) { return std::max<std::int64_t>(value, 0); };
    this->byRoom.set(worker, record.rack, atLeastZero(record.room().accelerators));
    this->byUnpromised.set(worker, record.rack, atLeastZero(record.unpromised()));
    this->byReclaimable.set(
        worker, record.rack, atLeastZero(record.capacity.accelerators - record.fixed - record.held.accelerators));
}

} // namespace rattan::decide::detail
