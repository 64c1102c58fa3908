#pragma once

// Decides the answer to each caller's request. Pure logic: no clock, I/O or threads.
//
//     Gateway gateway({}, protocol, jobs);
//     gateway.configurationUpdated(catalog);
//     gateway.configurationConfirmed(confirmedAt);
//     gateway.handleRequest(ticket, request, now, wallTime);
//     for (const StoreRecord& record : gateway.takeRecords(200, 1 << 20)) append(record);
//     gateway.appendCompleted(keys, AppendStatus::Appended, now); // the outcome of the append
//     gateway.jobsConfirmed(confirmedAt, now);                    // the jobs stream was read up to confirmedAt
//     for (const GatewayAnswer& answer : gateway.takeAnswers()) reply(answer);
//
// Guarantees. A job is accepted only after its record is durable: the store acknowledged
// the append, or the record was read back. Outcome::NotNow, which means that the job will
// not run, is given only if the record is not known to be stored and no append of it is in
// flight or queued. Outcome::NoSuchJob is given only after the jobs stream was read up to
// the time of the request, and to a cancel only after a record of it is durable: the job may
// still be stored by an instance that was suspended with the submission in its socket, or by
// an append that the store executes late. It then meets the cancel, and never runs. API keys
// are accepted only while the configuration was confirmed recently enough.
//
// If the outcome of an append is lost, its requests keep waiting within their deadlines while
// needsJobsRead() requests a read of the jobs stream. They are answered when the record appears. If
// a read that began after the loss does not show it, the record is appended again; a repeated
// record changes nothing. If the store turns this instance away meanwhile and a peer is
// available, a provisional answer requests that the peer is asked, while the request keeps waiting
// here. Outcome::Unknown is given only at the deadline.
//
// Limits: at most `maxWaitingRequests` requests wait at the same time. Further requests are
// refused immediately, as are submissions whose body was not read, and submissions while `maxUnreadRecords` records have not been
// read back yet, and cancels of unknown jobs while `maxUnknownCancels` of them are kept. Each
// request is answered within its caller's timeout.

#include "instance/caller_protocol.h"
#include "instance/retry_advice.h"
#include "instance/store_contact.h"
#include "instance/store_protocol.h"
#include "tasks/job_table.h"
#include "tasks/load_table.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace rattan::instance {

struct GatewayOptions {
    std::size_t maxWaitingRequests { 2000 }; // About 5 KB each, including the job.
    std::size_t maxUnreadRecords { 20000 }; // Records that were or may have been appended but were not read back; about 100 bytes each. Submissions are refused above this.
    std::size_t maxJobBytes { std::numeric_limits<std::size_t>::max() }; // Of all jobs, as the job table counts them. Submissions are refused above this.
    std::size_t maxRecordBytes { 262144 }; // Of a key and its value. A job with a larger record is rejected.
    std::size_t maxUnknownCancels { 10000 }; // Kept cancels of jobs that were never submitted; about 200 bytes each. Further ones are refused.
    Millis maxAnswerTime { 2500 }; // Callers time out after three seconds, and the answer needs time to reach them.
    Millis answerMargin { 300 }; // Part of the caller's timeout that is reserved for sending the answer; at most half of it.
    Millis maxConfigurationAge { 4000 }; // API keys are not accepted if the configuration was last confirmed longer ago.
    Millis maxPendingCountAge { 1800 }; // The reported number of pending jobs may be at most two seconds old.
    // A request for the state of a running job waits this long for the end of the job, and is
    // answered as soon as the end is known. Callers poll when they expect the end, and poll
    // again after a pause. The end becomes known here shortly after it happened, so an
    // immediate "running" would delay the caller by a whole pause.
    Millis jobEndWait { 200 };
    Millis repeatDelay { 100 }; // Pause after a rejected repeat of an append, so that a store that rejects appends gets few of them.
    Millis readBackTime { 150 }; // For reading back after a lost outcome, including one retry, before a peer is asked.
    Millis maxSuspension { 120000 }; // After a longer one, submissions are refused for `staleRequestTime`.
    Millis staleRequestTime { 2000 }; // Requests that were in sockets are read in this time.
    Millis minPeerTime { 200 }; // With less time left, a peer is not asked.
};

struct GatewayAnswer {
    std::uint64_t ticket { 0 };
    CallerAnswer answer;
    std::string jobId;
    Millis waitTime { 0 };
    bool isProvisional { false }; // Only for forwarding: the request still waits, and gets another answer unless it is withdrawn.
};

class Gateway {
public:
    Gateway(GatewayOptions, const CallerProtocol&, const tasks::JobTable&);

