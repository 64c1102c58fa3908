#include "instance/gateway.h"

#include "tasks/records.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rattan::instance {

using tasks::JobEntry;
using tasks::JobState;
using tasks::RecordKind;

namespace {

    // Another instance may do at once what this one cannot; the platform sends a
    // retry there.
    constexpr Millis retryElsewhere = 1000;

    // An append without an answer may be carried out for this long; what was appended by
    // then has been read, or was never stored.
    constexpr Millis appendsLate = 15000;

} // namespace

Gateway::Gateway(GatewayOptions options, const CallerProtocol& protocol, const tasks::JobTable& jobs)
    : options(options)
    , protocol(protocol)
    , jobs(jobs)
    , catalog(std::make_shared<tasks::Catalog>())
{
}

void Gateway::configurationRead(std::shared_ptr<const tasks::Catalog> newest)
{
    if (this->hasConfiguration && newest->version < this->catalog->version)
        return; // A version never goes back.
    this->catalog = std::move(newest);
    this->hasConfiguration = true;
}

bool Gateway::storeInReach(Millis now) const
{
    return now - std::max(this->jobsConfirmedAt, this->configurationConfirmedAt) <= this->options.storeTrusted;
}

bool Gateway::ready(Millis now) const
{
    return this->hasConfiguration && this->jobsLoaded && now - this->configurationConfirmedAt < this->options.configurationTrusted;
}

void Gateway::ask(std::uint64_t ticket, const CallerRequest& request, Millis now, Millis wall)
{
    Question question { .request = request, .job = request.path.substr(request.path.rfind('/') + 1), .askedAt = now };
    const Millis patience = request.patience > 0 ? std::max<Millis>(request.patience - this->options.answerMargin, 0) : this->options.longestAnswer;
    question.answerBy = now + std::min(patience, this->options.longestAnswer);
    if (!this->hasConfiguration || !this->jobsLoaded)
        return this->refuse(ticket, question, "this instance has just started", now);
    if (this->catalog->version < this->versionElsewhere)
        return this->refuse(ticket, question, "a newer configuration is in force elsewhere", now);
    // Cut off from the store, this instance may have missed the version that added a
    // queue or a key: its caller would be told that there is none, and give up.
    const bool mayBeOutdated = !this->storeInReach(now);
    const tasks::Queue* queue = this->catalog->queueFor(request.host, request.path);
    if (!queue)
        return this->answer(ticket, question, { .outcome = Outcome::NoSuchQueue, .wantsStore = mayBeOutdated }, now);
    std::string workspace;
    if (!queue->allowsAnonymous) {
        // A key that was taken away would go on working here for as long as this
        // instance does not hear of it.
        if (now - this->configurationConfirmedAt > this->options.configurationTrusted)
            return this->refuse(ticket, question, "the operators' configuration cannot be read at present", now);
        const std::string* holder = this->catalog->workspaceFor(request.key);
        if (!holder)
            return this->answer(ticket, question, { .outcome = Outcome::UnknownKey, .wantsStore = mayBeOutdated }, now);
        workspace = *holder;
    } else if (const std::string* holder = this->catalog->workspaceFor(request.key)) {
        workspace = *holder;
    }
    question.job = request.path.substr(queue->pathPrefix.size());
    // A count from long ago would be told as the present one.
    if (question.job.empty() && request.kind == RequestKind::State && now - this->jobsConfirmedAt > this->options.countTrusted)
        return this->refuse(ticket, question, "the store is out of reach", now);
    if (question.job.empty() && request.kind == RequestKind::State)
        return this->answer(ticket, question, { .outcome = Outcome::Pending, .pending = this->jobs.pending(queue->terms.queue) }, now);
    if (!this->protocol.isJobId(question.job))
        return this->answer(ticket, question, { .outcome = Outcome::Malformed, .message = "not the id of a job" }, now);
    if (this->questions.size() >= this->options.mostWaiting)
        return this->refuse(ticket, question, "too many requests wait", now);
    switch (request.kind) {
    case RequestKind::Submit:
        return this->submit(ticket, std::move(question), *queue, std::move(workspace), now, wall);
    case RequestKind::Cancel:
        return this->cancel(ticket, std::move(question), now);
    case RequestKind::State:
        return this->tellState(ticket, std::move(question), now);
    case RequestKind::Other:
        return this->answer(ticket, question, { .outcome = Outcome::NoSuchMethod }, now);
    }
}

void Gateway::submit(std::uint64_t ticket, Question question, const tasks::Queue& queue, std::string workspace, Millis now, Millis wall)
{
    question.record = tasks::formatKey({ RecordKind::Job, question.job });
    if (this->jobs.find(question.job) || this->stored.contains(question.record))
        return this->answer(ticket, question, { .outcome = Outcome::Accepted }, now);
    if (this->catalog->maxBodyBytes > 0 && static_cast<std::int64_t>(question.request.body.size()) > this->catalog->maxBodyBytes)
        return this->answer(ticket, question, { .outcome = Outcome::TooLarge }, now);
    Attempt<tasks::Job> job = attempt([&] { return this->protocol.parseJob(question.request.body); });
    if (!job.value)
        return this->answer(ticket, question, { .outcome = Outcome::Malformed, .message = job.error.message }, now);
    if (!this->storeInReach(now))
        return this->refuse(ticket, question, "the store is out of reach", now);
    if (this->uncertain.size() + this->stored.size() >= this->options.mostUnread)
        return this->refuse(ticket, question, "too many records are yet to be read back", now);
    job.value->id = question.job;
    job.value->workspace = std::move(workspace);
    job.value->terms = queue.terms;
    job.value->acceptedAt = wall;
    this->queueRecord(ticket, std::move(question), tasks::encodeJob(*job.value));
}

