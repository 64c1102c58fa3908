#pragma once

// An HTTP/1.1 client that runs many calls concurrently on one thread.
//
//     http::AsyncClient client({ .maxConnectionsPerPeer = 3 }, clock);
//     client.send(call, [&](const http::Reply& reply) { ... });
//     while (running)
//         client.run(100ms);       // waits for answers and calls the handlers
//
// Handlers run inside run() and can send further calls. The handler of a call is called
// exactly once, soon after the timeout at the latest, unless cancelGroup() cancels the
// call. An answer that has arrived is never reported as a timeout, however late run()
// reads it. The timeout of a request that is sent after it begins anew. If a reused connection turns out to be dead, libcurl opens a new one and
// resends the request, provided that it has no body or its `canResend` is true;
// Reply::wasResent() reports this. Only wake() is safe to call from another thread.

#include "base/clock.h"
#include "http/client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <utility>

namespace rattan::http {

struct AsyncClientOptions {
    long maxConnectionsPerPeer { 3 }; // Further calls to the same peer are queued.
    long maxIdleConnections { 1500 }; // Of all peers together: three for each of 500 workers.
};

// Totals of the calls of one purpose since the client was created.
struct Traffic {
    std::uint64_t calls { 0 }; // Calls that ended: answered, failed or cancelled.
    std::uint64_t connections { 0 }; // Connections opened for these calls.
    std::uint64_t bytesSent { 0 };
    std::uint64_t bytesReceived { 0 };
};

class AsyncClient {
public:
    using Handler = std::function<void(const Reply&)>;

    // Timeouts are measured with the clock, which must outlive the client.
    AsyncClient(AsyncClientOptions, const Clock&);
    ~AsyncClient();
    AsyncClient(const AsyncClient&) = delete;
    AsyncClient& operator=(const AsyncClient&) = delete;

    // Starts the call; the handler is called by run().
    void send(Call, Handler);

    // Waits up to maxWait for events, then handles them.
    void run(std::chrono::milliseconds maxWait);

    // Ends the wait in run(). Thread-safe.
    void wake();

    // Cancels every call of the group without calling its handler. The peer can still act
    // on a request that was already sent.
    void cancelGroup(int group);

    // Sets the group of the calls sent from now on; returns the previous group.
    int setGroup(int group) { return std::exchange(this->group, group); }

    std::size_t callsInFlight() const;

    // Calls that ended without an answer at their timeout, since the client was created.
    std::uint64_t timedOutCalls() const;

    // The totals of each Call::purpose.
    const std::map<std::string_view, Traffic>& traffic() const;

private:
    struct Native;

    int group { 0 };
    std::unique_ptr<Native> native;
};

// Assigns the calls sent during its lifetime to a group.
class ScopedCallGroup {
public:
    ScopedCallGroup(AsyncClient& client, int group)
        : client(client)
        , previousGroup(client.setGroup(group))
    {
    }
    ~ScopedCallGroup() { this->client.setGroup(this->previousGroup); }
    ScopedCallGroup(const ScopedCallGroup&) = delete;
    ScopedCallGroup& operator=(const ScopedCallGroup&) = delete;

private:
    AsyncClient& client;
    const int previousGroup;
};

} // namespace rattan::http
