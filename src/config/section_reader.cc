#include "config/section_reader.h"

#include "config/units.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace rattan::config {

namespace {

    constexpr std::size_t maxShownBytes = 40;

    std::string abbreviated(const std::string& value)
    {
        return value.size() <= maxShownBytes ? value : value.substr(0, maxShownBytes) + "...";
    }

    bool isNameByte(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; }

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= maxNameBytes && std::all_of(text.begin(), text.end(), isNameByte)
            && text.front() != '-' && text.back() != '-';
    }

    bool isHexByte(char c) { return (c >= 'a' && c <= 'f') || (c >= '0' && c <= '9'); }

} // namespace

SectionReader::SectionReader(ParseState& state, Section section, NodeId id, std::string path)
    : state(state)
    , section(section)
    , node(state.tree.node(id))
    , path(std::move(path))
{
    this->state.positions[this->path] = this->node.at;
    if (this->node.kind != YamlNode::Kind::Map)
        this->state.faults.push_back({ this->node.at, this->path, "a map is expected here", "a map with the keys " + joinKeyNames(section) });
}

void SectionReader::name(std::string_view key, std::string& target)
{
    if (const YamlNode* value = this->scalar(key))
        this->readName(key, *value, target);
}

void SectionReader::names(std::string_view key, std::vector<std::string>& target)
{
    const std::vector<NodeId> ids = this->list(key);
    for (std::size_t i = 0; i < ids.size(); ++i) {
        const YamlNode& item = this->state.tree.node(ids[i]);
        this->state.positions[fmt::format("{}[{}]", this->pathOf(key), i)] = item.at;
        this->readName(key, item, target.emplace_back());
    }
}

void SectionReader::digest(std::string_view key, std::string& target)
{
    const YamlNode* value = this->scalar(key);
    if (!value)
        return;
    std::string lowered = value->scalar;
    for (char& c : lowered)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    constexpr std::size_t digits = 64;
    if (lowered.size() != digits || !std::all_of(lowered.begin(), lowered.end(), isHexByte)) {
        // The message omits the value, because it may be the token itself, entered by mistake.
        this->state.faults.push_back({ value->at, this->pathOf(key), "not a SHA-256", describeAccepted(keyOf(this->section, key)) });
        return;
    }
    target = std::move(lowered);
}

void SectionReader::number(std::string_view key, std::int64_t& target)
{
    if (const YamlNode* value = this->scalar(key))
        this->readAmount(key, *value, parseInteger(value->scalar), target);
}

void SectionReader::duration(std::string_view key, Millis& target)
{
    if (const YamlNode* value = this->scalar(key))
        this->readAmount(key, *value, parseDuration(value->scalar), target);
}

void SectionReader::memory(std::string_view key, std::int64_t& target)
{
    if (const YamlNode* value = this->scalar(key))
        this->readAmount(key, *value, parseMemoryMib(value->scalar), target);
}

void SectionReader::flag(std::string_view key, bool& target)
{
    const YamlNode* value = this->scalar(key);
    if (!value)
        return;
    if (value->scalar == "true" || value->scalar == "false")
        target = value->scalar == "true";
    else
        this->addInvalidValue(key, value->at, value->scalar);
}

void SectionReader::urgency(std::string_view key, Urgency& target)
{
    const YamlNode* value = this->scalar(key);
    if (!value)
        return;
    for (const Urgency choice : { Urgency::Urgent, Urgency::Ordinary, Urgency::Patient }) {
        if (nameOf(choice) == value->scalar) {
            target = choice;
            return;
        }
    }
    this->addInvalidValue(key, value->at, value->scalar);
}

void SectionReader::adjacency(std::string_view key, Adjacency& target)
{
    const YamlNode* value = this->scalar(key);
    if (!value)
        return;
    for (const Adjacency choice : { Adjacency::Worker, Adjacency::Rack, Adjacency::Domain }) {
        if (nameOf(choice) == value->scalar) {
            target = choice;
            return;
        }
    }
    this->addInvalidValue(key, value->at, value->scalar);
}

void SectionReader::finish()
{
    std::set<std::string_view> seen;
    for (const YamlEntry& entry : this->node.entries) {
        const bool known = std::any_of(allKeys().begin(), allKeys().end(), [&](const Key& key) { return key.section == this->section && key.name == entry.key; });
        if (!known)
            this->state.faults.push_back({ entry.at, this->pathOf(abbreviated(entry.key)), "unknown key", joinKeyNames(this->section) });
        else if (!seen.insert(entry.key).second)
            this->state.faults.push_back({ entry.at, this->pathOf(entry.key), "the key stands twice in this map", "each key once" });
    }
}

const YamlNode* SectionReader::find(std::string_view key)
{
    const Key& info = keyOf(this->section, key);
    for (const YamlEntry& entry : this->node.entries) {
        if (entry.key == key) {
            const YamlNode& value = this->state.tree.node(entry.value);
            this->state.positions[this->pathOf(key)] = value.at;
            return &value;
        }
    }
    if (info.required && this->node.kind == YamlNode::Kind::Map)
        this->state.faults.push_back({ this->node.at, this->pathOf(key), "the key is missing", describeAccepted(info) });
    return nullptr;
}

const YamlNode* SectionReader::scalar(std::string_view key)
{
    const YamlNode* value = this->find(key);
    if (!value || value->kind == YamlNode::Kind::Scalar)
        return value;
    this->state.faults.push_back({ value->at, this->pathOf(key),
        value->kind == YamlNode::Kind::Empty ? "the value is empty" : "one value is expected here", describeAccepted(keyOf(this->section, key)) });
    return nullptr;
}

std::vector<NodeId> SectionReader::list(std::string_view key)
{
    const YamlNode* value = this->find(key);
    if (!value)
        return {};
    const Key& info = keyOf(this->section, key);
    const auto count = static_cast<std::int64_t>(value->items.size());
    if (value->kind != YamlNode::Kind::List)
        this->state.faults.push_back({ value->at, this->pathOf(key), "a list is expected here", describeAccepted(info) });
    else if (count < info.min || count > info.max)
        this->state.faults.push_back({ value->at, this->pathOf(key), fmt::format("the list has {} items", count), describeAccepted(info) });
    else
        return value->items;
    return {};
}

std::string SectionReader::pathOf(std::string_view key) const
{
    return this->path.empty() ? std::string(key) : fmt::format("{}.{}", this->path, key);
}

void SectionReader::addInvalidValue(std::string_view key, Position at, const std::string& value)
{
    this->state.faults.push_back({ at, this->pathOf(key), fmt::format("'{}' is not taken", abbreviated(value)), describeAccepted(keyOf(this->section, key)) });
}

bool SectionReader::readName(std::string_view key, const YamlNode& value, std::string& target)
{
    if (!isName(value.scalar)) {
        this->state.faults.push_back({ value.at, this->pathOf(key), fmt::format("'{}' is not a name", abbreviated(value.scalar)),
            fmt::format("lower-case letters, digits and inner hyphens, at most {} bytes", maxNameBytes) });
        return false;
    }
    target = value.scalar;
    return true;
}

void SectionReader::readAmount(std::string_view key, const YamlNode& value, std::optional<std::int64_t> amount, std::int64_t& target)
{
    const Key& info = keyOf(this->section, key);
    if (!amount || *amount < info.min || *amount > info.max)
        this->addInvalidValue(key, value.at, value.scalar);
    else
        target = *amount;
}

} // namespace rattan::config
