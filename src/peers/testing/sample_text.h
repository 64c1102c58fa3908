#pragma once

// The smallest text that passes the checks.

#include <fmt/format.h>
#include <string>

namespace rattan::peers::testing {

inline std::string yamlNamed(const std::string& name)
{
    return fmt::format("format: 1\nname: {}\noperators: [{{name: ops, token_sha256: {}}}]\n"
                       "workers: [{{domain: north, racks: 1, workers_per_rack: 1, accelerators: 8, cores: 8, memory: 8GiB}}]\n"
                       "workspaces: [{{name: desk, token_sha256: {}}}]\n",
        name, std::string(64, 'a'), std::string(64, 'b'));
}

} // namespace rattan::peers::testing
