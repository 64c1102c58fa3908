#pragma once

// The table of all keys of a configuration. The parser takes ranges and messages
// from it, and a test compares docs/CONFIG.md with it.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattan::config {

enum class Section {
    TopLevel,
    Operators, // One item of the list `operators`; the sections below are items of lists, too.
    Workers,
    Services,
    Operations,
    JobClasses,
    Workspaces,
    Guarantees,
};

// The section's path without list indices, for example "workspaces.guarantees".
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
    Items, // A list of maps; the range limits its length.
};

struct Key {
    Section section;
    std::string_view name;
    ValueKind kind;
    bool required;
    std::int64_t min; // Both bounds are inclusive; in milliseconds for durations, in MiB for memory.
    std::int64_t max;
};

const std::vector<Key>& allKeys();

// Returns the key of that name. Throws std::logic_error if there is none.
const Key& keyOf(Section, std::string_view name);

// Describes the valid values of the key in messages to operators.
std::string describeAccepted(const Key&);

// The names of the section's keys, as "a, b, c".
std::string joinKeyNames(Section);

inline constexpr std::size_t maxNameBytes = 63;

} // namespace rattan::config