void Gateway::cancel(std::uint64_t ticket, Question question, Millis now)
{
    const JobEntry* entry = this->jobs.find(question.job);
    if (!entry)
        return this->tellState(ticket, std::move(question), now);
    question.record = tasks::formatKey({ RecordKind::Cancel, question.job });
    if (entry->cancelled || isFinal(entry->visibleState()) || this->stored.contains(question.record))
        return this->answer(ticket, question, { .outcome = Outcome::Cancelled }, now);
    if (!this->storeInReach(now))
        return this->refuse(ticket, question, "the store is out of reach", now);
    this->queueRecord(ticket, std::move(question), tasks::encodeCancel());
}

void Gateway::tellState(std::uint64_t ticket, Question question, Millis now)
{
    const JobEntry* entry = this->jobs.find(question.job);
    if (entry && entry->visibleState() == JobState::Running && this->storeInReach(now)) {
        question.awaits = Awaits::End;
        question.answerBy = std::min(question.answerBy, now + this->options.endAwaited);
        this->questions.emplace(ticket, std::move(question));
        return;
    }
    if (entry)
        return this->answer(ticket, question, { .outcome = Outcome::State, .state = entry->visibleState(), .wantsStore = !isFinal(entry->visibleState()) && !this->storeInReach(now) }, now);
    if (!this->storeInReach(now))
        return this->refuse(ticket, question, "the store is out of reach", now);
    question.awaits = Awaits::Reading;
    this->questions.emplace(ticket, std::move(question));
}

void Gateway::queueRecord(std::uint64_t ticket, Question question, std::string value)
{
    question.awaits = Awaits::Record;
    const std::string key = question.record;
    this->questions.emplace(ticket, std::move(question));
    const auto same = [&](const StoreRecord& record) { return record.key == key; };
    if (this->underWay.contains(key) || std::any_of(this->records.begin(), this->records.end(), same))
        return; // A repeat while the first is under way.
    this->records.push_back({ key, std::move(value), 0 });
}

std::vector<StoreRecord> Gateway::takeRecords(std::size_t mostRecords, std::size_t mostBytes)
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < this->records.size() && count < mostRecords) {
        bytes += this->records[count].key.size() + this->records[count].value.size();
        if (count > 0 && bytes > mostBytes)
            break;
        ++count;
    }
    const auto end = this->records.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<StoreRecord> taken(std::make_move_iterator(this->records.begin()), std::make_move_iterator(end));
    this->records.erase(this->records.begin(), end);
    for (const StoreRecord& record : taken)
        ++this->underWay[record.key];
    return taken;
}

void Gateway::appended(const std::vector<std::string>& keys, AppendStatus status, Millis now)
{
    for (const std::string& key : keys) {
        if (const auto found = this->underWay.find(key); found != this->underWay.end() && --found->second <= 0)
            this->underWay.erase(found);
        if (status == AppendStatus::Unknown)
            this->uncertain[key] = now;
        if (status == AppendStatus::Appended)
            this->stored[key] = now;
    }
    const auto isMeant = [&](const Question& question) { return question.awaits == Awaits::Record && std::find(keys.begin(), keys.end(), question.record) != keys.end(); };
    for (const auto& [ticket, question] : this->take(isMeant)) {
        if (status == AppendStatus::Appended)
            this->answer(ticket, question, { .outcome = question.request.kind == RequestKind::Submit ? Outcome::Accepted : Outcome::Cancelled }, now);
        else
            this->refuse(ticket, question, "the store took no record", now);
    }
}

// All of them at once: a rejection depends on who still waits.
std::vector<std::pair<std::uint64_t, Gateway::Question>> Gateway::take(const std::function<bool(const Question&)>& isMeant)
{
    std::vector<std::pair<std::uint64_t, Question>> taken;
    for (auto next = this->questions.begin(); next != this->questions.end();) {
        const auto current = next++;
        if (!isMeant(current->second))
            continue;
        taken.emplace_back(current->first, std::move(current->second));
        this->questions.erase(current);
    }
    return taken;
}

// Whether what is known of a job now answers a question about it.
bool Gateway::knowsEnough(const Question& question, const JobEntry& entry) const
{
    if (question.awaits == Awaits::End)
        return isFinal(entry.visibleState());
    if (question.request.kind == RequestKind::Cancel)
        return entry.cancelled || isFinal(entry.visibleState());
    return question.request.kind != RequestKind::Other;
}

