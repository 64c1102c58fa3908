#pragma once

// The streams of the log stand-in: records with offsets that count up by one,
// trimmed from the oldest end. Pure; the caller brings time and locking.

#include "base/clock.h"
#include "base/json.h"

#include <deque>
#include <map>
#include <string>

namespace rattan::testing {

struct LogLimits {
    std::size_t streams { 256 };
    std::size_t recordsPerStream { 100000 };
    std::size_t bytesPerStream { 64 << 20 };
    Millis retention { 0 }; // Records older than this are trimmed; 0: never.
    std::int64_t appendsPerSecond { 600 };
};

struct StoredRecord {
    Millis at { 0 }; // Of the monotonic clock, for retention.
    Millis wall { 0 };
    std::string value; // JSON text.
};

struct StoredStream {
    std::uint64_t firstKept { 0 };
    std::size_t bytes { 0 };
    std::deque<StoredRecord> records;

    std::uint64_t next() const { return this->firstKept + this->records.size(); }
};

class LogStore {
public:
    explicit LogStore(LogLimits limits)
        : limits(limits)
    {
    }

    LogLimits& settings() { return this->limits; }

    // False when more appends come than the log takes in a second.
    bool admit(Millis now);
    // The first offset; empty when there are too many streams.
    std::optional<std::uint64_t> append(const std::string& stream, const std::vector<Json>& values, Millis now, Millis wall);
    Json page(const std::string& stream, std::uint64_t from, std::size_t limit, Millis now);
    std::uint64_t next(const std::string& stream) const;
    void trim(const std::string& stream, std::uint64_t before);
    // Streams with their first and next offsets.
    Json summary() const;

private:
    void dropOldest(StoredStream&);
    void applyRetention(StoredStream&, Millis now);

    LogLimits limits;
    std::map<std::string, StoredStream> streams;
    double tokens { 0 };
    Millis refilledAt { 0 };
    bool started { false };
};

} // namespace rattan::testing
