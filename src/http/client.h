#pragma once

// An HTTP/1.1 client on libcurl.
//
//     http::Client client({ .poolSize = 16 });
//     http::Call call { .method = "POST", .address = "127.0.0.1:9000", .path = "/v1/exchange", .body = text };
//     call.timeout = std::chrono::milliseconds(500);
//     const http::Reply reply = client.send(call);
//     if (reply.error) ...            // what failed, and reply.sent tells how far the request got
//
// libcurl itself is used, and not the client that ulfius builds on it, because
// that one does not tell whether a byte of a request left this process; the
// at-most-once rule needs to know. A connection is reused only after its answer
// was read whole; a call marked `once` always has a connection of its own, for
// libcurl silently sends a request again when a reused connection turns out
// dead. Redirects and proxies are never followed. Thread-safe; a call blocks.

#include "base/error.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rattan::http {

struct Call {
    std::string method { "GET" };
    std::string address; // IP:PORT
    std::string path { "/" };
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    std::chrono::milliseconds timeout { 2000 };
    std::chrono::milliseconds connectTimeout { 500 };
    std::size_t maxReplyBytes { 4 << 20 }; // Bytes; a longer answer is an error.
    bool once { false }; // Never sent twice, whatever happens.
    // May be sent again when a kept connection turns out dead; what has no body always may.
    // Only where the reader of the reply heeds Reply::isRepeat().
    bool canResend { false };
    // The timeout counts from the last byte that came, for answers that a narrow link takes
    // long to carry; heeded by AsyncClient only.
    bool restartTimeoutOnData { false };
    std::string_view purpose { "other" }; // What its traffic is counted under; a constant.
};

enum class SendOutcome {
    NotSent, // No byte of the request left: the peer cannot have acted.
    PossiblySent, // Some or all of it left, and no whole answer came.
    Answered, // A whole answer was read.
};

struct Reply {
    SendOutcome sendOutcome { SendOutcome::NotSent };
    int transmissions { 0 }; // How often the request was sent, the repeats by libcurl included.
    std::chrono::milliseconds resendDelay { 0 }; // From the first transmission to the last.
    int status { 0 };
    std::string body;
    std::map<std::string, std::string> headers; // Names in lower case.
    std::optional<Error> error; // Set unless sent is Answered.

    // An earlier transmission may have been acted on: a rejection speaks for the last one only.
    bool wasResent() const { return this->transmissions > 1; }

    bool ok() const { return !this->error && this->status >= 200 && this->status < 300; }
};

struct ClientOptions {
    std::size_t maxIdleHandles { 32 }; // Idle handles kept, each with its connections.
    long maxConnectionsPerHandle { 4 };
};

class Client {
public:
    explicit Client(ClientOptions = {});
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    Reply send(const Call&);

private:
    struct Pool;

    ClientOptions options;
    std::unique_ptr<Pool> pool;
};

} // namespace rattan::http