void Gateway::jobChanged(const std::string& id, Millis now)
{
    for (auto next = this->questions.begin(); next != this->questions.end();) {
        const auto current = next++;
        if (current->second.job != id)
            continue;
        const JobEntry* entry = this->jobs.find(id);
        if (!entry)
            continue;
        const Question copy = current->second;
        const std::uint64_t ticket = current->first;
        const RequestKind kind = copy.request.kind;
        if (!this->knowsEnough(copy, *entry))
            continue;
        this->questions.erase(current);
        if (kind == RequestKind::State)
            this->answer(ticket, copy, { .outcome = Outcome::State, .state = entry->visibleState() }, now);
        else
            this->answer(ticket, copy, { .outcome = kind == RequestKind::Submit ? Outcome::Accepted : Outcome::Cancelled }, now);
    }
}

void Gateway::jobsRead(Millis confirmedAt, Millis now)
{
    this->jobsLoaded = true;
    this->jobsConfirmedAt = std::max(this->jobsConfirmedAt, confirmedAt);
    for (auto next = this->questions.begin(); next != this->questions.end();) {
        const auto current = next++;
        if (current->second.awaits != Awaits::Reading || current->second.askedAt > confirmedAt)
            continue;
        const Question copy = current->second;
        const std::uint64_t ticket = current->first;
        this->questions.erase(current);
        const JobEntry* entry = this->jobs.find(copy.job);
        if (copy.request.kind == RequestKind::Cancel && this->mayCome(copy.job))
            this->answer(ticket, copy, { .outcome = Outcome::Unknown, .message = "the job may be stored yet", .wantsStore = true }, now);
        else if (!entry)
            this->answer(ticket, copy, { .outcome = Outcome::NoSuchJob }, now);
        else if (copy.request.kind == RequestKind::Cancel)
            this->cancel(ticket, copy, now);
        else
            this->answer(ticket, copy, { .outcome = Outcome::State, .state = entry->visibleState() }, now);
    }
}

bool Gateway::wantsRead() const
{
    return std::any_of(this->questions.begin(), this->questions.end(), [](const auto& row) { return row.second.awaits == Awaits::Reading; });
}

bool Gateway::awaitsEnd() const
{
    return std::any_of(this->questions.begin(), this->questions.end(), [](const auto& row) { return row.second.awaits == Awaits::End; });
}

void Gateway::step(Millis now)
{
    for (const auto& [ticket, question] : this->take([&](const Question& row) { return now >= std::min(row.answerBy, this->lastAnswerAt); })) {
        const JobEntry* entry = question.awaits == Awaits::End ? this->jobs.find(question.job) : nullptr;
        if (entry)
            this->answer(ticket, question, { .outcome = Outcome::State, .state = entry->visibleState() }, now);
        else
            this->refuse(ticket, question, "no answer from the store in time", now);
    }
    std::erase_if(this->uncertain, [&](const auto& row) { return this->jobsConfirmedAt - row.second > appendsLate; });
    std::erase_if(this->stored, [&](const auto& row) { return this->jobsConfirmedAt > row.second; });
    // A record whose questions have all been answered must not be appended later.
    std::erase_if(this->records, [&](const StoreRecord& record) {
        return std::none_of(this->questions.begin(), this->questions.end(), [&](const auto& row) { return row.second.record == record.key; });
    });
}

// It was stored, its append is under way or may be carried out late, or it waits for its turn.
bool Gateway::mayBeStored(const std::string& record) const
{
    return this->stored.contains(record) || this->underWay.contains(record) || this->uncertain.contains(record)
        || std::any_of(this->questions.begin(), this->questions.end(), [&](const auto& row) { return row.second.record == record; });
}

// Whoever cancels it must not hear that there is no such job, here or from another instance.
bool Gateway::mayCome(const std::string& job) const
{
    return !this->jobs.find(job) && this->mayBeStored(tasks::formatKey({ RecordKind::Job, job }));
}

// "Not now" says that nothing was done and nothing will be. While a record of
// the job may be stored, that could turn out false: the caller is told that the
// outcome is not known, and asks again.
void Gateway::refuse(std::uint64_t ticket, const Question& question, std::string why, Millis now)
{
    const RequestKind kind = question.request.kind;
    const JobEntry* entry = this->jobs.find(question.job);
    const bool perhaps = (kind == RequestKind::Submit && (entry || this->mayBeStored(tasks::formatKey({ RecordKind::Job, question.job }))))
        || (kind == RequestKind::Cancel && ((entry && entry->cancelled) || this->mayCome(question.job) || this->mayBeStored(tasks::formatKey({ RecordKind::Cancel, question.job }))));
    this->answer(ticket, question, { .outcome = perhaps ? Outcome::Unknown : Outcome::NotNow, .retryAfter = retryElsewhere, .message = std::move(why), .wantsStore = true }, now);
}

void Gateway::answer(std::uint64_t ticket, const Question& question, CallerAnswer answer, Millis now)
{
    this->answers.push_back({ ticket, std::move(answer), question.job, now - question.askedAt });
}

std::vector<GatewayAnswer> Gateway::takeAnswers() { return std::exchange(this->answers, {}); }

} // namespace rattan::instance
