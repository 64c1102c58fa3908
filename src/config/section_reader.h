#pragma once

// Reads one map of the operators' YAML into fields and records every fault.
//
//     SectionReader reader(state, Section::Workspaces, node, "workspaces[0]");
//     reader.name("name", workspace.name);
//     reader.number("most_queued_jobs", workspace.maxQueuedJobs);
//     reader.finish();
//
// Ranges and messages come from the table in config/keys.h. If a key is missing or
// its value is invalid, the target keeps its previous value.

#include "config/configuration.h"
#include "config/keys.h"
#include "config/yaml_tree.h"

#include <map>
#include <string>
#include <vector>

namespace rattan::config {

// The input and the collected results of one parse.
struct ParseState {
    const YamlTree& tree;
    Faults faults;
    std::map<std::string, Position> positions; // By key path, for faults found after reading.
};

class SectionReader {
public:
    SectionReader(ParseState&, Section, NodeId, std::string path);

    void name(std::string_view key, std::string& target);
    void names(std::string_view key, std::vector<std::string>& target);
    void digest(std::string_view key, std::string& target);
    void number(std::string_view key, std::int64_t& target);
    void duration(std::string_view key, Millis& target);
    void memory(std::string_view key, std::int64_t& target);
    void flag(std::string_view key, bool& target);
    void urgency(std::string_view key, Urgency& target);
    void adjacency(std::string_view key, Adjacency& target);

    // Calls read(reader, item) for each item of a list of maps.
    template <typename Item, typename Read>
    void items(std::string_view key, Section section, std::vector<Item>& target, Read read)
    {
        const std::vector<NodeId> ids = this->list(key);
        for (std::size_t i = 0; i < ids.size(); ++i) {
            SectionReader reader(this->state, section, ids[i], this->pathOf(key) + "[" + std::to_string(i) + "]");
            read(reader, target.emplace_back());
            reader.finish();
        }
    }

    // Records faults for unknown and duplicate keys.
    void finish();

private:
    const YamlNode* find(std::string_view key);
    const YamlNode* scalar(std::string_view key);
    std::vector<NodeId> list(std::string_view key);
    std::string pathOf(std::string_view key) const;
    void addInvalidValue(std::string_view key, Position, const std::string& value);
    bool readName(std::string_view key, const YamlNode&, std::string& target);
    void readAmount(std::string_view key, const YamlNode&, std::optional<std::int64_t> amount, std::int64_t& target);

    ParseState& state;
    Section section;
    const YamlNode& node;
    std::string path;
};

} // namespace rattan::config
