#pragma once

// The recorded progress of unfinished jobs, from which a planner that takes over continues.
// Only that planner reads it, once, at the beginning of its term.
//
// Records may be repeated and out of order, as with a JobTable. Not thread-safe.

#include "tasks/records.h"

#include <cstdint>
#include <map>
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

    // The number of records that could not be parsed, since the start or the last clear().
    std::int64_t unreadable() const { return this->unreadableRecords; }

private:
    std::map<std::string, Progress, std::less<>> plans; // By job id.
    std::map<std::string, std::int64_t, std::less<>> offsets; // By key.
    std::string estimatesRecord;
    std::int64_t unreadableRecords { 0 };
};

} // namespace rattan::tasks
