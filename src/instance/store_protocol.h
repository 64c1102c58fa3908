#pragma once

// The protocol of the platform's store: append-only streams that keep the newest record of each
// key permanently. Implemented in platform/, which knows the names on the wire; this folder
// uses only streams and records.

#include "base/clock.h"
#include "base/error.h"
#include "http/client.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattan::instance {

enum class Stream {
    Configuration, // The operators' configuration; read-only.
    Workers, // What workers publish about themselves; read-only.
    Jobs, // Jobs, cancels, and the states that callers see.
    Claims, // Claims of the planning instance.
    Plans, // Progress of unfinished jobs, for the next planner.
};

std::string_view nameOf(Stream);

struct StoreRecord {
    std::string key;
    std::string value; // If empty, the record deletes the key.
    std::int64_t offset { 0 };
};

// The store accepts the appends of a producer in the order of their numbers, each once, and
// rejects them after an append of a later epoch.
struct Producer {
    std::string name;
    std::int64_t epoch { 0 };
    std::int64_t number { 0 };
};

struct AppendConditions {
    std::optional<std::int64_t> expectedEnd; // The append is executed only if the stream ends at this offset.
    std::optional<Producer> producer;
};

enum class AppendStatus {
    Appended,
    EndMoved, // The stream ends at another offset, possibly because this append succeeded and its response was lost.
    Fenced, // A later epoch has begun.
    WrongNumber, // The producer's number is wrong; AppendReply::expectedNumber is the right one.
    NotAppended,
    Unknown, // The append may have been executed, or may be executed later.
};

std::string_view nameOf(AppendStatus);

struct AppendReply {
    AppendStatus status { AppendStatus::Unknown };
    std::int64_t end { -1 }; // End of the stream, or -1 if unknown.
    std::int64_t expectedNumber { -1 };
};

struct ReadReply {
    std::int64_t end { 0 };
    std::vector<StoreRecord> records;
    bool dropped { false }; // The requested records are no longer kept.
};

struct NewestPage {
    std::vector<StoreRecord> records;
    bool hasMore { false };
    std::int64_t end { 0 };
};

class StoreProtocol {
public:
    virtual ~StoreProtocol() = default;

    // The caller of these functions sets the timeouts of the calls.
    virtual http::Call append(Stream, const std::vector<StoreRecord>&, const AppendConditions&) const = 0;
    virtual AppendReply parseAppend(const http::Reply&) const = 0;

    virtual http::Call read(Stream, std::int64_t from, Millis wait) const = 0;
    virtual Result<ReadReply> parseRead(const http::Reply&, std::int64_t from) const = 0;

    virtual http::Call listNewest(Stream, const std::string& afterKey) const = 0;
    virtual Result<NewestPage> parseNewest(const http::Reply&) const = 0;
};

} // namespace rattan::instance
