#pragma once

// A YAML document as plain nodes that remember where they stand.
//
//     Faults faults;
//     if (const auto tree = readYaml(text, faults))
//         const YamlNode& root = tree->node(tree->root);
//
// The tree is built from yaml-cpp's parse events and not from YAML::Node,
// because events can be refused one by one: a document that nests or grows too
// far is given up before it costs memory or stack.

#include "config/fault.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace rattan::config {

using NodeId = std::size_t;

struct YamlEntry {
    std::string key;
    Position at;
    NodeId value { 0 };
};

struct YamlNode {
    enum class Kind {
        Empty,
        Scalar,
        List,
        Map,
    };

    Kind kind { Kind::Empty };
    Position at;
    std::string scalar;
    std::vector<NodeId> items;
    std::vector<YamlEntry> entries; // In the order of the text; keys may repeat.
};

struct YamlTree {
    std::vector<YamlNode> nodes;
    NodeId root { 0 };

    const YamlNode& node(NodeId id) const { return this->nodes[id]; }
};

inline constexpr std::size_t maxDepth = 16;
inline constexpr std::size_t maxNodes = 100000;

// Empty, with one fault more, when the text is not one bounded YAML document.
std::optional<YamlTree> readYaml(const std::string& text, Faults&);

} // namespace rattan::config
