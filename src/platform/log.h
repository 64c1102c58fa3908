#pragma once

// The platform's append-only log, as the rest of the system sees it.
//
//     const Attempt<AppendDone> done = attempt([&] { return log.append("config", { record }); });
//     if (!done && done.error.code == ErrorCode::Timeout) { /* it may have taken effect */ }
//
// The log's order within a stream is what arbitrates between instances. An
// append that failed with Timeout or Interrupted may have taken effect; one that
// failed with Unavailable or Overloaded has not. HttpLog is the adapter for the
// protocol in docs/STANDINS.md. Thread-safe.

#include "base/clock.h"
#include "base/json.h"
#include "http/client.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace rattan::platform {

struct LogRecord {
    std::uint64_t offset { 0 };
    Millis atWall { 0 };
    Json value;
};

struct LogPage {
    std::uint64_t firstKept { 0 }; // Records before this offset were trimmed.
    std::uint64_t next { 0 }; // The offset that the next append will get.
    std::vector<LogRecord> records;
};

struct AppendDone {
    std::uint64_t first { 0 };
    std::uint64_t next { 0 };
};

class Log {
public:
    virtual ~Log() = default;

    // Appends all values in order, or none.
    virtual Result<AppendDone> append(const std::string& stream, const std::vector<Json>& values) = 0;

    // Records from `from` on, at most `limit`; waits up to `wait` for the first.
    virtual Result<LogPage> read(const std::string& stream, std::uint64_t from, std::size_t limit,
        std::chrono::milliseconds wait)
        = 0;
};

class HttpLog final : public Log {
public:
    HttpLog(std::string address, std::chrono::milliseconds timeout);

    Result<AppendDone> append(const std::string& stream, const std::vector<Json>& values) override;
    Result<LogPage> read(const std::string& stream, std::uint64_t from, std::size_t limit,
        std::chrono::milliseconds wait) override;

private:
    std::string address;
    std::chrono::milliseconds timeout;
    http::Client client;
};

} // namespace rattan::platform
