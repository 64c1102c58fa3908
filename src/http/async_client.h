#pragma once

// An HTTP/1.1 client for one thread with many calls under way at once.
//
//     http::AsyncClient client({ .connectionsPerPeer = 3 }, clock);
//     client.send(call, [&](const http::Reply& reply) { ... });
//     while (running)
//         client.run(100ms);       // waits for answers and calls their handlers
//
// Handlers run inside run() and may send further calls. Every call ends in
// exactly one handler call, soon after its timeout at the latest, unless abandon()
// drops it. An answer that has arrived is never taken for a timeout, however late
// run() comes to read it. A reused connection that turns out dead is replaced and the request
// sent again by libcurl if it has no body or its `resend` is true; Reply::isRepeat() tells.
// Only wake() may be called from another thread.

#include "base/clock.h"
#include "http/client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <utility>

namespace rattan::http {

struct AsyncClientOptions {
    long maxConnectionsPerPeer { 3 }; // Further calls to the same peer wait their turn.
    long maxIdleConnections { 1500 }; // Idle ones, over all peers: three to each of 500 workers.
};

// What calls of one purpose have moved since the client was made.
struct Traffic {
    std::uint64_t calls { 0 }; // That have ended, one way or the other.
    std::uint64_t connections { 0 }; // Opened for them.
    std::uint64_t bytesSent { 0 };
    std::uint64_t bytesReceived { 0 };
};

class AsyncClient {
public:
    using Handler = std::function<void(const Reply&)>;

    // The clock, which outlives the client, tells when a call has waited too long.
    AsyncClient(AsyncClientOptions, const Clock&);
    ~AsyncClient();
    AsyncClient(const AsyncClient&) = delete;
    AsyncClient& operator=(const AsyncClient&) = delete;

    void send(Call, Handler);

    // Waits at most this long for something to happen, then handles it.
    void run(std::chrono::milliseconds maxWait);

    // Ends a wait in run(), from any thread.
    void wake();

    // Breaks off every call whose `group` is this, without calling its handler.
    // What was already sent may still be acted on by the peer.
    void cancelGroup(int group);

    // The group given to the calls sent from now on; returns the one before.
    int setGroup(int group) { return std::exchange(this->group, group); }

    std::size_t callsInFlight() const;

    // By the purpose that calls name.
    const std::map<std::string_view, Traffic>& traffic() const;

private:
    struct Native;

    int group { 0 };
    std::unique_ptr<Native> native;
};

// While it lives, the calls that are sent are of a group.
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
