#pragma once

// A blocking HTTP/1.1 client based on libcurl.
//
//     http::Client client({ .maxIdleHandles = 16 });
//     http::Call call { .method = "POST", .address = "127.0.0.1:9000", .path = "/v1/exchange", .body = text };
//     call.timeout = std::chrono::milliseconds(500);
//     const http::Reply reply = client.send(call);
//     if (reply.error) ...            // reply.sendOutcome says whether the peer can have acted
//
// The client uses libcurl directly instead of the client of ulfius, which does not
// report whether any byte of a request left this process; at-most-once execution
// depends on this. A connection is reused only after its answer has been read
// completely. A call with `once` always uses a new connection, which no other call
// reuses, because libcurl silently resends a request if a reused connection turns out
// to be dead. Redirects are not followed and proxies are not used. Thread-safe; a call
// blocks.

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

// A request and the options for sending it.
struct Call {
    std::string method { "GET" };
    std::string address; // IP:PORT
    std::string path { "/" };
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    std::chrono::milliseconds timeout { 2000 };
    std::chrono::milliseconds connectTimeout { 500 };
    std::size_t maxReplyBytes { 4 << 20 }; // A longer body of the answer is an error.
    bool once { false }; // The request is never sent twice, even if its connection breaks.
    // Whether libcurl can resend the request if a reused connection turns out to be dead;
    // it always can if the request has no body. Set this only if the code that reads the
    // reply checks Reply::wasResent().
    bool canResend { false };
    // Whether the timeout restarts whenever bytes are received, for answers that take long
    // to transfer over a slow link. Only AsyncClient supports this.
    bool restartTimeoutOnData { false };
    std::string_view purpose { "other" }; // Key of the traffic counters; must be a string constant.
};

// Whether the request was sent and answered.
enum class SendOutcome {
    NotSent, // No byte of the request was sent: the peer cannot have acted.
    PossiblySent, // Part or all of the request was sent, and no complete answer was received.
    Answered, // A complete answer was received.
};

// The answer to a call, or the error that prevented it.
struct Reply {
    SendOutcome sendOutcome { SendOutcome::NotSent };
    int transmissions { 0 }; // How often the request was sent, including resends by libcurl.
    std::chrono::milliseconds resendDelay { 0 }; // Time from the first to the last transmission.
    int status { 0 };
    std::string body;
    std::map<std::string, std::string> headers; // Names in lower case.
    std::optional<Error> error; // Set unless sendOutcome is Answered.

    // Whether the request was sent more than once. If so, the peer has possibly acted on an
    // earlier transmission: a rejection applies only to the last one.
    bool wasResent() const { return this->transmissions > 1; }

    // Whether a complete answer with a status of 200 to 299 was received.
    bool ok() const { return !this->error && this->status >= 200 && this->status < 300; }
};

struct ClientOptions {
    std::size_t maxIdleHandles { 32 }; // Idle libcurl handles kept for reuse, each with its own connections.
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
