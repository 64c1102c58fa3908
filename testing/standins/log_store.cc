#include "standins/log_store.h"

#include <algorithm>

namespace rattan::testing {

bool LogStore::admit(Millis now)
{
    constexpr double millisPerSecond = 1000;
    const auto rate = static_cast<double>(this->limits.appendsPerSecond);
    if (!this->started) {
        this->started = true;
        this->tokens = rate;
    } else {
        this->tokens = std::min(rate, this->tokens + rate * static_cast<double>(now - this->refilledAt) / millisPerSecond);
    }
    this->refilledAt = now;
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

std::optional<std::uint64_t> LogStore::append(const std::string& name, const std::vector<Json>& values, Millis now, Millis wall)
{
    if (!this->streams.contains(name) && this->streams.size() >= this->limits.streams)
        return std::nullopt;
    StoredStream& stream = this->streams[name];
    const std::uint64_t first = stream.next();
    for (const Json& value : values) {
        StoredRecord record { now, wall, value.dump(-1, ' ', false, Json::error_handler_t::replace) };
        stream.bytes += record.value.size();
        stream.records.push_back(std::move(record));
    }
    this->applyRetention(stream, now);
    return first;
}

Json LogStore::page(const std::string& name, std::uint64_t from, std::size_t limit, Millis now)
{
    StoredStream& stream = this->streams[name];
    this->applyRetention(stream, now);
    Json records = Json::array();
    for (std::uint64_t offset = std::max(from, stream.firstKept); offset < stream.next() && records.size() < limit; ++offset) {
        const StoredRecord& record = stream.records[offset - stream.firstKept];
        records.push_back({ { "offset", offset }, { "at_ms", record.wall }, { "value", Json::parse(record.value) } });
    }
    return { { "first_kept", stream.firstKept }, { "next", stream.next() }, { "records", std::move(records) } };
}

std::uint64_t LogStore::next(const std::string& name) const
{
    const auto found = this->streams.find(name);
    return found == this->streams.end() ? 0 : found->second.next();
}

void LogStore::trim(const std::string& name, std::uint64_t before)
{
    StoredStream& stream = this->streams[name];
    while (!stream.records.empty() && stream.firstKept < before)
        this->dropOldest(stream);
}

Json LogStore::summary() const
{
    Json all = Json::object();
    for (const auto& [name, stream] : this->streams)
        all[name] = { { "first_kept", stream.firstKept }, { "next", stream.next() } };
    return all;
}

void LogStore::dropOldest(StoredStream& stream)
{
    stream.bytes -= stream.records.front().value.size();
    stream.records.pop_front();
    ++stream.firstKept;
}

void LogStore::applyRetention(StoredStream& stream, Millis now)
{
    while (!stream.records.empty()) {
        const bool old = this->limits.retention > 0 && stream.records.front().at + this->limits.retention <= now;
        const bool large = stream.records.size() > this->limits.recordsPerStream || stream.bytes > this->limits.bytesPerStream;
        if (!old && !large)
            return;
        this->dropOldest(stream);
    }
}

} // namespace rattan::testing
