#pragma once

// rattan-entry put together: every part, its thread, and their order of start
// and stop.
//
//     Program program(options);
//     if (auto error = attemptVoid([&] { return program.start(); })) ...
//     stop.wait();
//     program.stop();
//
// stop() first says so in health, then takes no new connections, lets requests
// in flight finish for at most the stated grace, and stops the threads.

#include "entry/api.h"
#include "entry/list_watch.h"
#include "entry/options.h"
#include "entry/span_exporter.h"
#include "rpc/server.h"

namespace rattan::entry {

class Program {
public:
    Program(const EntryOptions&, const TextParser&);
    ~Program();

    Result<void> start();
    void stop();

    const std::string& httpAddress() const { return this->server.address(); }
    const std::string& rpcAddress() const { return this->rpcServer.address(); }

private:
    EntryOptions options;
    std::string incarnation;
    SystemClock clock;
    Metrics metrics;
    EntryState state;
    RpcPlanner planner;
    platform::HttpLog log;
    platform::HttpInstanceList list;
    platform::HttpExecutors executors;
    ConfigWatch config;
    ConfigPublisher publisher;
    Gate gate;
    ListWatch listWatch;
    RetryBudget retries;
    Forwarder forwarder;
    ClaimLog claims;
    Appender jobs;
    TicketBook tickets;
    RpcTicketClient otherTickets;
    RequestService requests;
    TicketWorkers ticketWorkers;
    rpc::ServerThread rpcServer;
    http::Server server;
    Api api;
    SpanExporter spans;
    bool running { false };
};

} // namespace rattan::entry
