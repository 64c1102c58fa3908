#pragma once

// What the planner of a term appends to one stream.
//
//     TermAppender stream(Stream::Plans, term, client, store, clock, address, metrics);
//     stream.step(now);                        // in each turn: fences first, then appends
//     if (stream.fencedAt() > 0) ...           // appends of earlier terms have no effect any more
//     stream.append(records);                  // one batch at a time
//     if (stream.isIdle()) ...                 // all of it is durable
//     if (stream.isLost()) ...                 // a later term has begun, or may have
//
// A large batch goes out in parts, one after the other and each with a number of its own. A
// part goes out again, with the same number, until its fate is known: the store tells a
// repeat what became of the first. Its calls are of the group that is in use when step() is
// called, and must be abandoned before it is destroyed. On the thread of the client.

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
    void sendBatch();
    http::Call callFor(const std::vector<StoreRecord>&, std::int64_t sequenceNumber) const;
    void fenceAnswered(AppendStatus);
    void partAnswered(AppendStatus, std::size_t sent);
    std::vector<StoreRecord> nextPart() const;

    const Stream stream;
    const std::int64_t term;
    http::AsyncClient& client;
    const StoreProtocol& protocol;
    const Clock& clock;
    const std::string address;
    Metrics& metrics;
    std::vector<StoreRecord> pendingRecords; // Of the batch that is not durable yet.
    Millis fenceTime { 0 };
    std::int64_t nextSequenceNumber { 1 };
    bool callInFlight { false };
    Millis retryAt { 0 };
    bool termLost { false };
};

} // namespace rattan::instance
