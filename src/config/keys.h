#pragma once

// Every key that an operators' text may have, in one table: the parser takes
// ranges and wording from it, and docs/CONFIG.md is held against it by a test.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattan::config {

enum class Section {
    TopLevel, // The top level.
    Operators, // One item of the list of that name; likewise below.
    Workers,
    Services,
    Operations,
    JobClasses,
    Workspaces,
    Guarantees,
};

// The list's path without indices, for example "workspaces.guarantees".
std::string_view nameOf(Section);

enum class ValueKind {
    Name, // Lower-case letters, digits and hyphens.
    Names,
    Digest, // 64 hex digits.
    Number,
    Duration,
    Memory,
    Flag,
    Urgency,
    Adjacency,
    Items, // A list of maps; the range is that of its length.
};

struct Key {
    Section section;
    std::string_view name;
    ValueKind kind;
    bool required;
    std::int64_t min; // In milliseconds for durations, MiB for memory.
    std::int64_t max;
};

const std::vector<Key>& allKeys();

// The key of that name; it must exist.
const Key& keyOf(Section, std::string_view name);

// What values the key takes, as shown to operators.
std::string describeAccepted(const Key&);

// "a, b, c"
std::string joinKeyNames(Section);

inline constexpr std::size_t maxNameBytes = 63;

} // namespace rattan::config
