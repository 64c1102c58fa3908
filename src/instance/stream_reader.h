#pragma once

// Follows one stream of the store: loads the newest record of each key, then reads the
// following records. If the next records are no longer kept, it loads again.
//
//     StreamReader reader(client, protocol, clock, { .stream = Stream::Jobs, .address = store }, handler);
//     reader.step(now); // at least ten times a second
//
// The handler gets every record at least once, with its offset; a reload repeats earlier
// records. Every record that was appended before confirmedAt() has been delivered. One call
// is in flight at a time, and a second one after probe(). Use it only on the client's thread.

#include "http/async_client.h"
#include "instance/store_protocol.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattan::instance {

struct StreamReaderOptions {
    Stream stream { Stream::Jobs };
    std::string address;
    Millis wait { 1000 }; // How long a read may wait for a record. Also delays the detection of a silent connection.
    Millis readInterval { 0 }; // Pause between two reads, for streams that change continuously. If it is not 0, reads do not wait for records.
    Millis batchInterval { 0 }; // Pause after a read that returned records, so that records that follow closely share the next read. Not used in low-latency mode.
    Millis timeout { 1200 }; // In addition to the wait. Responses usually take a few milliseconds.
};

class StreamHandler {
public:
    virtual ~StreamHandler() = default;
    virtual void recordRead(Stream, const StoreRecord&, Millis now) = 0;

    // A load begins. Keys that it does not deliver no longer exist.
    virtual void loadStarted(Stream) = 0;

    // The reader has delivered the stream up to its end, at offset `end`.
    virtual void streamConfirmed(Stream, std::int64_t end, Millis confirmedAt, Millis now) = 0;
    virtual void streamFailed(Stream, const std::string& why, Millis now) = 0;
};

class StreamReader {
public:
    StreamReader(http::AsyncClient&, const StoreProtocol&, const Clock&, StreamReaderOptions, StreamHandler&);

    void step(Millis now);

    // Reads immediately, in parallel to a read that waits for records. Does nothing during the
    // pause after a failed read, so call it until confirmedAt() is late enough.
    void probe();

    // Reports that the store has answered a call of another reader. A stream that was not read
    // since an outage is then read at once: a call sent during the outage may hang for another
    // second, and callers with keys are refused until the configuration is confirmed.
    void storeAnswered(Millis now);

    // In low-latency mode, records are read as soon as they are appended, without batching.
    void setLowLatency(bool lowLatency) { this->lowLatency = lowLatency; }

    Millis confirmedAt() const { return this->confirmedTime; }
    bool loaded() const { return this->nextOffset >= 0 && !this->loading; }

private:
    bool shouldWait() const;
    void load();
    void read(Millis wait, bool isProbe);
    bool isOverdue(Millis now) const;
    void handlePage(const http::Reply&, Millis sentAt);
    void handleRecords(const http::Reply&, std::int64_t from, Millis wait, Millis sentAt);
    void handleFailure(const std::string& why);
    void confirm(Millis at);

    http::AsyncClient& client;
    const StoreProtocol& protocol;
    const Clock& clock;
    const StreamReaderOptions options;
    StreamHandler& handler;

    std::int64_t nextOffset { -1 }; // The offset of the next read; negative if a load is needed first.
    bool loading { false };
    std::string lastLoadedKey; // The last key of the previous page.
    std::int64_t endAtLoadStart { -1 };
    Millis loadSentAt { 0 };
    bool callInFlight { false };
    std::uint64_t callNumber { 0 }; // Of the last call; the answers of earlier ones are ignored.
    Millis answerDueAt { 0 }; // When the call in flight should have been answered.
    bool probeInFlight { false };
    Millis failedAt { 0 }; // When the last call failed.
    Millis nextReadAt { 0 };
    Millis batchUntil { 0 };
    bool lowLatency { false };
    Millis retryDelay { 0 };
    Millis confirmedTime { 0 };
};

} // namespace rattan::instance
