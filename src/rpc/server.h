#pragma once

// A Cap'n Proto server on a thread of its own.
//
//     rpc::ServerThread server("127.0.0.1:0", [&] { return kj::heap<PlannerService>(state); });
//     if (auto error = attemptVoid([&] { return server.start(); })) ...
//     server.address();   // with the port that was chosen
//     server.stop();
//
// The service object is made, called and destroyed on that thread only, so its
// methods must not block; they read and change state under that state's own
// lock. stop() drops connections; in-flight calls fail at the caller as
// disconnected.

#include "base/error.h"

#include <atomic>
#include <capnp/capability.h>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace rattan::rpc {

class ServerThread {
public:
    using Make = std::function<kj::Own<capnp::Capability::Server>()>;

    ServerThread(std::string address, Make);
    ~ServerThread();
    ServerThread(const ServerThread&) = delete;
    ServerThread& operator=(const ServerThread&) = delete;

    // Unavailable when the address cannot be taken.
    Result<void> start();
    void stop();

    const std::string& address() const { return this->listenAddress; }

private:
    void run(const std::function<void(unsigned port, std::string problem)>& started);

    std::string listenAddress;
    Make make;
    std::atomic<bool> stopping { false };
    std::thread thread;
};

} // namespace rattan::rpc
