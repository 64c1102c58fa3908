#pragma once

// How the platform's store is spoken to: an append-only log of streams, of which
// the newest record of each key is kept for good. Implemented where the
// platform's names are known; this side knows only streams and records.

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
    Configuration, // The operators' configuration; read only.
    Workers, // What workers say of themselves; read only.
    Jobs, // Jobs, their cancelling and what callers are shown.
    Claims, // Which instance plans.
    Plans, // How far jobs are that are not over, for whoever takes over planning.
};

std::string_view nameOf(Stream);

struct StoreRecord {
    std::string key;
    std::string value; // Empty: the key is dropped.
    std::int64_t offset { 0 };
};

// Appends of one producer are taken in the order of their numbers, each once,
// and not at all after an append of a later epoch.
struct Producer {
    std::string name;
    std::int64_t epoch { 0 };
    std::int64_t number { 0 };
};

struct AppendConditions {
    std::optional<std::int64_t> expectedEnd; // Only if the log ends there.
    std::optional<Producer> producer;
};

enum class AppendStatus {
    Appended,
    Elsewhere, // The log ends elsewhere; a lost answer to this very append may be why.
    Fenced, // A later epoch has begun.
    WrongNumber, // Of the producer; `expected` tells the right one.
    NotDone,
    Unknown, // It may have been done, or may be later.
};

std::string_view nameOf(AppendStatus);

struct AppendReply {
    AppendStatus status { AppendStatus::Unknown };
    std::int64_t end { -1 }; // Of the log, where told.
    std::int64_t expected { -1 };
};

struct ReadReply {
    std::int64_t end { 0 };
    std::vector<StoreRecord> records;
    bool dropped { false }; // The records asked for are not kept any more.
};

struct NewestPage {
    std::vector<StoreRecord> records;
    bool hasMore { false };
    std::int64_t end { 0 };
};

class StoreProtocol {
public:
    virtual ~StoreProtocol() = default;

    // The time-outs of the calls are set by the caller.
    virtual http::Call append(Stream, const std::vector<StoreRecord>&, const AppendConditions&) const = 0;
    virtual AppendReply parseAppend(const http::Reply&) const = 0;

    virtual http::Call read(Stream, std::int64_t from, Millis wait) const = 0;
    virtual Result<ReadReply> parseRead(const http::Reply&, std::int64_t from) const = 0;

    virtual http::Call newest(Stream, const std::string& afterKey) const = 0;
    virtual Result<NewestPage> parseNewest(const http::Reply&) const = 0;
};

} // namespace rattan::instance
