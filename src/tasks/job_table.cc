#include "tasks/job_table.h"

namespace rattan::tasks {

namespace {

    constexpr std::size_t jobBytes = 512; // Without what its record has.
    constexpr std::size_t stepBytes = 1536; // Of its state and of the unit that it has at least. See task_planner_units.cc.

} // namespace

std::size_t heldBytesOf(const Job& job, std::size_t recordBytes, bool hasEnded)
{
    std::size_t bytes = jobBytes + recordBytes;
    for (const Step& step : job.steps)
        bytes += step.dependsOn.size() * sizeof(step.dependsOn.front()) + (hasEnded ? 0 : stepBytes);
    return bytes;
}

JobState JobEntry::visibleState() const
{
    if (isFinal(this->state))
        return this->state;
    return this->cancelled ? JobState::Cancelled : this->state;
}

std::optional<JobTable::Change> JobTable::apply(std::string_view key, std::string_view value, std::int64_t offset, Millis now)
{
    const Attempt<RecordKey> parsed = attempt([&] { return parseKey(key); });
    const RecordKind kind = parsed.value ? parsed.value->kind : RecordKind::Estimates;
    if (kind == RecordKind::LeaseLimit) {
        this->applyLeaseLimit(parsed.value->job, value, offset, now);
        return std::nullopt;
    }
    if (kind != RecordKind::Job && kind != RecordKind::Cancel && kind != RecordKind::State) {
        ++this->unreadableRecords;
        return std::nullopt;
    }
    const auto found = this->entries.try_emplace(parsed.value->job).first;
    JobEntry& entry = found->second;
    this->cancelOnlyEntries -= entry.isCancelOnly() ? 1 : 0;
    this->allHeldBytes -= entry.heldBytes();
    const std::int64_t lastJobOffset = entry.jobOffset;
    std::optional<Change> change = this->applyTo(entry, *parsed.value, value, offset, now);
    if (kind == RecordKind::Job && value.empty() && offset > lastJobOffset)
        this->entries.erase(found);
    else {
        this->cancelOnlyEntries += entry.isCancelOnly() ? 1 : 0;
        this->allHeldBytes += entry.heldBytes();
    }
    return change;
}

std::optional<JobTable::Change> JobTable::applyTo(JobEntry& entry, const RecordKey& key, std::string_view value, std::int64_t offset, Millis now)
{
    const RecordKind kind = key.kind;
    std::int64_t& lastOffset = kind == RecordKind::Job ? entry.jobOffset : kind == RecordKind::Cancel ? entry.cancelOffset
                                                                                                      : entry.stateOffset;
    if (offset <= lastOffset)
        return std::nullopt;
    lastOffset = offset;
    if (value.empty())
        return std::nullopt;
    if (kind == RecordKind::Cancel) {
        entry.cancelled = true;
    } else if (kind == RecordKind::Job) {
        Attempt<Job> job = attempt([&] { return decodeJob(key.job, value); });
        if (!job.value) {
            ++this->unreadableRecords;
            return std::nullopt;
        }
        if (entry.job)
            return std::nullopt; // The job was submitted again; the first submission counts.
        entry.job = std::make_shared<const Job>(std::move(*job.value));
        entry.recordBytes = value.size();
        entry.finalSince = 0; // A cancel that was read before is reported to callers from now on.
    } else {
        const Attempt<JobState> state = attempt([&] { return decodeState(value); });
        if (!state.value) {
            ++this->unreadableRecords;
            return std::nullopt;
        }
        entry.state = *state.value;
    }
    if (entry.finalSince == 0 && isFinal(entry.visibleState()))
        entry.finalSince = now;
    return Change { kind, key.job };
}

void JobTable::applyLeaseLimit(const std::string& worker, std::string_view value, std::int64_t offset, Millis now)
{
    const auto found = this->limits.find(worker);
    if (found != this->limits.end() && offset <= found->second.offset)
        return;
    this->limits.erase(worker);
    if (value.empty())
        return;
    const Attempt<LeaseLimit> limit = attempt([&] { return decodeLeaseLimit(value); });
    if (limit.value)
        this->limits[worker] = { limit.value->term, now + limit.value->remaining, offset };
    else
        ++this->unreadableRecords;
}

const JobEntry* JobTable::find(std::string_view id) const
{
    const auto found = this->entries.find(id);
    return found == this->entries.end() || !found->second.job ? nullptr : &found->second;
}

bool JobTable::isCancelled(std::string_view id) const
{
    const auto found = this->entries.find(id);
    return found != this->entries.end() && found->second.cancelled;
}

std::int64_t JobTable::pending(std::string_view queue) const
{
    std::int64_t count = 0;
    for (const auto& [id, entry] : this->entries) {
        if (entry.job && entry.job->terms.queue == queue && entry.visibleState() == JobState::Queued)
            ++count;
    }
    return count;
}

} // namespace rattan::tasks
