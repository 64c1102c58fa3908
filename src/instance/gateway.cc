#include "instance/gateway.h"

#include "tasks/records.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace rattan::instance {

using tasks::JobEntry;
using tasks::JobState;
using tasks::RecordKind;

namespace {

    // The store may execute an append without a response for this long. Once the jobs stream
    // is read up to a later time, a record that was not read was never stored.
    constexpr Millis maxAppendDelay = 15000;

    // What a waiting request keeps of itself. Its body may be large and is not needed any more.
    CallerRequest headOf(const CallerRequest& request)
    {
        return { .kind = request.kind, .bodyRefusal = request.bodyRefusal, .forwarded = request.forwarded };
    }

} // namespace

Gateway::Gateway(GatewayOptions options, const CallerProtocol& protocol, const tasks::JobTable& jobs)
    : options(options)
    , protocol(protocol)
    , jobs(jobs)
    , catalog(std::make_shared<tasks::Catalog>())
{
}

void Gateway::configurationUpdated(std::shared_ptr<const tasks::Catalog> newCatalog)
{
    if (this->hasConfiguration && newCatalog->version < this->catalog->version)
        return; // The version in use never decreases.
    this->catalog = std::move(newCatalog);
    this->hasConfiguration = true;
}

// The last attempt of a caller may have less time left than the usual margin, but an append
// usually takes far less.
Millis Gateway::answerTimeOf(Millis callerTimeout) const
{
    if (callerTimeout <= 0)
        return this->options.maxAnswerTime;
    const Millis margin = std::min(this->options.answerMargin, callerTimeout / 2);
    return std::min(callerTimeout - margin, this->options.maxAnswerTime);
}

void Gateway::handleRequest(std::uint64_t ticket, const CallerRequest& request, Millis now, Millis wallTime)
{
    WaitingRequest waiting { .request = headOf(request), .jobId = request.path.substr(request.path.rfind('/') + 1), .configurationVersion = this->catalog->version, .receivedAt = now, .readUpTo = now };
    waiting.deadline = now + this->answerTimeOf(request.timeout);
    waiting.callerDeadline = request.timeout > 0 ? now + request.timeout : 0;
    if (!this->hasConfiguration || !this->jobsLoaded)
        return this->refuse(ticket, waiting, RefusalCause::LocalState, "this instance has just started", now);
    if (this->catalog->version < std::max(this->minConfigurationVersion, request.configurationVersion))
        return this->refuse(ticket, waiting, RefusalCause::LocalState, "a newer configuration is in force elsewhere", now);
    const tasks::Queue* queue = this->catalog->queueFor(request.host, request.path);
    if (!queue)
        return this->deny(ticket, waiting, Outcome::NoSuchQueue, now);
    std::string workspace;
    if (!queue->allowsAnonymous) {
        // Otherwise a revoked key would keep working here until this instance reads the
        // configuration again.
        if (now - this->configurationConfirmedAt > this->options.maxConfigurationAge)
            return this->refuse(ticket, waiting, RefusalCause::StoreUnreachable, "the operators' configuration cannot be read at present", now);
        const std::string* keyWorkspace = this->catalog->workspaceFor(request.apiKey);
        if (!keyWorkspace)
            return this->deny(ticket, waiting, Outcome::UnknownKey, now);
        workspace = *keyWorkspace;
    } else if (const std::string* keyWorkspace = this->catalog->workspaceFor(request.apiKey)) {
        workspace = *keyWorkspace;
    }
    waiting.jobId = request.path.substr(queue->pathPrefix.size());
    // An outdated count must not be reported as the current one.
    if (waiting.jobId.empty() && request.kind == RequestKind::State && now - this->jobsConfirmedAt > this->options.maxPendingCountAge)
        return this->refuse(ticket, waiting, RefusalCause::StoreUnreachable, "the store is out of reach", now);
    if (waiting.jobId.empty() && request.kind == RequestKind::State)
        return this->answer(ticket, waiting, { .outcome = Outcome::Pending, .pending = this->jobs.pending(queue->terms.queue) }, now);
    if (!this->protocol.isJobId(waiting.jobId))
        return this->answer(ticket, waiting, { .outcome = Outcome::Malformed, .message = "not the id of a job" }, now);
    if (this->waitingRequests.size() >= this->options.maxWaitingRequests)
        return this->refuse(ticket, waiting, RefusalCause::Busy, "too many requests wait", now);
    switch (request.kind) {
    case RequestKind::Submit:
        return this->submit(ticket, std::move(waiting), request.body, *queue, std::move(workspace), now, wallTime);
    case RequestKind::Cancel:
        return this->cancel(ticket, std::move(waiting), now);
    case RequestKind::State:
        return this->reportState(ticket, std::move(waiting), now);
    case RequestKind::Other:
        return this->answer(ticket, waiting, { .outcome = Outcome::NoSuchMethod }, now);
    }
}

