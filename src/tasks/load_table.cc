#include "tasks/load_table.h"

namespace rattan::tasks {

bool LoadTable::apply(std::string_view key, std::string_view value, std::int64_t offset, Millis now)
{
    const auto queue = queueOfLoadKey(key);
    if (!queue)
        return false;
    Entry& entry = this->entries[*queue];
    if (offset > entry.offset)
        entry = { offset, decodeLoad(value), now };
    return true;
}

const QueueLoad* LoadTable::find(const QueueTerms& terms, Millis now, Millis wall) const
{
    constexpr Millis maxAge = 5000;
    const auto found = this->entries.find(terms.queue);
    if (found == this->entries.end() || !found->second.load)
        return nullptr;
    const std::string& service = found->second.load->service;
    if (!service.empty() && service != terms.service)
        return nullptr;
    // An instance that has just started reads old records, so the wall-clock time counts too.
    const bool isFresh = now - found->second.readAt <= maxAge && wall - found->second.load->writtenAt <= maxAge;
    return isFresh ? &*found->second.load : nullptr;
}

} // namespace rattan::tasks
