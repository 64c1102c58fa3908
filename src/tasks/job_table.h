#pragma once

// Every job that the log knows of, as last written there: what callers are
// answered from on each instance, and what a planner places. It holds only
// what is durable, so an answer given from it is never taken back.
//
// Records may come again and out of order (a reload is no snapshot): the one
// with the higher offset stays. Not thread-safe.

#include "tasks/records.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace rattan::tasks {

struct JobEntry {
    std::shared_ptr<const Job> job; // Null while only another of its records is known.
    bool cancelled { false };
    JobState state { JobState::Queued }; // As the planner last recorded it.
    std::int64_t jobOffset { -1 };
    std::int64_t cancelOffset { -1 };
    std::int64_t stateOffset { -1 };
    Millis finalSince { 0 }; // Local time at which a final state was first seen; 0: not final.

    // What a caller is shown.
    JobState visibleState() const;
};

class JobTable {
public:
    struct Change {
        RecordKind kind;
        std::string job;
    };

    // Empty when the record is older than what is known. An empty value drops
    // the record.
    std::optional<Change> apply(std::string_view key, std::string_view value, std::int64_t offset, Millis now);

    // Null if there is no such job.
    const JobEntry* find(std::string_view id) const;

    // Accepted jobs of a queue of which no task has begun.
    std::int64_t pending(std::string_view queue) const;

    const std::map<std::string, JobEntry, std::less<>>& all() const { return this->entries; }

    // Records that could not be read, since the start.
    std::int64_t unreadable() const { return this->unreadableRecords; }

private:
    std::map<std::string, JobEntry, std::less<>> entries;
    std::int64_t unreadableRecords { 0 };
};

} // namespace rattan::tasks
