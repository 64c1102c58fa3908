#pragma once

// Appends the records of one planning term to one stream.
//
//     TermAppender appender(Stream::Plans, term, client, store, clock, address, metrics);
//     appender.step(now);              // in each iteration: fences first, then appends
//     if (appender.fencedAt() > 0) ... // appends of earlier terms can no longer take effect
//     appender.append(records);        // one batch at a time
//     if (appender.isIdle()) ...       // the whole batch is durable
//     if (appender.isLost()) ...       // a later term has begun, or may have begun
//
// A large batch is sent in parts, sequentially, each with its own sequence number. A part is
// repeated with the same number until its outcome is known: the store answers a repeat with
// the outcome of the first transmission, or with the number that it expects, which shows whether
// an earlier transmission was executed. Calls belong to the client's group that is in use
// when step() is called, and must be abandoned before the object is destroyed. Use it only
// on the client's thread.

#include "base/metrics.h"
#include "http/async_client.h"
#include "instance/store_protocol.h"

#include <string>
#include <vector>

namespace rattan::instance {

class TermAppender {
public:
    TermAppender(Stream, std::int64_t term, http::AsyncClient&, const StoreProtocol&, const Clock&, std::string storeAddress, Metrics&);
    TermAppender(const TermAppender&) = delete;
    TermAppender& operator=(const TermAppender&) = delete;

    void step(Millis now);
    void append(std::vector<StoreRecord>);

    Millis fencedAt() const { return this->fenceTime; }
    bool isIdle() const { return this->pendingRecords.empty(); }
    bool isLost() const { return this->termLost; }

private:
    void fence();
    void sendPart();
    http::Call callFor(const std::vector<StoreRecord>&, std::int64_t sequenceNumber) const;
    void handleFenceReply(const AppendReply&, bool wasResent);
    void handlePartReply(const AppendReply&, bool wasResent, std::size_t sent);
    void completePart(std::size_t sent);
    bool canRestartNumbers(const AppendReply&) const;
    std::vector<StoreRecord> nextPart() const;

    const Stream stream;
    const std::int64_t term;
    http::AsyncClient& client;
    const StoreProtocol& protocol;
    const Clock& clock;
    const std::string address;
    Metrics& metrics;
    std::vector<StoreRecord> pendingRecords; // The part of the current batch that is not durable yet.
    Millis fenceTime { 0 };
    std::int64_t nextSequenceNumber { 1 };
    bool callInFlight { false };
    Millis retryAt { 0 };
    int fencesInDoubt { 0 }; // Transmissions of the fence with a lost response; each may be executed late.
    bool partInDoubt { false }; // Whether a transmission of the current part may have been executed.
    bool anyPartInDoubt { false }; // The same for any part of the term.
    bool termLost { false };
};

} // namespace rattan::instance
