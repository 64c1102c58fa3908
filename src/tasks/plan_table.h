#pragma once

// What planners have recorded of the jobs that are not over: where a planner that takes
// over begins. Read once, at the beginning of a term; nobody else needs it.
//
// Records may come again and out of order, as with a JobTable. Not thread-safe.

#include "tasks/records.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace rattan::tasks {

class PlanTable {
public:
    // An empty value drops the record.
    void apply(std::string_view key, std::string_view value, std::int64_t offset);
    void clear();

    // Null if nothing is recorded of the job.
    const Progress* find(std::string_view job) const;

    const std::map<std::string, Progress, std::less<>>& all() const { return this->plans; }

    // The newest record of what planners have learned; may be empty.
    const std::string& estimates() const { return this->estimatesRecord; }

    // Records that could not be read, since the start.
    std::int64_t unreadable() const { return this->unreadableRecords; }

private:
    std::map<std::string, Progress, std::less<>> plans; // By job.
    std::map<std::string, std::int64_t, std::less<>> offsets; // By key.
    std::string estimatesRecord;
    std::int64_t unreadableRecords { 0 };
};

} // namespace rattan::tasks