void Gateway::submit(std::uint64_t ticket, WaitingRequest waiting, const std::string& body, const tasks::Queue& queue, std::string workspace, Millis now, Millis wallTime)
{
    waiting.recordKey = tasks::formatKey({ RecordKind::Job, waiting.jobId });
    if (this->jobs.find(waiting.jobId) || this->storedRecords.contains(waiting.recordKey))
        return this->answer(ticket, waiting, { .outcome = Outcome::Accepted }, now);
    if (waiting.request.bodyRefusal == http::BodyRefusal::NoMemory)
        return this->refuse(ticket, waiting, RefusalCause::Busy, "too many large bodies are being read", now);
    const bool isTooLarge = this->catalog->maxBodyBytes > 0 && static_cast<std::int64_t>(body.size()) > this->catalog->maxBodyBytes;
    if (isTooLarge || waiting.request.bodyRefusal == http::BodyRefusal::TooLarge)
        return this->answer(ticket, waiting, { .outcome = this->isPossiblyStored(waiting.recordKey) ? Outcome::Unknown : Outcome::TooLarge, .message = "the body is too large" }, now);
    Attempt<tasks::Job> job = attempt([&] { return this->protocol.parseJob(body); });
    if (!job.value)
        return this->answer(ticket, waiting, { .outcome = Outcome::Malformed, .message = job.error.message }, now);
    if (now < this->refusesSubmissionsUntil)
        return this->refuse(ticket, waiting, RefusalCause::LocalState, "this instance was suspended for long", now);
    if (!this->isStoreReachable(now))
        return this->refuse(ticket, waiting, RefusalCause::StoreUnreachable, "the store is out of reach", now);
    if (this->unresolvedRecords.size() + this->storedRecords.size() >= this->options.maxUnreadRecords)
        return this->refuse(ticket, waiting, RefusalCause::Busy, "too many records are yet to be read back", now);
    if (this->allJobBytes() >= this->options.maxJobBytes)
        return this->refuse(ticket, waiting, RefusalCause::Busy, "the jobs that wait use all memory for jobs", now);
    // A job within its workspace's guarantee never waits behind others.
    const bool mayBeGuaranteed = queue.terms.priority == 0 && this->catalog->guaranteedAcceleratorsOf(workspace) > 0;
    const tasks::QueueLoad* load = mayBeGuaranteed ? nullptr : this->loads.find(queue.terms, now, wallTime);
    if (load && !this->isPossiblyStored(waiting.recordKey)) {
        // An earlier attempt may have been stored through another instance, so the answer has to
        // wait for a read of the jobs stream.
        waiting.overloadRetry = tasks::retryDelayOf(*load, waiting.jobId);
        waiting.recordKey.clear();
        waiting.awaited = AwaitedEvent::JobsConfirmed;
        this->waitingRequests.emplace(ticket, std::move(waiting));
        return;
    }
    job.value->id = waiting.jobId;
    job.value->workspace = std::move(workspace);
    job.value->terms = queue.terms;
    job.value->acceptedAt = wallTime;
    std::string record = tasks::encodeJob(*job.value);
    // The store would reject it for good, and the records of other jobs in the same append with it.
    if (waiting.recordKey.size() + record.size() >= this->options.maxRecordBytes)
        return this->answer(ticket, waiting, { .outcome = this->isPossiblyStored(waiting.recordKey) ? Outcome::Unknown : Outcome::TooLarge, .message = "the job is larger than a record of the store" }, now);
    this->unreadJobBytes[waiting.recordKey] = tasks::heldBytesOf(*job.value, record.size(), false);
    this->queueRecord(ticket, std::move(waiting), std::move(record));
}

