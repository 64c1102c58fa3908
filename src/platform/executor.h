#pragma once

// An executor of a service, as the entry sees it: one operation, one answer.
//
//     ExecutorReply reply = executors.run({ .address = "127.0.0.1:9100", .operation = "hold",
//         .body = body, .deadline = std::chrono::milliseconds(800), .once = true });
//     switch (reply.fate) { ... }
//
// Every forward carries a request id of its own, which the answer has to bring
// back, and an answer counts only when it is whole and of stated length; what is
// crossed, cut short or of unknown length is Unclear and its body is dropped.
// With `once`, the request is sent at most one time over a connection of its
// own. HttpExecutors is the adapter for docs/STANDINS.md. Thread-safe; blocks.

#include "base/error.h"
#include "http/client.h"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace rattan::platform {

enum class ForwardFate {
    Answered, // The whole answer to this request was read.
    NotSent, // No byte left this process.
    Refused, // The executor says that it ran nothing (429, or 503 while leaving).
    Unclear, // It may have run; there is no answer to pass on.
};

std::string_view nameOf(ForwardFate);

struct ExecutorCall {
    std::string address;
    std::string operation;
    std::string body;
    std::chrono::milliseconds deadline { 1000 }; // Time left, also told to the executor.
    bool once { true };
    std::size_t replyLimit { 1 << 20 }; // Bytes.
};

struct ExecutorReply {
    ForwardFate fate { ForwardFate::NotSent };
    int status { 0 };
    std::string body;
    Error error; // Set unless fate is Answered.
};

class Executors {
public:
    virtual ~Executors() = default;

    virtual ExecutorReply run(const ExecutorCall&) = 0;

    // True if the executor says that it takes work.
    virtual bool healthy(const std::string& address, std::chrono::milliseconds timeout) = 0;
};

class HttpExecutors final : public Executors {
public:
    // Idle connections kept to each executor, of the 64 that it has for all
    // entries together.
    static constexpr std::size_t idleConnections = 4;

    // Executors whose connections are kept; the set starts anew above it.
    static constexpr std::size_t mostExecutors = 1000;

    ExecutorReply run(const ExecutorCall&) override;
    bool healthy(const std::string& address, std::chrono::milliseconds timeout) override;

private:
    std::shared_ptr<http::Client> clientOf(const std::string& address);

    std::mutex mutex;
    std::map<std::string, std::shared_ptr<http::Client>> clients; // By address.
};

namespace detail {

    // What a reply means for the request with this id.
    ExecutorReply readReply(const http::Reply&, const std::string& requestId, const std::string& address);

} // namespace detail

} // namespace rattan::platform
