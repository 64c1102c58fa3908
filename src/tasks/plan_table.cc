#include "tasks/plan_table.h"

namespace rattan::tasks {

void PlanTable::apply(std::string_view key, std::string_view value, std::int64_t offset)
{
    const Attempt<RecordKey> parsed = attempt([&] { return parseKey(key); });
    if (!parsed.value || (parsed.value->kind != RecordKind::Progress && parsed.value->kind != RecordKind::Estimates)) {
        ++this->unreadableRecords;
        return;
    }
    const auto [lastOffset, isNew] = this->offsets.try_emplace(std::string(key), offset);
    if (!isNew && offset <= lastOffset->second)
        return;
    lastOffset->second = offset;
    if (parsed.value->kind == RecordKind::Estimates) {
        this->estimatesRecord = value;
        return;
    }
    if (value.empty()) {
        this->plans.erase(parsed.value->job);
        return;
    }
    Attempt<Progress> progress = attempt([&] { return decodeProgress(value); });
    if (progress.value)
        this->plans[parsed.value->job] = std::move(*progress.value);
    else
        ++this->unreadableRecords;
}

void PlanTable::clear() { *this = PlanTable(); }

const Progress* PlanTable::find(std::string_view job) const
{
    const auto found = this->plans.find(job);
    return found == this->plans.end() ? nullptr : &found->second;
}

} // namespace rattan::tasks