void Gateway::cancel(std::uint64_t ticket, WaitingRequest waiting, Millis now)
{
    const JobEntry* entry = this->jobs.find(waiting.jobId);
    waiting.recordKey = tasks::formatKey({ RecordKind::Cancel, waiting.jobId });
    const bool isDurable = this->jobs.isCancelled(waiting.jobId) || this->storedRecords.contains(waiting.recordKey);
    if (entry && (isDurable || isFinal(entry->visibleState())))
        return this->answer(ticket, waiting, { .outcome = Outcome::Cancelled }, now);
    if (!this->isStoreReachable(now))
        return this->refuse(ticket, waiting, RefusalCause::StoreUnreachable, "the store is out of reach", now);
    if (isDurable) {
        waiting.awaited = AwaitedEvent::JobsConfirmed;
        this->waitingRequests.emplace(ticket, std::move(waiting));
        return;
    }
    if (!entry && this->jobs.cancelOnlyCount() >= this->options.maxUnknownCancels)
        return this->refuse(ticket, waiting, RefusalCause::Busy, "too many cancels of unknown jobs are kept", now);
    this->queueRecord(ticket, std::move(waiting), tasks::encodeCancel());
}

void Gateway::reportState(std::uint64_t ticket, WaitingRequest waiting, Millis now)
{
    const JobEntry* entry = this->jobs.find(waiting.jobId);
    if (entry && entry->visibleState() == JobState::Running && this->isStoreReachable(now)) {
        waiting.awaited = AwaitedEvent::JobEnd;
        waiting.deadline = std::min(waiting.deadline, now + this->options.jobEndWait);
        this->waitingRequests.emplace(ticket, std::move(waiting));
        return;
    }
    if (entry)
        return this->answer(ticket, waiting, { .outcome = Outcome::State, .state = entry->visibleState(), .canPeerHelp = !isFinal(entry->visibleState()) && !this->isStoreReachable(now) }, now);
    if (!this->isStoreReachable(now))
        return this->refuse(ticket, waiting, RefusalCause::StoreUnreachable, "the store is out of reach", now);
    waiting.awaited = AwaitedEvent::JobsConfirmed;
    this->waitingRequests.emplace(ticket, std::move(waiting));
}

void Gateway::queueRecord(std::uint64_t ticket, WaitingRequest waiting, std::string value)
{
    waiting.awaited = AwaitedEvent::RecordStored;
    const std::string key = waiting.recordKey;
    this->waitingRequests.emplace(ticket, std::move(waiting));
    const auto hasSameKey = [&](const StoreRecord& record) { return record.key == key; };
    if (this->inFlightRecords.contains(key) || this->recordsInDoubt.contains(key) || std::any_of(this->records.begin(), this->records.end(), hasSameKey))
        return; // An append of the same record is already queued, in flight or in doubt.
    this->records.push_back({ key, std::move(value), 0 });
}

std::vector<StoreRecord> Gateway::takeRecords(std::size_t maxRecords, std::size_t maxBytes)
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < this->records.size() && count < maxRecords) {
        bytes += this->records[count].key.size() + this->records[count].value.size();
        if (count > 0 && bytes > maxBytes)
            break;
        ++count;
    }
    const auto end = this->records.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<StoreRecord> taken(std::make_move_iterator(this->records.begin()), std::make_move_iterator(end));
    this->records.erase(this->records.begin(), end);
    for (const StoreRecord& record : taken) {
        InFlightRecord& inFlight = this->inFlightRecords[record.key];
        ++inFlight.appends;
        inFlight.value = record.value;
    }
    return taken;
}

