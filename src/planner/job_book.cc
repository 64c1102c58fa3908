// A job is identified twice: by the place of its first submit, which never
// changes, and by its workspace and key, under which callers know it. A second
// submit with the same key is the same job, which makes a repeated append after
// a lost reply harmless. All rules here depend on the order of records only.
//
// What goes wrong without more: a reader that starts after the first submit was
// trimmed takes the second one for a new job, runs what has ended, or knows a
// running job by another id. It would show as a job done twice after a planner
// was replaced. So whoever sees a repeated submit writes the truth after it, a
// restate or the final, and a reader takes the lower id as the true one.

#include "planner/job_book.h"

namespace rattan::planner {

using records::JobRecord;
using records::JobRecordKind;

JobBook::JobBook(JobBookLimits limits)
    : limits(limits)
{
}

std::vector<JobChange> JobBook::apply(std::uint64_t offset, Millis atWall, const JobRecord& record)
{
    switch (record.kind) {
    case JobRecordKind::Submit:
    case JobRecordKind::Restate:
        return this->add(offset, atWall, record);
    case JobRecordKind::Final:
        return this->end(atWall, record);
    case JobRecordKind::Cancel: {
        const auto known = this->byKey.find({ record.workspace, record.key });
        if (known == this->byKey.end())
            return {};
        Job& job = this->jobs.at(known->second);
        if (job.ended || job.cancelAsked)
            return {};
        job.cancelAsked = true;
        return { { JobChangeKind::CancelAsked, job.id } };
    }
    case JobRecordKind::Starting: {
        const auto found = this->jobs.find(record.id);
        if (found == this->jobs.end() || found->second.ended || record.attempt <= found->second.startingAttempt)
            return {};
        found->second.startingAttempt = record.attempt;
        found->second.startingClaimant = record.claimant;
        found->second.failures = std::max(found->second.failures, record.failures);
        return { { JobChangeKind::StartingRecorded, record.id } };
    }
    }
    return {};
}

std::vector<JobChange> JobBook::add(std::uint64_t offset, Millis atWall, const JobRecord& record)
{
    const std::uint64_t id = record.kind == JobRecordKind::Submit ? records::jobIdAt(offset) : record.id;
    const auto known = this->byKey.find({ record.workspace, record.key });
    if (known != this->byKey.end())
        return this->addKnown(offset, atWall, record, this->jobs.at(known->second));
    Job job;
    job.id = id;
    job.workspace = record.workspace;
    job.key = record.key;
    job.spec = record.spec;
    job.submittedWall = record.submitWallTime;
    job.lastRecord = offset;
    job.lastRecordWall = atWall;
    job.startingAttempt = record.attempt;
    job.failures = record.failures;
    const bool crowded = this->openJobs >= this->limits.open;
    this->byKey[{ job.workspace, job.key }] = id;
    this->jobs[id] = std::move(job);
    ++this->openJobs;
    return { { crowded ? JobChangeKind::Crowded : JobChangeKind::Added, id } };
}

std::vector<JobChange> JobBook::addKnown(std::uint64_t offset, Millis atWall, const JobRecord& record, Job& job)
{
    // A planner that has not yet seen the end may restate after it. Once the end
    // is trimmed, a fresh reader would find only the restate and run the job
    // again, so the end has to be written after it once more.
    if (job.ended)
        return { { JobChangeKind::EndedAgain, job.id } };
    if (record.kind == JobRecordKind::Submit)
        return { { JobChangeKind::Repeated, job.id } };
    job.lastRecord = offset;
    job.lastRecordWall = atWall;
    job.startingAttempt = std::max(job.startingAttempt, record.attempt);
    job.failures = std::max(job.failures, record.failures);
    return record.id < job.id ? this->rename(job, record.id) : std::vector<JobChange> {};
}

std::vector<JobChange> JobBook::rename(Job& job, std::uint64_t id)
{
    const std::uint64_t former = job.id;
    auto node = this->jobs.extract(former);
    node.key() = id;
    node.mapped().id = id;
    this->byKey[{ node.mapped().workspace, node.mapped().key }] = id;
    this->jobs.insert(std::move(node));
    return { { JobChangeKind::Renamed, id, former } };
}

std::vector<JobChange> JobBook::end(Millis atWall, const JobRecord& record)
{
    auto found = this->jobs.find(record.id);
    if (found == this->jobs.end()) {
        const auto known = this->byKey.find({ record.workspace, record.key });
        found = known == this->byKey.end() ? this->addTrimmed(record) : this->jobs.find(known->second);
    }
    Job& job = found->second;
    if (job.ended)
        return {};
    job.ended = true;
    job.outcome = record.outcome;
    job.reason = record.reason;
    job.result = record.result;
    job.endedWall = atWall;
    job.spec.payload = Json();
    --this->openJobs;
    const std::uint64_t endedId = job.id;
    this->endedOrder.push_back(endedId);
    this->forgetOldest();
    return { { JobChangeKind::Ended, endedId } };
}

std::map<std::uint64_t, Job>::iterator JobBook::addTrimmed(const JobRecord& record)
{
    const auto added = this->jobs.emplace(record.id, Job {}).first;
    added->second.id = record.id;
    added->second.workspace = record.workspace;
    added->second.key = record.key;
    this->byKey[{ record.workspace, record.key }] = record.id;
    ++this->openJobs;
    return added;
}

void JobBook::forgetOldest()
{
    while (this->endedOrder.size() > this->limits.ended) {
        const auto oldest = this->jobs.find(this->endedOrder.front());
        this->endedOrder.pop_front();
        this->byKey.erase({ oldest->second.workspace, oldest->second.key });
        this->jobs.erase(oldest);
    }
}

const Job* JobBook::find(std::uint64_t id) const
{
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : &found->second;
}

const Job* JobBook::find(const std::string& workspace, const std::string& key) const
{
    const auto found = this->byKey.find({ workspace, key });
    return found == this->byKey.end() ? nullptr : this->find(found->second);
}

std::vector<std::uint64_t> JobBook::open() const
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, job] : this->jobs) {
        if (!job.ended)
            ids.push_back(id);
    }
    return ids;
}

