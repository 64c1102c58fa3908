#pragma once

// All jobs in the log, with their newest records. Each instance answers callers from this
// table, and a planner places its jobs. It has only durable state, so an answer from it is
// never invalidated later.
//
// Records may be repeated and out of order, since a reload is not a consistent snapshot. For
// each key, the record with the highest offset counts. Not thread-safe.

#include "tasks/records.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace rattan::tasks {

// About what a job takes in memory, in the process that plans, with a record of this size.
std::size_t heldBytesOf(const Job&, std::size_t recordBytes, bool hasEnded);

struct JobEntry {
    std::shared_ptr<const Job> job; // Null if only other records of the job were read so far. It may be submitted later, or never.
    bool cancelled { false };
    JobState state { JobState::Queued }; // As last recorded by the planner.
    std::int64_t jobOffset { -1 };
    std::int64_t cancelOffset { -1 };
    std::int64_t stateOffset { -1 };
    std::size_t recordBytes { 0 }; // Of the record of the job.
    Millis finalSince { 0 }; // The local time at which a final state was first read, or 0.

    // The state that is reported to callers.
    JobState visibleState() const;

    // Whether the job was cancelled and no submission of it was read.
    bool isCancelOnly() const { return !this->job && this->cancelled; }

    std::size_t heldBytes() const { return this->job ? heldBytesOf(*this->job, this->recordBytes, isFinal(this->visibleState())) : 0; }
};

// A bound for the leases of a worker, by the clock of this process: its record was written before it
// was read.
struct KnownLeaseLimit {
    std::int64_t term { 0 }; // Of the planner that wrote it.
    Millis endsBy { 0 };
    std::int64_t offset { -1 };
};

class JobTable {
public:
    struct Change {
        RecordKind kind;
        std::string job;
    };

    // Applies a record and returns the change to the table, if any: none for a record that
    // is unreadable, repeated or older than a known one. An empty value is no change either;
    // that of a job record removes the job from the table.
    std::optional<Change> apply(std::string_view key, std::string_view value, std::int64_t offset, Millis now);

    // All records are about to be read again. A bound whose record was dropped since the last one was
    // read would otherwise remain.
    void beginLoad() { this->limits.clear(); }

    const std::map<std::string, KnownLeaseLimit, std::less<>>& leaseLimits() const { return this->limits; }

    // Returns null if there is no such job.
    const JobEntry* find(std::string_view id) const;

    // Whether the job was cancelled, also if no submission of it was read: then it never runs.
    bool isCancelled(std::string_view id) const;

    // The number of jobs that were cancelled and of which no submission was read.
    std::size_t cancelOnlyCount() const { return this->cancelOnlyEntries; }

    // About what all jobs take in memory, in the process that plans.
    std::size_t heldBytes() const { return this->allHeldBytes; }

    // The number of accepted jobs of a queue of which no task has started.
    std::int64_t pending(std::string_view queue) const;

    const std::map<std::string, JobEntry, std::less<>>& all() const { return this->entries; }

    // The number of records that could not be parsed, since the start of the process.
    std::int64_t unreadable() const { return this->unreadableRecords; }

private:
    std::optional<Change> applyTo(JobEntry&, const RecordKey&, std::string_view value, std::int64_t offset, Millis now);
    void applyLeaseLimit(const std::string& worker, std::string_view value, std::int64_t offset, Millis now);

    std::map<std::string, JobEntry, std::less<>> entries;
    std::size_t cancelOnlyEntries { 0 };
    std::size_t allHeldBytes { 0 };
    std::map<std::string, KnownLeaseLimit, std::less<>> limits; // By worker id.
    std::int64_t unreadableRecords { 0 };
};

} // namespace rattan::tasks
