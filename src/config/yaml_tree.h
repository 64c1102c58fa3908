#pragma once

// A YAML document as a tree of plain nodes with their positions in the text.
//
//     Faults faults;
//     if (const auto tree = readYaml(text, faults))
//         const YamlNode& root = tree->node(tree->root);
//
// The tree is built from yaml-cpp's parse events instead of YAML::Node, because an
// event handler can reject single events: parsing of a document that is too deep
// or too large stops before it uses much memory or stack.

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
    std::vector<YamlEntry> entries; // In document order; may contain duplicate keys.
};

struct YamlTree {
    std::vector<YamlNode> nodes;
    NodeId root { 0 };

    const YamlNode& node(NodeId id) const { return this->nodes[id]; }
};

inline constexpr std::size_t maxDepth = 16;
inline constexpr std::size_t maxNodes = 100000;

// Returns the tree, or adds a fault and returns empty if the text is not exactly one YAML document within the limits.
std::optional<YamlTree> readYaml(const std::string& text, Faults&);

} // namespace rattan::config