    void configurationUpdated(std::shared_ptr<const tasks::Catalog>);
    void configurationConfirmed(Millis at)
    {
        this->configurationConfirmedAt = at;
        this->contact.storeAnswered(at);
    }

    // Reports an answer of the store to a read of any stream.
    void storeAnswered(Millis now) { this->contact.storeAnswered(now); }

    // Whether the jobs stream should be read at once to find out whether the store still answers.
    bool shouldProbeStore(Millis now) const { return this->jobsLoaded && this->contact.shouldProbe(now); }

    // Reports that another instance answered a forwarded request based on this configuration
    // version. Until this version is read here, requests are refused: an older configuration
    // may lack a queue that was served a moment ago, and its caller would get "no such queue".
    void requireConfigurationVersion(std::int64_t version) { this->minConfigurationVersion = std::max(this->minConfigurationVersion, version); }

    // Reports that a job was accepted under this configuration version. Until it is read here, nothing
    // is denied by an older one: it may lack the queue of that very job.
    void configurationSeen(std::int64_t version) { this->seenConfigurationVersion = std::max(this->seenConfigurationVersion, version); }

    // The newest configuration version that is known to exist, in use here or not.
    std::int64_t newestConfigurationVersion() const { return std::max({ this->catalog->version, this->minConfigurationVersion, this->seenConfigurationVersion }); }

    // The version that a peer must have to decide a request, or 0 if this instance has the newest one
    // and has checked the request by it. A peer with an older one could accept a revoked key.
    std::int64_t requiredOfPeers() const { return this->catalog->version < this->newestConfigurationVersion() ? this->newestConfigurationVersion() : 0; }

    // Reports that the job table contains every record that was appended before `confirmedAt`.
    void jobsConfirmed(Millis confirmedAt, Millis now);
    void jobsReadFailed(Millis now) { this->jobsReadFailedAt = now; }

    // Reports that the process was suspended until now. Submissions that came meanwhile may be older
    // than the cancels of their jobs are kept.
    void resumed(Millis suspension, Millis now);

    // Sets whether the store serves no instance, so that callers should wait longer.
    void setStoreAway(bool away, Millis now) { this->retryAdvice.setStoreAway(away, now); }

    // Sets whether a request can be forwarded to another instance at present.
    void setPeerAvailable(bool available) { this->peerAvailable = available; }

    void jobChanged(const std::string& id, Millis now);

    // Reports a record of the jobs stream. Returns whether it is about the load of a queue; such a
    // record is none of the job table's.
    bool loadRecordRead(const StoreRecord& record, Millis now) { return this->loads.apply(record.key, record.value, record.offset, now); }

    void handleRequest(std::uint64_t ticket, const CallerRequest&, Millis now, Millis wallTime);

    // Removes and returns the oldest records to append, at least one if there are any. The
    // outcome of each must be reported with appendCompleted().
    std::vector<StoreRecord> takeRecords(std::size_t maxRecords, std::size_t maxBytes);
    void appendCompleted(const std::vector<std::string>& keys, AppendStatus, Millis now);

    // Sets the time by which every request is answered, whether received before or after this
    // call. Used at shutdown.
    void setAnswerDeadline(Millis at) { this->answerDeadline = at; }

    void step(Millis now);
    std::vector<GatewayAnswer> takeAnswers();

    // Reports that a peer has answered a request that got a provisional answer here.
    void withdraw(std::uint64_t ticket) { this->waitingRequests.erase(ticket); }

    // True while a request waits until the jobs stream is read up to the time of the request, or
    // up to the time at which the outcome of its append was lost.
    bool needsJobsRead() const;

    // True while a request waits for the end of a running job.
    bool isAwaitingJobEnd() const;

    // Whether the configuration and the jobs have been read since the start.
    bool isLoaded() const { return this->hasConfiguration && this->jobsLoaded; }

    // Whether API keys can be checked with the configuration that was read.
    bool hasCurrentConfiguration(Millis now) const { return now - this->configurationConfirmedAt < this->options.maxConfigurationAge; }

    bool isStoreReachable(Millis now) const { return this->contact.isReachable(now); }

    // Whether requests of all kinds can be served here.
    bool isReady(Millis now) const { return this->isLoaded() && this->hasCurrentConfiguration(now) && this->isStoreReachable(now); }
    std::size_t waitingCount() const { return this->waitingRequests.size(); }
    const tasks::Catalog& configuration() const { return *this->catalog; }

private:
    enum class AwaitedEvent {
        RecordStored, // The record of the request is durable.
        JobsConfirmed, // The jobs stream was read up to `readUpTo`. A cancel that waits for it is durable.
        JobEnd, // The running job ended; waits only for `jobEndWait`.
    };