void Gateway::appendCompleted(const std::vector<std::string>& keys, AppendStatus status, Millis now)
{
    std::vector<std::string> settledKeys;
    for (const std::string& key : keys) {
        std::string value;
        if (const auto found = this->inFlightRecords.find(key); found != this->inFlightRecords.end() && --found->second.appends <= 0) {
            value = std::move(found->second.value);
            this->inFlightRecords.erase(found);
        }
        if (status == AppendStatus::Unknown)
            this->unresolvedRecords[key] = now;
        if (status == AppendStatus::Appended)
            this->storedRecords[key] = now;
        if (!this->keepInDoubt(key, std::move(value), status, now))
            settledKeys.push_back(key);
    }
    const auto matches = [&](const WaitingRequest& waiting) { return waiting.awaited == AwaitedEvent::RecordStored && std::find(settledKeys.begin(), settledKeys.end(), waiting.recordKey) != settledKeys.end(); };
    for (const auto& [ticket, waiting] : this->takeWaiting(matches)) {
        if (status == AppendStatus::Appended && waiting.request.kind == RequestKind::Cancel && !this->jobs.find(waiting.jobId)) {
            WaitingRequest durable = waiting;
            durable.awaited = AwaitedEvent::JobsConfirmed;
            durable.readUpTo = now;
            this->waitingRequests.emplace(ticket, std::move(durable));
        } else if (status == AppendStatus::Appended)
            this->answer(ticket, waiting, { .outcome = waiting.request.kind == RequestKind::Submit ? Outcome::Accepted : Outcome::Cancelled }, now);
        else
            this->refuse(ticket, waiting, RefusalCause::StoreUnreachable, "the store took no record", now);
    }
}

// Keeps the record for another append if it is unknown whether it is stored. A rejection answers
// the request only if no earlier append of the record can be executed any more.
bool Gateway::keepInDoubt(const std::string& key, std::string value, AppendStatus status, Millis now)
{
    if (status == AppendStatus::Appended || !this->unresolvedRecords.contains(key) || !this->isAwaited(key))
        return false;
    const bool rejected = status != AppendStatus::Unknown;
    this->recordsInDoubt[key] = { std::move(value), now, rejected ? now + this->options.repeatDelay : now, rejected };
    return true;
}

// A repeat waits for a read that began after the loss, because usually the record is stored and
// only its response was lost.
void Gateway::repeatRecordsInDoubt(Millis now)
{
    if (this->recordsInDoubt.empty())
        return;
    std::unordered_set<std::string_view> awaitedKeys;
    for (const auto& [ticket, waiting] : this->waitingRequests)
        awaitedKeys.insert(waiting.recordKey);
    std::erase_if(this->recordsInDoubt, [&](const auto& item) { return !awaitedKeys.contains(item.first); });
    for (auto next = this->recordsInDoubt.begin(); next != this->recordsInDoubt.end();) {
        const auto current = next++;
        if (this->jobsConfirmedAt < current->second.since || now < current->second.repeatAt)
            continue;
        this->records.push_back({ current->first, std::move(current->second.value), 0 });
        this->recordsInDoubt.erase(current);
    }
}

void Gateway::askPeers(Millis now)
{
    if (!this->peerAvailable || this->recordsInDoubt.empty())
        return;
    for (auto& [ticket, waiting] : this->waitingRequests) {
        if (!this->shouldAskPeer(waiting, now))
            continue;
        waiting.peerAsked = true;
        const CallerAnswer unknown { .outcome = Outcome::Unknown, .message = "the store does not serve this instance", .configurationVersion = waiting.configurationVersion, .canPeerHelp = true };
        this->answers.push_back({ ticket, unknown, waiting.jobId, now - waiting.receivedAt, true });
    }
}

