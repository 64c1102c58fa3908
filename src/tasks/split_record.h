#pragma once

// Keeps a value that is larger than a record of the log may be, in several records.
//
//     SplitRecord record;                               // one per key, kept between writes
//     record.write(batch.plans, key, value, maxBytes);  // appends the records in the order given
//
// A value that fits is one record under its key. Otherwise its parts come first, each under a key
// of its own, and then a record under the value's key that names their generation and number. The
// parts of two successive generations have different keys, so until the last record of a new
// generation is in the log, the earlier value is complete. The log keeps the order of the records
// of one writer, and a writer begins a generation only when the one before is durable.
//
// The parts stay in the log until the owner of the key deletes them (`partKeys`). A value is
// written whole each time. Versions without this file count both kinds of records as unreadable.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rattan::tasks {

// The smallest limit of a record's size that is supported, in bytes; smaller ones count as this one.
inline constexpr std::size_t minRecordBytes = 1024;

struct SplitHeader {
    std::int64_t generation { 0 };
    std::int64_t parts { 0 };
};

// None if the value is not split.
std::optional<SplitHeader> decodeSplitHeader(std::string_view value);

std::string prefixOfParts(std::string_view key); // Of the keys of all its parts.
std::string partKeyOf(std::string_view key, std::int64_t generation, std::int64_t part);
std::optional<std::string> keyOfPart(std::string_view partKey); // None if it is not the key of a part.

// The text of a part; none if it belongs to another generation.
std::optional<std::string_view> textOfPart(std::string_view value, std::int64_t generation);

class SplitRecord {
public:
    std::int64_t generation { 0 }; // Of the last write; a writer that takes over continues from the one in the log.
    std::set<std::string> partKeys; // Of all parts that may be in the log.

    // `maxBytes` is the limit for a key and its value together.
    void write(std::vector<std::pair<std::string, std::string>>& records, const std::string& key, std::string value, std::size_t maxBytes);
};

} // namespace rattan::tasks
