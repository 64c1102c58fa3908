#pragma once

// What the stand-ins share: an HTTP server behind a relay that can damage
// answers, a gate for outages, a bounded record of what happened, and the
// entry in the platform's instance list.

#include "base/clock.h"
#include "base/json.h"
#include "http/server.h"
#include "platform/instance_list.h"
#include "relay/relay_hub.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace rattan::testing {

// Stops every call that passes it, slows it, or refuses it with 503. The
// /control paths never pass a gate.
class Gate {
public:
    enum class Mode {
        Open,
        Refuse,
        Hang, // Waits until the mode changes; at most hangLimit.
    };
    static constexpr std::chrono::seconds hangLimit { 60 };

    // The answer to give instead of the true one; empty to go on.
    std::optional<http::Answer> pass(const std::string& step);

    // Reads {"mode":"open|refuse|hang","delay_ms":N}; other keys are ignored.
    void set(const Json&);
    Json state() const;
    // Lets everything that waits go.
    void release();

private:
    mutable std::mutex mutex;
    std::condition_variable changed;
    Mode mode { Mode::Open };
    Millis delay { 0 };
    bool released { false };
};

// The stand-in's own record, oldest dropped first and counted.
class History {
public:
    static constexpr std::size_t capacity = 20000;

    // The entry's number, by which it may be completed later.
    std::uint64_t add(Json entry);
    // Adds these fields to an entry; nothing if it was dropped meanwhile.
    void complete(std::uint64_t number, const Json& fields);
    Json toJson(Millis now) const;

private:
    mutable std::mutex mutex;
    std::deque<Json> entries;
    std::uint64_t dropped { 0 };
};

// Counts down "the next N calls".
class Countdown {
public:
    void set(std::int64_t count) { this->left = count; }
    bool take();
    std::int64_t remaining() const { return this->left; }

private:
    std::atomic<std::int64_t> left { 0 };
};

// An http::Server on an inner port and the relay that callers reach it by.
class Standin {
public:
    Standin(RelayHub&, std::string listen, std::int64_t connectionLimit);

    http::Server server;
    // Starts serving; prints one line and returns false when it cannot.
    bool start();
    const std::string& address() const { return this->publicAddress; }

private:
    RelayHub& hub;
    std::string listen;
    std::string publicAddress;
};

// Marks the answer for damage by the relay: "drop", "cut" or "extra".
void markFault(http::Answer&, const std::string& fault);

// A JSON body or the 400 that says what is wrong.
std::optional<Json> bodyOf(const http::Request&, http::Answer& refusal);

// Registers at the list stand-in as the platform would; tries for some seconds,
// because processes start in any order. An empty list address does nothing.
bool registerInstance(const std::string& list, const platform::Instance&);
void removeInstance(const std::string& list, const std::string& id);

} // namespace rattan::testing