// Whether the store serves other instances but possibly not this one, while the outcome of the
// request's append is unknown. A job that is submitted at two instances remains one job.
bool Gateway::shouldAskPeer(const WaitingRequest& waiting, Millis now) const
{
    const auto found = this->recordsInDoubt.find(waiting.recordKey);
    if (waiting.request.forwarded || waiting.peerAsked || found == this->recordsInDoubt.end() || waiting.deadline - now < this->options.minPeerTime)
        return false;
    const RecordInDoubt& doubt = found->second;
    const bool readBackFailed = this->jobsConfirmedAt < doubt.since && this->jobsReadFailedAt >= doubt.since && now - doubt.since >= this->options.readBackTime;
    return doubt.rejected || readBackFailed || !this->isStoreReachable(now);
}

bool Gateway::isAwaited(const std::string& recordKey) const
{
    return std::any_of(this->waitingRequests.begin(), this->waitingRequests.end(), [&](const auto& item) { return item.second.recordKey == recordKey; });
}

// Removes all matching requests before any of them is answered, since a refusal depends on
// which requests still wait for the same record.
std::vector<std::pair<std::uint64_t, Gateway::WaitingRequest>> Gateway::takeWaiting(const std::function<bool(const WaitingRequest&)>& matches)
{
    std::vector<std::pair<std::uint64_t, WaitingRequest>> taken;
    for (auto next = this->waitingRequests.begin(); next != this->waitingRequests.end();) {
        const auto current = next++;
        if (!matches(current->second))
            continue;
        taken.emplace_back(current->first, std::move(current->second));
        this->waitingRequests.erase(current);
    }
    return taken;
}

// Whether the current entry of the job answers the waiting request.
bool Gateway::canAnswer(const WaitingRequest& waiting, const JobEntry& entry) const
{
    if (waiting.awaited == AwaitedEvent::JobEnd)
        return isFinal(entry.visibleState());
    if (waiting.request.kind == RequestKind::Cancel)
        return entry.cancelled || isFinal(entry.visibleState());
    return waiting.request.kind != RequestKind::Other;
}

void Gateway::jobChanged(const std::string& id, Millis now)
{
    this->unreadJobBytes.erase(tasks::formatKey({ RecordKind::Job, id }));
    if (!this->unresolvedRecords.empty() && this->jobs.find(id))
        this->unresolvedRecords.erase(tasks::formatKey({ RecordKind::Job, id }));
    if (this->jobs.isCancelled(id))
        this->settleDurableCancel(id);
    for (auto next = this->waitingRequests.begin(); next != this->waitingRequests.end();) {
        const auto current = next++;
        if (current->second.jobId != id)
            continue;
        const JobEntry* entry = this->jobs.find(id);
        if (!entry)
            continue;
        const WaitingRequest waiting = current->second;
        const std::uint64_t ticket = current->first;
        const RequestKind kind = waiting.request.kind;
        if (!this->canAnswer(waiting, *entry))
            continue;
        this->waitingRequests.erase(current);
        if (kind == RequestKind::State)
            this->answer(ticket, waiting, { .outcome = Outcome::State, .state = entry->visibleState() }, now);
        else
            this->answer(ticket, waiting, { .outcome = kind == RequestKind::Submit ? Outcome::Accepted : Outcome::Cancelled }, now);
    }
}

// The cancel is durable. Whether there is such a job is known once the stream is read up to it.
void Gateway::settleDurableCancel(const std::string& jobId)
{
    const std::string key = tasks::formatKey({ RecordKind::Cancel, jobId });
    this->unresolvedRecords.erase(key);
    this->recordsInDoubt.erase(key);
    for (auto& [ticket, waiting] : this->waitingRequests) {
        if (waiting.recordKey == key)
            waiting.awaited = AwaitedEvent::JobsConfirmed;
    }
}

// The cancel is durable, and no submission of the job was known when it was recorded.
void Gateway::answerUnknownCancel(std::uint64_t ticket, const WaitingRequest& waiting, Millis now)
{
    const bool mayExist = this->jobs.find(waiting.jobId) || this->isJobPossiblyStored(waiting.jobId);
    this->answer(ticket, waiting, { .outcome = mayExist ? Outcome::Cancelled : Outcome::NoSuchJob }, now);
}

