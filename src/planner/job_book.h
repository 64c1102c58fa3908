#pragma once

// The jobs of one failure domain, as the log's order tells them.
//
//     JobBook book;
//     for (const LogRecord& record : page.records)
//         for (const JobChange& change : book.apply(record.offset, parsed, now)) ...
//
// Every planner that reads the same records holds the same book, whichever
// record it started from, as long as jobs are restated before they are trimmed
// and the changes EndedAgain and Repeated are answered by a record. What is running where is not here: leases tell that.
//
// Bounds: at most Limits::open jobs that have not ended (further submits are
// refused by a change that says so) and Limits::ended outcomes (oldest first
// out). Not thread-safe; the decision loop owns it.

#include "records/job_record.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rattan::planner {

struct Job {
    std::uint64_t id { 0 };
    std::string workspace;
    std::string key;
    records::JobSpec spec;
    Millis submittedWall { 0 };
    std::uint64_t lastRecord { 0 }; // Offset of the submit or newest restate.
    Millis lastRecordWall { 0 };
    bool cancelAsked { false };
    std::int64_t startingAttempt { 0 }; // Highest attempt announced by a starting record.
    std::string startingClaimant; // Who announced it first.
    std::int64_t failures { 0 }; // Failed attempts before it.
    bool ended { false };
    records::JobOutcome outcome { records::JobOutcome::Done };
    std::string reason;
    std::string result;
    Millis endedWall { 0 };
};

enum class JobChangeKind {
    Added,
    CancelAsked,
    StartingRecorded,
    Ended,
    Crowded, // A submit found the book full and has to be refused.
    EndedAgain, // A submit or restate of a job that has ended: the end has to be written again.
    Repeated, // A second submit of an open job: the job has to be restated.
    Renamed, // A restate told the true, lower id of a job that was read from its second submit.
};

struct JobChange {
    JobChangeKind kind { JobChangeKind::Added };
    std::uint64_t id { 0 };
    std::uint64_t formerId { 0 }; // Renamed.
};

struct JobBookLimits {
    std::size_t open { 30000 };
    std::size_t ended { 20000 };
};

class JobBook {
public:
    explicit JobBook(JobBookLimits = {});

    // Takes the record at this offset; `atWall` is the log's own time of it.
    std::vector<JobChange> apply(std::uint64_t offset, Millis atWall, const records::JobRecord&);

    const Job* find(std::uint64_t id) const;
    const Job* find(const std::string& workspace, const std::string& key) const;

    // Ids of the jobs that have not ended, oldest first.
    std::vector<std::uint64_t> open() const;

    // Open jobs whose newest record is older than this and so nears trimming.
    std::vector<std::uint64_t> recordedBefore(Millis wall, std::size_t most) const;

    // The newest jobs of a workspace, ended ones too.
    std::vector<const Job*> newest(const std::string& workspace, std::size_t most) const;

    // The book as records, for a replacement that cannot read the log.
    std::vector<records::JobRecord> snapshot() const;

    std::size_t openCount() const { return this->openJobs; }

private:
    std::vector<JobChange> add(std::uint64_t offset, Millis atWall, const records::JobRecord&);
    std::vector<JobChange> addKnown(std::uint64_t offset, Millis atWall, const records::JobRecord&, Job&);
    std::vector<JobChange> rename(Job&, std::uint64_t id);
    std::vector<JobChange> end(Millis atWall, const records::JobRecord&);
    // An outcome whose submit was trimmed is still worth telling.
    std::map<std::uint64_t, Job>::iterator addTrimmed(const records::JobRecord&);
    void forgetOldest();

    JobBookLimits limits;
    std::map<std::uint64_t, Job> jobs;
    std::map<std::pair<std::string, std::string>, std::uint64_t> byKey;
    std::deque<std::uint64_t> endedOrder;
    std::size_t openJobs { 0 };
};

} // namespace rattan::planner
