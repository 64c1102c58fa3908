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
// the time of the request. API keys are accepted only while the configuration was
// confirmed recently enough.
//
// Limits: at most `maxWaitingRequests` requests wait at the same time. Further requests are
// refused immediately, and so are submissions while `maxUnreadRecords` records have not been
// read back yet. Each request is answered within its caller's timeout.

#include "instance/caller_protocol.h"
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
    Millis maxAnswerTime { 2500 }; // Callers time out after three seconds, and the answer needs time to reach them.
    Millis answerMargin { 300 }; // Part of the caller's timeout that is reserved for sending the answer.
    Millis maxConfigurationAge { 4000 }; // API keys are not accepted if the configuration was last confirmed longer ago.
    Millis maxPendingCountAge { 1800 }; // The reported number of pending jobs may be at most two seconds old.
    // A request for the state of a running job waits this long for the end of the job, and is
    // answered as soon as the end is known. Callers poll when they expect the end, and poll
    // again after a pause. The end becomes known here shortly after it happened, so an
    // immediate "running" would delay the caller by a whole pause.
    Millis jobEndWait { 200 };
    Millis maxStoreSilence { 1200 }; // Without a confirmed read for longer, the store counts as unreachable.
};

struct GatewayAnswer {
    std::uint64_t ticket { 0 };
    CallerAnswer answer;
    std::string jobId; // For logging only.
    Millis waitTime { 0 };
};

class Gateway {
public:
    Gateway(GatewayOptions, const CallerProtocol&, const tasks::JobTable&);

    void configurationUpdated(std::shared_ptr<const tasks::Catalog>);
    void configurationConfirmed(Millis at) { this->configurationConfirmedAt = at; }

    // Reports that another instance answered a forwarded request based on this configuration
    // version. Until this version is read here, requests are refused: an older configuration
    // may lack a queue that was served a moment ago, and its caller would get "no such queue".
    void requireConfigurationVersion(std::int64_t version) { this->minConfigurationVersion = std::max(this->minConfigurationVersion, version); }

    // Reports that the job table contains every record that was appended before `confirmedAt`.
    void jobsConfirmed(Millis confirmedAt, Millis now);
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

    // True while a request waits until the jobs stream is read up to the time of the request.
    bool needsJobsRead() const;

    // True while a request waits for the end of a running job.
    bool isAwaitingJobEnd() const;

    bool isReady(Millis now) const;
    std::size_t waitingCount() const { return this->waitingRequests.size(); }
    const tasks::Catalog& configuration() const { return *this->catalog; }

private:
    enum class AwaitedEvent {
        RecordStored, // The record of the request is durable.
        JobsConfirmed, // The jobs stream was read up to `receivedAt`.
        JobEnd, // The running job ended; waits only for `jobEndWait`.
    };

    struct WaitingRequest {
        CallerRequest request;
        AwaitedEvent awaited { AwaitedEvent::RecordStored };
        std::string jobId;
        std::string recordKey; // Key of the record that has to be durable; empty if there is none.
        Millis receivedAt { 0 };
        Millis deadline { 0 };
        Millis overloadRetry { 0 }; // For a submission that is refused once the jobs stream was read: when to try again.
        bool sent { false }; // Whether an append of the record may have been executed.
    };

    void submit(std::uint64_t ticket, WaitingRequest, const tasks::Queue&, std::string workspace, Millis now, Millis wallTime);
    void cancel(std::uint64_t ticket, WaitingRequest, Millis now);
    void reportState(std::uint64_t ticket, WaitingRequest, Millis now);
    void queueRecord(std::uint64_t ticket, WaitingRequest, std::string value);
    bool canAnswer(const WaitingRequest&, const tasks::JobEntry&) const;
    void answer(std::uint64_t ticket, const WaitingRequest&, CallerAnswer, Millis now);
    void refuseOverload(std::uint64_t ticket, const WaitingRequest&, Millis now);
    void refuse(std::uint64_t ticket, const WaitingRequest&, std::string why, Millis now);
    std::vector<std::pair<std::uint64_t, WaitingRequest>> takeWaiting(const std::function<bool(const WaitingRequest&)>&);
    bool isPossiblyStored(const std::string& recordKey) const;
    bool isJobPossiblyStored(const std::string& jobId) const;
    bool isStoreReachable(Millis now) const;

    const GatewayOptions options;
    const CallerProtocol& protocol;
    const tasks::JobTable& jobs;
    tasks::LoadTable loads;
    std::shared_ptr<const tasks::Catalog> catalog;
    bool hasConfiguration { false };
    std::int64_t minConfigurationVersion { 0 };
    Millis answerDeadline { std::numeric_limits<Millis>::max() };
    bool jobsLoaded { false };
    Millis configurationConfirmedAt { 0 };
    Millis jobsConfirmedAt { 0 };
    std::map<std::uint64_t, WaitingRequest> waitingRequests;
    std::vector<StoreRecord> records; // Queued for the next append.
    std::map<std::string, int> inFlightRecords; // Number of appends without an outcome yet, by record key.
    std::map<std::string, Millis> unresolvedRecords; // Time at which the outcome of an append was lost, by record key; the store may still execute it.
    std::map<std::string, Millis> storedRecords; // Time at which an append was acknowledged, by record key, until the record is read back.
    std::vector<GatewayAnswer> answers;
};

} // namespace rattan::instance