void Gateway::resumed(Millis suspension, Millis now)
{
    if (suspension > this->options.maxSuspension)
        this->refusesSubmissionsUntil = now + this->options.staleRequestTime;
}

void Gateway::jobsConfirmed(Millis confirmedAt, Millis now)
{
    this->jobsLoaded = true;
    this->jobsConfirmedAt = std::max(this->jobsConfirmedAt, confirmedAt);
    this->contact.storeAnswered(this->jobsConfirmedAt);
    for (auto next = this->waitingRequests.begin(); next != this->waitingRequests.end();) {
        const auto current = next++;
        if (current->second.awaited != AwaitedEvent::JobsConfirmed || current->second.readUpTo > confirmedAt)
            continue;
        const WaitingRequest waiting = current->second;
        const std::uint64_t ticket = current->first;
        this->waitingRequests.erase(current);
        const JobEntry* entry = this->jobs.find(waiting.jobId);
        if (waiting.request.kind == RequestKind::Submit)
            this->refuseOverload(ticket, waiting, now);
        else if (waiting.request.kind == RequestKind::Cancel)
            this->answerUnknownCancel(ticket, waiting, now);
        else if (!entry)
            this->answer(ticket, waiting, { .outcome = Outcome::NoSuchJob }, now);
        else
            this->answer(ticket, waiting, { .outcome = Outcome::State, .state = entry->visibleState() }, now);
    }
}

bool Gateway::needsJobsRead() const
{
    return std::any_of(this->waitingRequests.begin(), this->waitingRequests.end(), [](const auto& item) { return item.second.awaited == AwaitedEvent::JobsConfirmed; })
        || std::any_of(this->recordsInDoubt.begin(), this->recordsInDoubt.end(), [this](const auto& item) { return this->jobsConfirmedAt < item.second.since; });
}

bool Gateway::isAwaitingJobEnd() const
{
    return std::any_of(this->waitingRequests.begin(), this->waitingRequests.end(), [](const auto& item) { return item.second.awaited == AwaitedEvent::JobEnd; });
}

void Gateway::step(Millis now)
{
    for (const auto& [ticket, waiting] : this->takeWaiting([&](const WaitingRequest& candidate) { return now >= std::min(candidate.deadline, this->answerDeadline); })) {
        const JobEntry* entry = waiting.awaited == AwaitedEvent::JobEnd ? this->jobs.find(waiting.jobId) : nullptr;
        const bool isDurableCancel = waiting.request.kind == RequestKind::Cancel && waiting.awaited == AwaitedEvent::JobsConfirmed;
        if (entry)
            this->answer(ticket, waiting, { .outcome = Outcome::State, .state = entry->visibleState() }, now);
        else if (isDurableCancel)
            this->answer(ticket, waiting, { .outcome = Outcome::Cancelled }, now);
        else
            this->refuse(ticket, waiting, RefusalCause::StoreUnreachable, "no answer from the store in time", now);
    }
    this->askPeers(now);
    this->repeatRecordsInDoubt(now);
    std::erase_if(this->unresolvedRecords, [&](const auto& item) { return this->jobsConfirmedAt - item.second > maxAppendDelay; });
    std::erase_if(this->storedRecords, [&](const auto& item) { return this->jobsConfirmedAt > item.second; });
    std::erase_if(this->unreadJobBytes, [&](const auto& item) { return !this->isPossiblyStored(item.first); });
    // A record must not be appended after all requests for it were answered.
    std::erase_if(this->records, [&](const StoreRecord& record) { return !this->isAwaited(record.key); });
}

std::size_t Gateway::allJobBytes() const
{
    return std::accumulate(this->unreadJobBytes.begin(), this->unreadJobBytes.end(), this->jobs.heldBytes(), [](std::size_t sum, const auto& item) { return sum + item.second; });
}

// True if the record was stored, an append of it is in flight or unresolved, or a waiting
// request is about to append it.
bool Gateway::isPossiblyStored(const std::string& recordKey) const
{
    return this->storedRecords.contains(recordKey) || this->inFlightRecords.contains(recordKey) || this->unresolvedRecords.contains(recordKey) || this->isAwaited(recordKey);
}

