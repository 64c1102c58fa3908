#pragma once

// The recorded progress of unfinished jobs, from which a planner that takes over continues.
// Only that planner reads it, once, at the beginning of its term.
//
// Records may be repeated and out of order, as with a JobTable. Not thread-safe.

#include "tasks/records.h"
#include "tasks/split_record.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace rattan::tasks {

class PlanTable {
public:
    // An empty value removes the record.
    void apply(std::string_view key, std::string_view value, std::int64_t offset);
    void clear();

    // Returns null if no progress of the job is recorded.
    const Progress* find(std::string_view job) const;

    const std::map<std::string, Progress, std::less<>>& all() const { return this->plans; }

    // The newest record of the planners' estimates; may be empty.
    const std::string& estimates() const { return this->estimatesRecord; }

    // The generation and the keys of the parts of a value that is or was split; empty for others.
    SplitRecord splitRecord(std::string_view key) const;

    // The keys of all parts that the log holds.
    std::set<std::string> partKeys() const;

    // The number of records that could not be parsed, since the start or the last clear(), and of
    // split values of which parts are missing.
    std::int64_t unreadable() const { return this->unreadableRecords + static_cast<std::int64_t>(this->incompleteKeys.size()); }

private:
    void applyValue(const std::string& key, std::string_view value);
    void assemble(const std::string& key);

    std::map<std::string, Progress, std::less<>> plans; // By job id.
    std::map<std::string, std::int64_t, std::less<>> offsets; // By key.
    std::map<std::string, std::string, std::less<>> parts; // By key of the part.
    std::map<std::string, SplitHeader, std::less<>> headers; // Of values that are split now, by their key.
    std::set<std::string> incompleteKeys;
    std::string estimatesRecord;
    std::int64_t unreadableRecords { 0 };
};

} // namespace rattan::tasks
