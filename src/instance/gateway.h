#pragma once

// What callers are told, decided without clock, I/O or threads.
//
//     Gateway gateway({}, protocol, jobs);
//     gateway.configurationRead(catalog, confirmedAt);
//     gateway.ask(ticket, request, now);
//     for (const StoreRecord& record : gateway.takeRecords(200, 1 << 20)) append(record);
//     gateway.appended(keys, AppendStatus::Appended, now);      // what became of them
//     gateway.jobsRead(confirmedAt, now);                       // the log was read up to then
//     for (const GatewayAnswer& answer : gateway.takeAnswers()) reply(answer);
//
// Rules it keeps. A job is accepted once it is durable: its append was
// acknowledged, or it was read back. A refusal that says "not run" is given only
// where the record is not known to be stored and no append of it is under way or
// about to begin. That there is no such job is told only
// after the log was read up to the moment of the question. Keys are believed for
// as long as the text was confirmed lately enough.
//
// Bounded: at most `mostWaiting` questions wait at once; further ones are refused
// at once, and so are submissions while `mostUnread` records are yet to be read
// back. Each is answered within its caller's patience.

#include "instance/caller_protocol.h"
#include "instance/store_protocol.h"
#include "tasks/job_table.h"

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
    std::size_t maxWaitingRequests { 2000 }; // Questions; about 5 KB each with their job.
    std::size_t maxUnreadRecords { 20000 }; // Records that were or may have been appended; about 100 bytes each. Beyond, no job is taken.
    Millis maxAnswerTime { 2500 }; // Callers wait three seconds, and answers take time to arrive.
    Millis answerMargin { 300 }; // Kept of a caller's patience for the way back.
    Millis maxConfigurationAge { 4000 }; // Without a newer reading of the text no key is believed for longer.
    Millis maxPendingCountAge { 1800 }; // The number of waiting jobs may be two seconds old.
    // Who asks for the state of a running job hears this much later that it still
    // runs, or hears of its end as soon as it is known here. Callers ask when they expect
    // the end, and again after a pause: the end is known here shortly after it
    // happened, and one who was told "running" just before learns of it only then.
    Millis jobEndWait { 200 };
    Millis maxStoreSilence { 1200 }; // A store that has been silent for longer is taken as out of reach.
};

struct GatewayAnswer {
    std::uint64_t ticket { 0 };
    CallerAnswer answer;
    std::string jobId; // For the log.
    Millis waitTime { 0 };
};

class Gateway {
public:
    Gateway(GatewayOptions, const CallerProtocol&, const tasks::JobTable&);

    void configurationUpdated(std::shared_ptr<const tasks::Catalog>);
    void configurationConfirmed(Millis at) { this->configurationConfirmedAt = at; }

    // Callers here were answered by another instance from this version of the text.
    // Until it is read here nothing is decided by an older one: a caller whose queue was
    // served a moment ago would be told that there is none.
    void requireConfigurationVersion(std::int64_t version) { this->minConfigurationVersion = std::max(this->minConfigurationVersion, version); }

    // Everything appended before `confirmedAt` is in the table.
    void jobsConfirmed(Millis confirmedAt, Millis now);
    void jobChanged(const std::string& id, Millis now);

    void handleRequest(std::uint64_t ticket, const CallerRequest&, Millis now, Millis wall);

    // Records to append, each told of later in appended().
    // The oldest, and at least one, if there are any.
    std::vector<StoreRecord> takeRecords(std::size_t maxRecords, std::size_t maxBytes);
    void appendCompleted(const std::vector<std::string>& keys, AppendStatus, Millis now);

    // This instance stops: whatever is asked, before or after this call, is answered by then.
    void setAnswerDeadline(Millis at) { this->answerDeadline = at; }

    void step(Millis now);
    std::vector<GatewayAnswer> takeAnswers();

    // True while a question waits for the log to be read up to now.
    bool needsJobsRead() const;

    // True while a question waits for the end of a running job.
    bool isAwaitingJobEnd() const;

    bool isReady(Millis now) const;
    std::size_t waitingCount() const { return this->waitingRequests.size(); }
    const tasks::Catalog& configuration() const { return *this->catalog; }

private:
    enum class AwaitedEvent {
        RecordStored, // To be durable.
        JobsConfirmed, // Of the log up to `askedAt`.
        JobEnd, // Of a job that runs, for a short while.
    };

    struct WaitingRequest {
        CallerRequest request;
        AwaitedEvent awaited { AwaitedEvent::RecordStored };
        std::string jobId;
        std::string recordKey; // Key of what has to be durable.
        Millis receivedAt { 0 };
        Millis deadline { 0 };
        bool sent { false }; // An append of the record may have been carried out.
    };

    void submit(std::uint64_t ticket, WaitingRequest, const tasks::Queue&, std::string workspace, Millis now, Millis wall);
    void cancel(std::uint64_t ticket, WaitingRequest, Millis now);
    void reportState(std::uint64_t ticket, WaitingRequest, Millis now);
    void queueRecord(std::uint64_t ticket, WaitingRequest, std::string value);
    bool canAnswer(const WaitingRequest&, const tasks::JobEntry&) const;
    void answer(std::uint64_t ticket, const WaitingRequest&, CallerAnswer, Millis now);
    void refuse(std::uint64_t ticket, const WaitingRequest&, std::string why, Millis now);
    std::vector<std::pair<std::uint64_t, WaitingRequest>> takeWaiting(const std::function<bool(const WaitingRequest&)>&);
    bool isPossiblyStored(const std::string& recordKey) const;
    bool isJobPossiblyStored(const std::string& jobId) const;
    bool isStoreReachable(Millis now) const;

    const GatewayOptions options;
    const CallerProtocol& protocol;
    const tasks::JobTable& jobs;
    std::shared_ptr<const tasks::Catalog> catalog;
    bool hasConfiguration { false };
    std::int64_t minConfigurationVersion { 0 };
    Millis answerDeadline { std::numeric_limits<Millis>::max() };
    bool jobsLoaded { false };
    Millis configurationConfirmedAt { 0 };
    Millis jobsConfirmedAt { 0 };
    std::map<std::uint64_t, WaitingRequest> waitingRequests;
    std::vector<StoreRecord> records; // To be appended.
    std::map<std::string, int> inFlightRecords; // Keys of records in an append that has no outcome yet.
    std::map<std::string, Millis> unresolvedRecords; // Keys of appends that may be carried out late, and since when.
    std::map<std::string, Millis> storedRecords; // Keys of records that may not have been read back yet, and since when.
    std::vector<GatewayAnswer> answers;
};

} // namespace rattan::instance