// True if the job is not in the table but its record may still appear, because of a request to this
// instance. What other instances may still store isn't known here.
bool Gateway::isJobPossiblyStored(const std::string& jobId) const
{
    return !this->jobs.find(jobId) && this->isPossiblyStored(tasks::formatKey({ RecordKind::Job, jobId }));
}

// Outcome::NotNow promises that nothing was done and nothing will be done. While a record of
// the job may be stored, that promise could be broken, so the outcome is Unknown instead
// and the caller retries.
void Gateway::refuse(std::uint64_t ticket, const WaitingRequest& waiting, RefusalCause cause, std::string why, Millis now)
{
    const RequestKind kind = waiting.request.kind;
    const JobEntry* entry = this->jobs.find(waiting.jobId);
    const bool isPossiblyDone = (kind == RequestKind::Submit && (entry || this->isPossiblyStored(tasks::formatKey({ RecordKind::Job, waiting.jobId }))))
        || (kind == RequestKind::Cancel && (this->jobs.isCancelled(waiting.jobId) || this->isJobPossiblyStored(waiting.jobId) || this->isPossiblyStored(tasks::formatKey({ RecordKind::Cancel, waiting.jobId }))));
    this->answer(ticket, waiting, { .outcome = isPossiblyDone ? Outcome::Unknown : Outcome::NotNow, .retryAfter = this->retryDelay(waiting, cause, now), .message = std::move(why), .canPeerHelp = !waiting.peerAsked }, now);
}

// Callers take a denial for final. While the store is unreachable, or a newer configuration is in
// force, the version that added the queue or the key may be unread here.
void Gateway::deny(std::uint64_t ticket, const WaitingRequest& waiting, Outcome denial, Millis now)
{
    if (!this->isStoreReachable(now))
        return this->refuse(ticket, waiting, RefusalCause::StoreUnreachable, "the operators' configuration cannot be read at present", now);
    if (this->catalog->version < this->newestConfigurationVersion())
        return this->refuse(ticket, waiting, RefusalCause::LocalState, "a newer configuration is in force elsewhere", now);
    this->answer(ticket, waiting, { .outcome = denial }, now);
}

Millis Gateway::retryDelay(const WaitingRequest& waiting, RefusalCause cause, Millis now) const
{
    const Millis timeLeft = waiting.callerDeadline > 0 ? std::max<Millis>(waiting.callerDeadline - now, 1) : 0;
    return this->retryAdvice.delay({ cause, timeLeft, waiting.jobId }, now);
}

// No peer can help, since all instances read the same record.
void Gateway::refuseOverload(std::uint64_t ticket, const WaitingRequest& waiting, Millis now)
{
    if (this->jobs.find(waiting.jobId))
        return this->answer(ticket, waiting, { .outcome = Outcome::Accepted }, now);
    if (this->isJobPossiblyStored(waiting.jobId))
        return this->answer(ticket, waiting, { .outcome = Outcome::Unknown, .message = "the job may be stored yet", .canPeerHelp = true }, now);
    this->answer(ticket, waiting, { .outcome = Outcome::NotNow, .retryAfter = waiting.overloadRetry, .message = "more work waits than can be done in time" }, now);
}

void Gateway::answer(std::uint64_t ticket, const WaitingRequest& waiting, CallerAnswer answer, Millis now)
{
    // A peer needs the body of a submission.
    if (waiting.request.kind == RequestKind::Submit && waiting.request.bodyRefusal != http::BodyRefusal::None)
        answer.canPeerHelp = false;
    answer.configurationVersion = answer.outcome == Outcome::NotNow ? this->newestConfigurationVersion() : waiting.configurationVersion;
    this->answers.push_back({ ticket, std::move(answer), waiting.jobId, now - waiting.receivedAt });
}

std::vector<GatewayAnswer> Gateway::takeAnswers() { return std::exchange(this->answers, {}); }

} // namespace rattan::instance
