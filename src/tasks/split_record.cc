#include "tasks/split_record.h"

#include "base/json.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace rattan::tasks {

namespace {

    constexpr std::string_view headerPrefix = "{\"split\":";
    constexpr std::string_view partPrefix = "part/";

    constexpr std::int64_t generationsKept = 2; // The newest complete one, and the one that is being written.

    constexpr std::size_t reservedBytes = 256; // Of each part, for its key and generation.

} // namespace

std::optional<SplitHeader> decodeSplitHeader(std::string_view value)
{
    if (!value.starts_with(headerPrefix))
        return std::nullopt;
    const Json json = Json::parse(value, nullptr, false);
    const auto row = json.is_object() ? json.find("split") : json.end();
    if (row == json.end() || !row->is_array() || row->size() != 2 || !row->at(0).is_number_integer() || !row->at(1).is_number_integer())
        return std::nullopt;
    return SplitHeader { row->at(0).get<std::int64_t>(), row->at(1).get<std::int64_t>() };
}

std::string prefixOfParts(std::string_view key) { return fmt::format("{}{}/", partPrefix, key); }

std::string partKeyOf(std::string_view key, std::int64_t generation, std::int64_t part)
{
    return fmt::format("{}{}/{}", prefixOfParts(key), generation % generationsKept, part);
}

std::optional<std::string> keyOfPart(std::string_view partKey)
{
    const std::size_t part = partKey.rfind('/');
    const std::size_t set = part == std::string_view::npos || part == 0 ? std::string_view::npos : partKey.rfind('/', part - 1);
    if (!partKey.starts_with(partPrefix) || set == std::string_view::npos || set < partPrefix.size())
        return std::nullopt;
    return std::string(partKey.substr(partPrefix.size(), set - partPrefix.size()));
}

std::optional<std::string_view> textOfPart(std::string_view value, std::int64_t generation)
{
    std::int64_t written = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), written);
    if (error != std::errc() || end == value.data() + value.size() || *end != ' ' || written != generation)
        return std::nullopt;
    return value.substr(static_cast<std::size_t>(end - value.data()) + 1);
}

void SplitRecord::write(std::vector<std::pair<std::string, std::string>>& records, const std::string& key, std::string value, std::size_t maxBytes)
{
    const std::size_t limit = std::max(maxBytes, minRecordBytes);
    if (key.size() + value.size() < limit) {
        records.emplace_back(key, std::move(value));
        return;
    }
    ++this->generation;
    const std::size_t partBytes = limit - reservedBytes;
    SplitHeader header { .generation = this->generation, .parts = 0 };
    for (std::size_t begin = 0; begin < value.size(); begin += partBytes) {
        const std::string partKey = partKeyOf(key, header.generation, header.parts++);
        this->partKeys.insert(partKey);
        records.emplace_back(partKey, fmt::format("{} {}", header.generation, std::string_view(value).substr(begin, partBytes)));
    }
    records.emplace_back(key, fmt::format("{}[{},{}]}}", headerPrefix, header.generation, header.parts));
}

} // namespace rattan::tasks
