#include "driver/worker_book.h"

#include <algorithm>

namespace rattan::driver {

namespace {

    // So many exchanges without an answer make a worker one that is probed.
    constexpr std::uint32_t probedAfter = 2;

    // Workers without a gang are read once in this many periods: nothing of
    // theirs has to be renewed.
    constexpr std::uint64_t idlePeriods = 5;

    std::string noteText(const Json& note, const char* name)
    {
        const auto found = note.is_object() ? note.find(name) : note.end();
        return found != note.end() && found->is_string() ? found->get<std::string>() : "";
    }

    std::uint32_t noteSize(const Json& note)
    {
        const auto found = note.is_object() ? note.find("size") : note.end();
        return found != note.end() && found->is_number_unsigned() ? found->get<std::uint32_t>() : 0;
    }

    SurveyLease viewOf(const platform::WorkerLease& lease)
    {
        return { .lease = lease.lease, .id = parseLeaseName(lease.lease).value_or(GangId {}), .state = lease.state, .accelerators = lease.accelerators, .cores = lease.cores, .memoryMb = lease.memoryMb, .remaining = lease.remaining, .key = noteText(lease.note, "key"), .workspace = noteText(lease.note, "workspace"), .gangSize = noteSize(lease.note) };
    }

    SurveyWorker viewOf(const WorkerRecord& record)
    {
        SurveyWorker view { .worker = record.worker, .address = record.address, .rack = record.rack, .leaving = record.leaving, .reachable = record.reachable && record.answered };
        if (!record.report)
            return view;
        const platform::WorkerReport& report = *record.report;
        if (!report.rack.empty())
            view.rack = report.rack;
        view.incarnation = report.incarnation;
        view.accelerators = report.accelerators;
        view.cores = report.cores;
        view.memoryMb = report.memoryMb;
        view.leaving = view.leaving || report.leaving;
        view.epoch = report.epoch;
        for (const platform::WorkerLease& lease : report.leases)
            view.leases.push_back(viewOf(lease));
        return view;
    }

} // namespace

void WorkerBook::list(const std::vector<platform::Instance>& instances, Millis now)
{
    this->listKnown = true;
    for (auto& [worker, record] : this->records)
        record.listed = false;
    for (const platform::Instance& instance : instances) {
        WorkerRecord* record = this->obtain(instance.id, instance.address);
        if (!record)
            continue;
        record->listed = true;
        record->leaving = instance.leaving;
        record->rack = instance.rack;
        if (record->wantedSince == 0) {
            record->wantedSince = now;
            this->markDue(*record, now);
        }
    }
    this->forgetUnlisted();
}

WorkerRecord* WorkerBook::obtain(const std::string& worker, const std::string& address)
{
    const auto found = this->records.find(worker);
    if (found == this->records.end() && this->records.size() >= mostWorkers)
        return nullptr;
    WorkerRecord& record = this->records[worker];
    record.worker = worker;
    if (!address.empty())
        record.address = address;
    return &record;
}

WorkerRecord* WorkerBook::find(const std::string& worker)
{
    const auto found = this->records.find(worker);
    return found == this->records.end() ? nullptr : &found->second;
}

void WorkerBook::markDue(WorkerRecord& record, Millis now)
{
    if (record.due || (!record.reachable && now < record.notBefore))
        return;
    record.due = true;
    if (!record.asking)
        this->queue.push_back(record.worker);
}

void WorkerBook::markAllDue(Millis now)
{
    for (auto& [worker, record] : this->records)
        this->markDue(record, now);
}

void WorkerBook::markPeriodDue(Millis now, std::uint64_t period)
{
    std::uint64_t place = 0;
    for (auto& [worker, record] : this->records) {
        const bool busy = !record.gangs.empty() || !record.orphans.empty() || !record.answered || !record.reachable;
        if (busy || (period + place) % idlePeriods == 0)
            this->markDue(record, now);
        ++place;
    }
}

void WorkerBook::markRetries(Millis now)
{
    for (const std::string& worker : this->silent) {
        WorkerRecord* record = this->find(worker);
        if (record && !record->gangs.empty() && !record->asking)
            this->markDue(*record, now);
    }
}

WorkerRecord* WorkerBook::takeDue()
{
    for (std::size_t left = this->queue.size(); left > 0; --left) {
        const std::string worker = std::move(this->queue.front());
        this->queue.pop_front();
        WorkerRecord* record = this->find(worker);
        if (!record || record->asking)
            continue;
        const bool probing = record->failures >= probedAfter;
        if (probing && this->probes >= this->options.probesAtOnce) {
            this->queue.push_back(worker);
            continue;
        }
        record->due = false;
        record->asking = true;
        record->probing = probing;
        this->probes += probing ? 1 : 0;
        return record;
    }
    return nullptr;
}

void WorkerBook::release(WorkerRecord& record, bool answered, Millis now)
{
    this->probes -= record.probing ? 1 : 0;
    record.probing = false;
    record.asking = false;
    record.reachable = answered;
    record.failures = answered ? 0 : record.failures + 1;
    if (answered)
        this->silent.erase(record.worker);
    else
        this->silent.insert(record.worker);
    // Short enough that a timeout late in a period does not cost the next turn.
    record.notBefore = now + this->options.period / 10;
    if (record.due)
        this->queue.push_back(record.worker);
}

void WorkerBook::beginSurvey(Millis now)
{
    this->surveySince = now;
    this->complete = false;
    for (auto& [worker, record] : this->records) {
        record.answered = false;
        record.wantedSince = now;
        record.notBefore = 0;
    }
    this->markAllDue(now);
}

Survey WorkerBook::survey(Millis now)
{
    Survey survey;
    survey.complete = this->isComplete(now);
    for (const auto& [worker, record] : this->records) {
        if (record.listed || !record.gangs.empty())
            survey.workers.push_back(viewOf(record));
    }
    return survey;
}

bool WorkerBook::isComplete(Millis now)
{
    if (this->complete || !this->listKnown)
        return this->complete;
    this->complete = std::all_of(this->records.begin(), this->records.end(), [this, now](const auto& entry) {
        const WorkerRecord& record = entry.second;
        return (!record.listed && record.gangs.empty()) || this->isHeard(record, now);
    });
    return this->complete;
}

std::vector<std::pair<const WorkerRecord*, const platform::WorkerLease*>> WorkerBook::leasesOf(GangId id) const
{
    const std::string name = leaseName(id);
    std::vector<std::pair<const WorkerRecord*, const platform::WorkerLease*>> found;
    for (const auto& [worker, record] : this->records) {
        if (!record.report)
            continue;
        for (const platform::WorkerLease& lease : record.report->leases) {
            if (lease.lease == name)
                found.emplace_back(&record, &lease);
        }
    }
    return found;
}

std::vector<GangMember> WorkerBook::membersOf(GangId id) const
{
    std::vector<GangMember> members;
    for (const auto& [record, lease] : this->leasesOf(id))
        members.push_back({ record->worker, record->address, lease->accelerators, lease->cores, lease->memoryMb });
    return members;
}

std::size_t WorkerBook::sizeOf(GangId id) const
{
    std::size_t size = 0;
    for (const auto& [record, lease] : this->leasesOf(id))
        size = std::max<std::size_t>(size, noteSize(lease->note));
    return size;
}

void WorkerBook::dropGangs()
{
    for (auto& [worker, record] : this->records) {
        record.gangs.clear();
        record.orphans.clear();
    }
}

bool WorkerBook::isHeard(const WorkerRecord& record, Millis now) const
{
    return record.answered || now >= std::max(record.wantedSince, this->surveySince) + this->options.foreignSilence();
}

void WorkerBook::forgetUnlisted()
{
    std::erase_if(this->records, [this](const auto& entry) {
        const WorkerRecord& record = entry.second;
        if (record.listed || record.asking || !record.gangs.empty() || !record.orphans.empty())
            return false;
        this->silent.erase(record.worker);
        return true;
    });
}

} // namespace rattan::driver