std::vector<std::uint64_t> JobBook::recordedBefore(Millis wall, std::size_t most) const
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, job] : this->jobs) {
        if (ids.size() >= most)
            break;
        if (!job.ended && job.lastRecordWall < wall)
            ids.push_back(id);
    }
    return ids;
}

std::vector<const Job*> JobBook::newest(const std::string& workspace, std::size_t most) const
{
    std::vector<const Job*> found;
    for (auto entry = this->jobs.rbegin(); entry != this->jobs.rend() && found.size() < most; ++entry) {
        if (entry->second.workspace == workspace)
            found.push_back(&entry->second);
    }
    return found;
}

std::vector<JobRecord> JobBook::snapshot() const
{
    std::vector<JobRecord> snapshot;
    snapshot.reserve(this->jobs.size());
    for (const auto& [id, job] : this->jobs) {
        JobRecord record;
        record.id = id;
        record.workspace = job.workspace;
        record.key = job.key;
        record.kind = job.ended ? JobRecordKind::Final : JobRecordKind::Restate;
        record.submitWallTime = job.submittedWall;
        record.spec = job.spec;
        record.attempt = job.startingAttempt;
        record.failures = job.failures;
        record.outcome = job.outcome;
        record.reason = job.reason;
        record.result = job.result;
        snapshot.push_back(std::move(record));
        if (!job.ended && job.cancelAsked)
            snapshot.push_back({ .kind = JobRecordKind::Cancel, .workspace = job.workspace, .key = job.key });
    }
    return snapshot;
}

} // namespace rattan::planner
