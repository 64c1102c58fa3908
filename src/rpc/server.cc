#include "rpc/server.h"

#include <capnp/ez-rpc.h>
#include <fmt/format.h>
#include <future>
#include <kj/async-io.h>
#include <kj/timer.h>

namespace rattan::rpc {

namespace {

    // How long stop() may go unnoticed by the event loop.
    constexpr int stopCheckMs = 20;

    kj::Promise<void> untilStopped(kj::Timer& timer, std::atomic<bool>& stopping)
    {
        return timer.afterDelay(stopCheckMs * kj::MILLISECONDS).then([&timer, &stopping]() -> kj::Promise<void> {
            if (stopping)
                return kj::READY_NOW;
            return untilStopped(timer, stopping);
        });
    }

} // namespace

ServerThread::ServerThread(std::string address, Make make)
    : listenAddress(std::move(address))
    , make(std::move(make))
{
}

ServerThread::~ServerThread() { this->stop(); }

Result<void> ServerThread::start()
{
    std::promise<std::pair<unsigned, std::string>> started;
    auto outcome = started.get_future();
    this->stopping = false;
    this->thread = std::thread([this, &started] {
        this->run([&started](unsigned port, std::string problem) { started.set_value({ port, std::move(problem) }); });
    });
    const auto [port, problem] = outcome.get();
    if (port == 0) {
        this->thread.join();
        return fail(ErrorCode::Unavailable, "rpc.start", this->listenAddress, problem);
    }
    this->listenAddress = fmt::format("{}:{}", this->listenAddress.substr(0, this->listenAddress.rfind(':')), port);
    return {};
}

void ServerThread::stop()
{
    if (!this->thread.joinable())
        return;
    this->stopping = true;
    this->thread.join();
}

void ServerThread::run(const std::function<void(unsigned port, std::string problem)>& started)
{
    bool announced = false;
    try {
        capnp::EzRpcServer server(capnp::Capability::Client(this->make()), this->listenAddress.c_str());
        auto& scope = server.getWaitScope();
        const unsigned port = server.getPort().wait(scope);
        announced = true;
        started(port, "");
        untilStopped(server.getIoProvider().getTimer(), this->stopping).wait(scope);
    } catch (const kj::Exception& problem) {
        if (!announced)
            started(0, problem.getDescription().cStr());
    }
}

} // namespace rattan::rpc
