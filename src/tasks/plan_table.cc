#include "tasks/plan_table.h"

namespace rattan::tasks {

void PlanTable::apply(std::string_view key, std::string_view value, std::int64_t offset)
{
    const std::optional<std::string> splitKey = keyOfPart(key);
    const Attempt<RecordKey> parsed = attempt([&] { return parseKey(splitKey ? std::string_view(*splitKey) : key); });
    if (!parsed.value || (parsed.value->kind != RecordKind::Progress && parsed.value->kind != RecordKind::Estimates)) {
        ++this->unreadableRecords;
        return;
    }
    const auto [lastOffset, isNew] = this->offsets.try_emplace(std::string(key), offset);
    if (!isNew && offset <= lastOffset->second)
        return;
    lastOffset->second = offset;
    if (splitKey) {
        if (value.empty())
            this->parts.erase(std::string(key));
        else
            this->parts[std::string(key)] = value;
        return this->assemble(*splitKey);
    }
    this->headers.erase(std::string(key));
    this->incompleteKeys.erase(std::string(key));
    if (const std::optional<SplitHeader> header = decodeSplitHeader(value)) {
        this->headers[std::string(key)] = *header;
        return this->assemble(std::string(key));
    }
    this->applyValue(std::string(key), value);
}

// The parts may be read before or after the header. Parts of a generation that is not complete yet
// are ignored.
void PlanTable::assemble(const std::string& key)
{
    const auto header = this->headers.find(key);
    if (header == this->headers.end())
        return;
    std::string value;
    for (std::int64_t i = 0; i < header->second.parts; ++i) {
        const auto part = this->parts.find(partKeyOf(key, header->second.generation, i));
        const auto text = part == this->parts.end() ? std::nullopt : textOfPart(part->second, header->second.generation);
        if (!text) {
            this->incompleteKeys.insert(key);
            return;
        }
        value += *text;
    }
    this->incompleteKeys.erase(key);
    this->applyValue(key, value);
}

void PlanTable::applyValue(const std::string& key, std::string_view value)
{
    const Attempt<RecordKey> parsed = attempt([&] { return parseKey(key); });
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

SplitRecord PlanTable::splitRecord(std::string_view key) const
{
    SplitRecord record;
    if (const auto header = this->headers.find(key); header != this->headers.end())
        record.generation = header->second.generation;
    const std::string prefix = prefixOfParts(key);
    for (auto next = this->parts.lower_bound(prefix); next != this->parts.end() && next->first.starts_with(prefix); ++next)
        record.partKeys.insert(next->first);
    return record;
}

std::set<std::string> PlanTable::partKeys() const
{
    std::set<std::string> keys;
    for (const auto& [key, value] : this->parts)
        keys.insert(key);
    return keys;
}

} // namespace rattan::tasks
