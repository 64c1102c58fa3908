#pragma once

// An HTTP/1.1 server on ulfius with limits on all that grows.
//
//     http::Server server({ .address = "127.0.0.1:8080", .bodyLimit = 65536 });
//     server.route("GET", "/v1/jobs/:key", [&](const http::Request& request) { ... });
//     if (auto error = attemptVoid([&] { return server.start(); })) ...
//     server.drain();  // callers are told to come back on another connection
//     server.stop();   // no new connections; waits for requests in progress
//
// Handlers run on a thread per connection, at most connectionLimit of them, and
// may block. An exception in a handler becomes a 500 and does not end the
// process. A path without a route gives 404, a route without that method 405, a
// body above the limit 413; each with the JSON error of http/answer.h.
// A handler has to end within the time that a stop gives it: it is not interrupted,
// and stop() returns after it.
// Routes are added before start().

#include "base/clock.h"
#include "base/error.h"
#include "http/answer.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace rattan::http {

struct ServerOptions {
    std::string address { "127.0.0.1:0" }; // Port 0 takes a free one.
    std::int64_t maxBodyBytes { 1 << 20 }; // Bytes.
    std::int64_t maxConnections { 512 };
    std::int64_t idleTimeoutSeconds { 60 }; // A silent connection is closed after this.
    std::int64_t stopTimeoutSeconds { 10 }; // Longest wait of stop() for requests in progress.
};

struct StopReport {
    std::int64_t inProgress { 0 }; // Requests of which something was read when the stop began.
    std::int64_t interrupted { 0 }; // Requests that were read whole, and whose answer was not written by the limit.
};

using Handler = std::function<Answer(const Request&)>;

class Server {
public:
    explicit Server(ServerOptions);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    void route(const std::string& method, const std::string& pattern, Handler);

    // Takes every request that no route fits, instead of the 404.
    void fallback(Handler);

    // Unavailable when the address cannot be taken.
    Result<void> start();

    // From now on each answer ends its connection.
    void drain() { this->draining = true; }
    bool isDraining() const { return this->draining; }

    // Takes no new connections, lets each request that was read be answered whole and
    // closes its connection; after the limit in milliseconds, what is left is closed
    // too. Idempotent.
    StopReport stop(Millis limit);
    StopReport stop(); // Limited by stopSeconds.

    // The address in use, with the port that was chosen.
    const std::string& address() const { return this->options.address; }

    // Runs the handler as the server would; for tests of handlers.
    Answer handle(const std::string& pattern, const Request&) const;

private:
    struct Native;

    ServerOptions options;
    std::map<std::string, std::map<std::string, Handler>> routes; // pattern, method
    Handler fallbackHandler;
    std::atomic<bool> draining { false };
    std::unique_ptr<Native> native;
};

} // namespace rattan::http
