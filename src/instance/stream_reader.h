#pragma once

// Follows one stream of the store: loads the newest record of each key, then
// reads on from there, and loads again when what it was to read is not kept any
// more.
//
//     StreamReader reader(client, protocol, { .stream = Stream::Jobs, .address = store }, handler);
//     reader.start(now);
//     reader.step(now);                  // at least ten times a second
//
// Every record is told at least once, with its offset; after a reload also
// records that were told before. confirmedAt() is a time such that whatever was
// appended before it has been told. One call at a time is under way, and a second
// one after probe(). On the thread of its client.

#include "http/async_client.h"
#include "instance/store_protocol.h"

#include <string>
#include <vector>

namespace rattan::instance {

struct StreamReaderOptions {
    Stream stream { Stream::Jobs };
    std::string address;
    Millis wait { 1000 }; // How long a read may wait for a record: what the caller may hear late of a silent connection.
    Millis readInterval { 0 }; // Between two reads that do not wait; for streams that change all the time.
    Millis batchInterval { 0 }; // After records were read, so that those that follow closely share a read; nobody waits for them.
    Millis timeout { 1200 }; // Beyond the wait; answers take a few milliseconds on good days.
};

class StreamHandler {
public:
    virtual ~StreamHandler() = default;
    virtual void recordRead(Stream, const StoreRecord&, Millis now) = 0;

    // Loading begins anew: keys that are not told again are gone.
    virtual void loadBegun(Stream) = 0;

    // The reader is where the stream ended at `end`.
    virtual void streamConfirmed(Stream, std::int64_t end, Millis confirmedAt, Millis now) = 0;
    virtual void streamFailed(Stream, const std::string& why, Millis now) = 0;
};

class StreamReader {
public:
    StreamReader(http::AsyncClient&, const StoreProtocol&, const Clock&, StreamReaderOptions, StreamHandler&);

    void step(Millis now);

    // Reads at once, beside a read that waits for records.
    void probe();

    // While somebody waits for the next record, it is read as soon as it is there.
    void setLowLatency(bool lowLatency) { this->lowLatency = lowLatency; }

    Millis confirmedAt() const { return this->confirmedTime; }
    bool loaded() const { return this->nextOffset >= 0 && !this->loading; }

private:
    bool shouldWait() const;
    void load();
    void read(Millis wait, bool isProbe);
    void pageRead(const http::Reply&, Millis sentAt);
    void recordsRead(const http::Reply&, std::int64_t from, Millis wait, Millis sentAt);
    void failed(const std::string& why);
    void confirm(Millis at);

    http::AsyncClient& client;
    const StoreProtocol& protocol;
    const Clock& clock;
    const StreamReaderOptions options;
    StreamHandler& handler;

    std::int64_t nextOffset { -1 }; // The offset to read from; below 0: nothing loaded yet.
    bool loading { false };
    std::string lastLoadedKey; // The last key of the last page.
    std::int64_t loadEnd { -1 };
    Millis loadSentAt { 0 };
    bool callInFlight { false };
    bool probeInFlight { false };
    Millis nextReadAt { 0 };
    Millis batchUntil { 0 };
    bool lowLatency { false };
    Millis retryDelay { 0 };
    Millis confirmedTime { 0 };
};

} // namespace rattan::instance
