#pragma once

// Gives names the small dense ids that the decisions work with.
//
//     NameTable racks;
//     const std::uint32_t id = racks.idOf("r1");   // the same for the same name
//     racks.nameOf(id);
//
// Ids are never reused; a table grows with the distinct names seen, which are
// machines, racks, workspaces and classes. Not thread-safe.

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattan::planner {

class NameTable {
public:
    std::uint32_t idOf(const std::string& name)
    {
        const auto [entry, added] = this->ids.emplace(name, static_cast<std::uint32_t>(this->names.size()));
        if (added)
            this->names.push_back(name);
        return entry->second;
    }

    const std::string& nameOf(std::uint32_t id) const { return this->names.at(id); }
    bool contains(const std::string& name) const { return this->ids.contains(name); }

private:
    std::unordered_map<std::string, std::uint32_t> ids;
    std::vector<std::string> names;
};

} // namespace rattan::planner
