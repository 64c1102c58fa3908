#pragma once

// An HTTP/1.1 server based on ulfius, with limits on connections, bodies and waits.
//
//     http::Server server({ .address = "127.0.0.1:8080", .maxBodyBytes = 65536 });
//     server.route("GET", "/v1/jobs/:key", [&](const http::Request& request) { ... });
//     if (auto error = attemptVoid([&] { return server.start(); })) ...
//     server.drain();  // each answer closes its connection, so that callers reconnect
//     server.stop();   // no new connections; waits for requests in progress
//
// Each connection has its own thread, on which handlers run and can block; there are at
// most maxConnections of them. An exception in a handler is answered with 500 and does
// not end the process. A path without a route is answered with 404, and a route without the
// method with 405, each with the JSON error of http/answer.h.
//
// Memory: a connection takes a thread, a buffer and a body of up to smallBodyBytes. Larger bodies
// share bodyBudgetBytes, counted from the announced size if there is one. A body above its limit or
// without room in the budget is not read to its end: the request is answered by the handler of
// refused bodies, or else with 413 or 503, and the connection is closed. A large body that has been
// in transfer for seconds gives way to one that finds no room.
//
// When all connections but spareConnections are open, each new one closes the one that has waited
// longest for its client.
//
// Handlers must return within the limit given to stop(): they are not interrupted, and stop()
// returns only after them. Add routes before start().

#include "base/clock.h"
#include "base/error.h"
#include "http/answer.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>

namespace rattan::http {

struct ServerOptions {
    std::string address { "127.0.0.1:0" }; // IP:PORT; port 0 selects a free port.
    std::int64_t maxBodyBytes { 1 << 20 };
    std::function<std::int64_t()> currentMaxBodyBytes; // If set, the limit at present; 0 for maxBodyBytes. Any thread.
    std::size_t smallBodyBytes { 8 << 10 };
    std::size_t bodyBudgetBytes { std::numeric_limits<std::size_t>::max() };
    std::int64_t maxConnections { 512 };
    std::int64_t spareConnections { 0 }; // 0: nothing is closed for a new connection, which is closed itself.
    std::int64_t idleTimeoutSeconds { 60 }; // Connections without traffic are closed after this time.
    std::int64_t stopTimeoutSeconds { 10 }; // Longest time that stop() waits for requests in progress.
};

struct StopReport {
    std::int64_t inProgress { 0 }; // Requests that were read at least in part when the stop began.
    std::int64_t interrupted { 0 }; // Requests that were read completely but not answered within the limit.
};

using Handler = std::function<Answer(Request)>;

class Server {
public:
    explicit Server(ServerOptions);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    void route(const std::string& method, const std::string& pattern, Handler);

    // Handles every request whose path has no route, instead of the answer 404.
    void fallback(Handler);

    // Handles every request whose body is refused, instead of the answer 413 or 503. The body is
    // empty, and Request::bodyRefusal tells why.
    void refusedBodies(Handler);

    // Fails with Unavailable if the server cannot listen on the address.
    Result<void> start();

    // From now on, each answer closes its connection.
    void drain() { this->draining = true; }
    bool isDraining() const { return this->draining; }

    // Accepts no new connections, completes the answer to each request in progress and
    // closes its connection; after the limit in milliseconds, closes the remaining
    // connections too. Idempotent.
    StopReport stop(Millis limit);
    StopReport stop(); // With stopTimeoutSeconds as the limit.

    // The address that the server listens on, including the selected port.
    const std::string& address() const { return this->options.address; }

    // Calls the handler of a pattern as the server does; for tests of handlers.
    Answer handle(const std::string& pattern, Request) const;

    // Answers a request whose body is refused.
    Answer handleRefusal(Request) const;

    // The limit of a body that is in force, in bytes.
    std::int64_t maxBodyBytes() const;

    // How much of bodyBudgetBytes is in use.
    std::size_t reservedBodyBytes() const;

    const ServerOptions& limits() const { return this->options; }

private:
    struct Native;

    ServerOptions options;
    std::map<std::string, std::map<std::string, Handler>> routes; // By pattern, then by method.
    Handler fallbackHandler;
    Handler refusalHandler;
    std::atomic<bool> draining { false };
    std::unique_ptr<Native> native;
};

} // namespace rattan::http