    struct WaitingRequest {
        CallerRequest request; // Without the body.
        AwaitedEvent awaited { AwaitedEvent::RecordStored };
        std::string jobId;
        std::string recordKey; // Key of the record that has to be durable; empty if there is none.
        std::int64_t configurationVersion { 0 }; // The version by which its queue and key were checked.
        Millis receivedAt { 0 };
        Millis readUpTo { 0 }; // For AwaitedEvent::JobsConfirmed.
        Millis deadline { 0 };
        Millis callerDeadline { 0 }; // When the caller gives up; 0 if unknown.
        bool peerAsked { false };
        Millis overloadRetry { 0 }; // For a submission that is refused once the jobs stream was read: when to try again.
        bool sent { false }; // Whether an append of the record may have been executed.
    };

    struct InFlightRecord {
        int appends { 0 }; // Without an outcome yet.
        std::string value;
    };

    // A record that requests wait for and whose last append has no known effect.
    struct RecordInDoubt {
        std::string value;
        Millis since { 0 }; // A read that began later shows whether the record was stored by then.
        Millis repeatAt { 0 }; // It is not appended again before this time.
        bool rejected { false }; // Whether the store rejected the last append, after an earlier one with a lost outcome.
    };

    Millis answerTimeOf(Millis callerTimeout) const;
    void submit(std::uint64_t ticket, WaitingRequest, const std::string& body, const tasks::Queue&, std::string workspace, Millis now, Millis wallTime);
    void cancel(std::uint64_t ticket, WaitingRequest, Millis now);
    void answerUnknownCancel(std::uint64_t ticket, const WaitingRequest&, Millis now);
    void settleDurableCancel(const std::string& jobId);
    void reportState(std::uint64_t ticket, WaitingRequest, Millis now);
    void queueRecord(std::uint64_t ticket, WaitingRequest, std::string value);
    bool keepInDoubt(const std::string& key, std::string value, AppendStatus, Millis now);
    void repeatRecordsInDoubt(Millis now);
    void askPeers(Millis now);
    bool shouldAskPeer(const WaitingRequest&, Millis now) const;
    bool isAwaited(const std::string& recordKey) const;
    bool canAnswer(const WaitingRequest&, const tasks::JobEntry&) const;
    void answer(std::uint64_t ticket, const WaitingRequest&, CallerAnswer, Millis now);
    void deny(std::uint64_t ticket, const WaitingRequest&, Outcome, Millis now);
    void refuseOverload(std::uint64_t ticket, const WaitingRequest&, Millis now);
    void refuse(std::uint64_t ticket, const WaitingRequest&, RefusalCause, std::string why, Millis now);
    Millis retryDelay(const WaitingRequest&, RefusalCause, Millis now) const;
    std::vector<std::pair<std::uint64_t, WaitingRequest>> takeWaiting(const std::function<bool(const WaitingRequest&)>&);
    std::size_t allJobBytes() const;
    bool isPossiblyStored(const std::string& recordKey) const;
    bool isJobPossiblyStored(const std::string& jobId) const;

    const GatewayOptions options;
    const CallerProtocol& protocol;
    const tasks::JobTable& jobs;
    tasks::LoadTable loads;
    std::shared_ptr<const tasks::Catalog> catalog;
    bool hasConfiguration { false };
    std::int64_t minConfigurationVersion { 0 };
    std::int64_t seenConfigurationVersion { 0 };
    Millis answerDeadline { std::numeric_limits<Millis>::max() };
    bool jobsLoaded { false };
    StoreContact contact;
    RetryAdvice retryAdvice;
    Millis configurationConfirmedAt { 0 };
    Millis jobsConfirmedAt { 0 };
    Millis jobsReadFailedAt { 0 };
    Millis refusesSubmissionsUntil { 0 };
    bool peerAvailable { false };
    std::map<std::uint64_t, WaitingRequest> waitingRequests;
    std::vector<StoreRecord> records; // Queued for the next append.
    std::map<std::string, InFlightRecord> inFlightRecords; // By record key; at most as many as the caller takes at once.
    std::map<std::string, RecordInDoubt> recordsInDoubt; // By record key; each has a waiting request.
    std::map<std::string, Millis> unresolvedRecords; // Time at which the outcome of an append was lost, by record key; the store may still execute it.
    std::map<std::string, std::size_t> unreadJobBytes; // What jobs will take that may be stored and were not read back, by record key.
    std::map<std::string, Millis> storedRecords; // Time at which an append was acknowledged, by record key, until the record is read back.
    std::vector<GatewayAnswer> answers;
};

} // namespace rattan::instance
