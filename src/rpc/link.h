#pragma once

// A blocking Cap'n Proto client connection for one thread.
//
//     rpc::Link<rpc::Planner> planner("127.0.0.1:7001");
//     Result<std::uint64_t> version = planner.call<std::uint64_t>("planner.config", 500ms,
//         [](auto& client) { return client.configRequest().send(); },
//         [](auto& response) -> Result<std::uint64_t> { return response.getConfig().getVersion(); });
//
// It connects when first used and again after a failure. A call that fails with
// Unavailable never got a connection; with Interrupted or Timeout, the peer may
// have acted. Must be made, used and destroyed on one thread: the event loop
// belongs to the thread.

#include "base/error.h"

#include <capnp/ez-rpc.h>
#include <chrono>
#include <kj/async-io.h>
#include <kj/timer.h>
#include <memory>
#include <string>

namespace rattan::rpc {

namespace detail {

    Error toError(const kj::Exception&, const std::string& step, const std::string& peer);

} // namespace detail

template <typename Interface>
class Link {
public:
    explicit Link(std::string address)
        : peer(std::move(address))
    {
    }

    const std::string& address() const { return this->peer; }

    // build(client) sends a request; read(response) makes the Result<T>.
    template <typename T, typename Build, typename Read>
    Result<T> call(const std::string& step, std::chrono::milliseconds timeout, Build build, Read read)
    {
        try {
            if (!this->connection)
                this->connection = std::make_unique<Connection>(this->peer);
            auto& scope = this->connection->ez.getWaitScope();
            auto remote = build(this->connection->client);
            using Response = decltype(remote.wait(scope));
            kj::Promise<Response> promise = kj::mv(remote);
            auto& timer = this->connection->ez.getIoProvider().getTimer();
            Response response = timer.timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(promise)).wait(scope);
            return read(response);
        } catch (const kj::Exception& problem) {
            // A half-done call leaves the connection in doubt; the next call
            // starts on a new one.
            this->connection.reset();
            return fail(detail::toError(problem, step, this->peer));
        }
    }

private:
    // The capability is taken once, while the connection is new; asked for again
    // after the peer has closed it, it throws out of the library's own clean-up,
    // which would end the process.
    struct Connection {
        explicit Connection(const std::string& address)
            : ez(address.c_str())
            , client(ez.getMain<Interface>())
        {
        }

        capnp::EzRpcClient ez;
        typename Interface::Client client;
    };

    std::string peer;
    std::unique_ptr<Connection> connection;
};

} // namespace rattan::rpc
